#include "platform_server.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "endpoint.hpp"
#include "service/signals.hpp"
#include "service/spawn.hpp"

namespace paddlestand::platform {
using Field = observe::LogFieldName;
namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr auto stall_threshold = 300ms;  // a sweep that is later indicates that the event loop was stalled

}  // namespace

PlatformServer::PlatformServer(asio::io_context& io, PlatformConfig config, std::string config_path,
                               bool trace)
    : PlatformHost(io, config, trace),
      config_(std::move(config)),
      limits_(divide_limits(config_.limits)),
      calls_(config_.core.module.classes, config_.core.module.tenants),
      requests_(*this, config_.core.module.classes, limits_.max_statement_bytes),
      clients_(*this, requests_, calls_, lifecycle_, limits_),
      engines_(
          *this, requests_, endpoints_, [this] { refresh_endpoints(); }, config_, limits_),
      listener_(
          io,
          [this](tcp::socket socket, Duration accept_delay) {
            clients_.accept(std::move(socket), accept_delay);
          },
          [this](const std::string& reason) {
            log_.warn(observe::LogEvent::accept_failed, {{Field::reason, reason}});
          },
          [this] { return event_loop_lag(); }),
      discovery_(io, endpoint_of(config_.discovery_endpoint), discovery_hooks()),
      reloader_(*this, std::move(config_path),
                [this](const PlatformConfig& reloaded) { apply_reloaded(reloaded); }),
      shutdown_(*this, lifecycle_, listener_, clients_, termination_grace_period()) {}

PlatformServer::~PlatformServer() = default;

void PlatformServer::start() {
  listener_.open(endpoint_of(config_.listen));
  for (const discovery::Event& event : config_.known) apply(event);
  engine_starts_.first_list_ends();
  config_.known.clear();
  lifecycle_.advance_to(ServerLifecycle::State::serving);
  signals_polled_at_ = now();
  service::spawn(io_, listener_.run());
  discovery_.start();
  service::spawn(io_, sweep_loop());
  log_.info(observe::LogEvent::started, {{Field::address, text_of(config_.listen)},
                                         {Field::discovery_event, endpoints_.last_event()},
                                         {Field::engines, endpoints_.size()},
                                         {Field::max_clients, limits_.max_clients},
                                         {Field::max_engine_connections, limits_.max_engine_connections}});
}

Duration PlatformServer::termination_grace_period() const {
  return platform::termination_grace_period(config_.core.module.classes);
}

void PlatformServer::close_connections() {
  stop();
  discovery_.stop();
  log_.info(observe::LogEvent::totals, {{Field::unmatched_frames, engines_.unmatched_frames()},
                                        {Field::attempts, engines_.attempt_count()},
                                        {Field::violations, violations().total()}});
  clients_.close_all();
}

// ---- Actions of the core ----

void PlatformServer::execute(const core::Deliver& action) {
  std::string* const result = engines_.find_result(action.channel);
  if (result != nullptr) requests_.set_result(action.session, std::move(*result));
}

void PlatformServer::execute(const core::Discard& action) {
  std::string* const result = engines_.find_result(action.channel);
  if (result != nullptr) std::string().swap(*result);
}

// ---- Sweeps and signals ----

asio::awaitable<void> PlatformServer::sweep_loop() {
  asio::steady_timer timer(io_);
  bool is_skipped = false;
  while (!stopped_) {
    const TimePoint due = now() + sweep_period;
    timer.expires_after(sweep_period);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    if (stopped_) co_return;
    handle_signals();
    const TimePoint sweep_time = now();
    // After a stall of the event loop, input may have arrived unread, so one sweep is skipped and no time
    // limit applied. Two sweeps in a row are never skipped, so that a loop that is always late still applies
    // them.
    is_skipped = !is_skipped && sweep_time - due >= stall_threshold;
    if (!is_skipped) {
      clients_.sweep(sweep_time);
      engines_.sweep(sweep_time);
    }
    shutdown_.end_idle_connections();
  }
}

void PlatformServer::handle_signals() {
  const TimePoint polled_at = now();
  const auto signals = service::PendingSignals::consume();
  if (signals.reload) reload();
  if (signals.terminate) begin_shutdown();
  signals_polled_at_ = polled_at;
}

// ---- Engine list ----

DiscoveryWatch::Hooks PlatformServer::discovery_hooks() {
  return {[this] { return endpoints_.last_event(); },
          [this](const discovery::Event& event) { return apply(event) != EndpointList::ApplyResult::gap; },
          [this](const std::string& reason) {
            log_.warn(observe::LogEvent::discovery_failed,
                      {{Field::address, text_of(config_.discovery_endpoint)}, {Field::reason, reason}});
          }};
}

void PlatformServer::refresh_endpoints() {
  core::EndpointListFacts facts;
  facts.since_events_were_read = now() - discovery_.drained_at();
  facts.event_loop_lag = event_loop_lag();
  facts.was_resumed = discovery_.drained_as_of() != service::ResumeMonitor::count();
  if (core::must_read_endpoint_events(facts)) discovery_.read_pending();
}

EndpointList::ApplyResult PlatformServer::apply(const discovery::Event& event) {
  core::EndpointsUpdated update;
  std::vector<EngineId> ended_processes;
  const EndpointList::ApplyResult result = endpoints_.apply(event, update, ended_processes);
  if (result != EndpointList::ApplyResult::applied) return result;
  for (const EngineId engine : ended_processes) engines_.retire_engine(engine);
  engine_starts_.map(now(), update.engines);
  if (is_tracing()) log_engines(event, update);
  dispatch(std::move(update));
  endpoints_.forget_removed();
  return result;
}

void PlatformServer::log_engines(const discovery::Event& event, const core::EndpointsUpdated& update) {
  for (const EngineEntry& engine : update.engines) {
    log_.info(observe::LogEvent::engine_updated, {{Field::engine, engine.engine},
                                                  {Field::state, static_cast<int>(engine.state)},
                                                  {Field::discovery_event, event.number}});
  }
}

void PlatformServer::apply_reloaded(const PlatformConfig& config) {
  for (const discovery::Event& event : config.known) apply(event);
  config_.discovery_endpoint = config.discovery_endpoint;
  // Requests every event after the last one from the new command channel; closes the old one immediately.
  discovery_.move_to(endpoint_of(config_.discovery_endpoint));
  log_.info(observe::LogEvent::config_reload,
            {{Field::address, text_of(config_.discovery_endpoint)},
             {Field::discovery_event, endpoints_.last_event()}},
            "subscribing to the command channel after this event");
}

}  // namespace paddlestand::platform

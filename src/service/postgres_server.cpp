#include "postgres_server.hpp"

#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include "client_session.hpp"
#include "engine_channel.hpp"
#include "protocol/pg/sqlstate.hpp"
#include "run_after.hpp"
#include "side_connections.hpp"
#include "signals.hpp"
#include "spawn.hpp"

namespace paddlestand::service {
using Field = observe::LogFieldName;
namespace asio = boost::asio;
using boost::system::error_code;
using std::chrono::steady_clock;
using namespace std::chrono_literals;

namespace {

constexpr auto sweep_period = 1s;
constexpr auto signal_period = 50ms;
constexpr ReloadRetry::Limits reload_limits{100ms, 20};
constexpr auto last_answers_time = 200ms;  // for clients to read the last output
constexpr auto shutdown_margin = 1s;  // added to the configured grace periods
constexpr std::size_t nonce_bytes = 18;

}  // namespace

PostgresServer::PostgresServer(asio::io_context& io, config::ManagerConfig config, std::string config_path,
                               pg::Users users, std::string engine_password)
    : DispatcherHost(io, config.log, config.name, config.core),
      config_(std::move(config)),
      config_path_(std::move(config_path)),
      users_(std::make_shared<const pg::Users>(std::move(users))),
      engine_password_(std::move(engine_password)),
      classifier_(config_.classifier, config_.core.module),
      listener_(
          io, [this](tcp::socket socket, Duration) { accept_connection(std::move(socket)); },
          [this](const std::string& fault) {
            log_.warn(observe::LogEvent::accept_failed, {{Field::reason, fault}});
          },
          [this] { return event_loop_lag(); }),
      closer_(io),
      engine_list_(config_, log_),
      reload_retry_(io, reload_limits, [this] {
        if (!stopped_) reload();
      }) {
  frontend_settings_.max_message = config_.listen.max_message;
}

PostgresServer::~PostgresServer() = default;

std::string PostgresServer::make_nonce() {
  std::array<unsigned char, nonce_bytes> random{};
  RAND_bytes(random.data(), static_cast<int>(random.size()));
  return pg::base64({reinterpret_cast<const char*>(random.data()), random.size()});
}

pg::EngineLogin PostgresServer::engine_login() const {
  return {config_.login.user, config_.login.database, "paddlestand/" + config_.name, engine_password_,
          make_nonce()};
}

void PostgresServer::start() {
  listener_.open(tcp::endpoint(asio::ip::make_address(config_.listen.address), config_.listen.port));
  update_engines(config_.engines);
  spawn(io_, listener_.run());
  spawn(io_, sweep_sessions());
  spawn(io_, watch_signals());
  if (!config_.engines_file.empty()) spawn(io_, watch_engine_list());
  const std::string address = config_.listen.address + ":" + std::to_string(port());
  log_.info(observe::LogEvent::started, {{Field::address, address}});
}

// ---- The core's actions ----

void PostgresServer::dispatch_answer_end(const core::AnswerEnd& event, const pg::BackendAnswerEnd& end) {
  answer_ends_.add(event.channel, end);
  dispatch(event);
}

void PostgresServer::execute(const core::OpenChannel& action) {
  channels_.open(*this, action.channel, action.engine);
}

core::WriteResult PostgresServer::send(const core::SendQuery& action) {
  const auto channel = channels_.find(action.channel);
  const auto session = sessions_.session_of(action.query);
  if (!session) return core::WriteResult::suppressed;
  const std::string bytes =
      channel->protocol().encode_query(session->query(), action.priority, action.memory_mb);
  std::optional<core::WriteResult> result;
  while (!result) {
    // The client may have closed since its socket was last read, or while the process was stopped. An
    // abandoned query is not started.
    const ResumeCount facts_as_of = ResumeMonitor::count();
    if (!session->check_connected()) return core::WriteResult::suppressed;
    result = channel->send(bytes, facts_as_of);
  }
  return *result;
}

core::WriteResult PostgresServer::send(const core::SendProbe& action) {
  const auto channel = channels_.find(action.channel);
  // A probe depends on no state that a stop of the process could make outdated, so it is simply retried.
  const std::string bytes = channel->protocol().probe();
  std::optional<core::WriteResult> result;
  while (!result) result = channel->send(bytes, ResumeMonitor::count());
  return *result;
}

void PostgresServer::execute(const core::CancelOnEngine& action) {
  const auto channel = channels_.find(action.channel);
  spawn(io_, send_cancel_request(io_, channel->endpoint(), channel->protocol().key()));
}

void PostgresServer::execute(const core::UpdateResourceGrant& action) {
  const auto channel = channels_.find(action.channel);
  channel->on_grant_update_begun();
  spawn(io_, update_resource_grant(io_, channel, engine_login(),
                                   resource_grant_statement(channel->protocol().key().process, action)));
}

void PostgresServer::execute(const core::CloseChannel& action) { channels_.close(action.channel); }

void PostgresServer::execute(const core::Deliver& action) {
  const auto channel = channels_.find(action.channel);
  const auto session = sessions_.find(action.session);
  channel->on_answer_consumed();
  if (session) session->deliver(channel->protocol().answer(), channel->protocol().mid_message());
}

void PostgresServer::execute(const core::Discard& action) {
  const auto channel = channels_.find(action.channel);
  channel->on_answer_consumed();
  channel->protocol().answer().clear();
}

void PostgresServer::execute(const core::PauseChannel& action) { channels_.find(action.channel)->pause(); }
void PostgresServer::execute(const core::ResumeChannel& action) { channels_.find(action.channel)->resume(); }

void PostgresServer::execute(const core::Answer& action) {
  sessions_.remove_query(action.query);
  log_.answer(action, config_.core.module.classes[action.class_index].name);
  if (const auto session = sessions_.find(action.session)) session->on_answer(action, answer_ends_.current());
}

void PostgresServer::execute(const core::ShutdownComplete&) {
  log_.info(observe::LogEvent::shutdown_complete, "no queries remain");
  // The last answers are in the sockets' buffers. Clients get a bounded time to read them.
  run_after(io_, last_answers_time, [this] { stop(); });
}

// ---- Sessions ----

void PostgresServer::accept_connection(tcp::socket socket) {
  if (state_ == State::shutting_down || sessions_.size() >= config_.listen.max_sessions) {
    reject_connection(std::move(socket));
    return;
  }
  sessions_.create(*this, std::move(socket))->start();
}

void PostgresServer::reject_connection(tcp::socket socket) {
  if (!closer_.can_reject()) return;  // the socket's destructor closes it
  auto error = state_ == State::shutting_down
                   ? pg::error("57P01", "the workload manager is shutting down", "repeat=harmless")
                   : pg::error("53300", "too many sessions; the limit is " +
                                            std::to_string(config_.listen.max_sessions));
  error.severity = "FATAL";
  closer_.reject(StreamSocket(std::move(socket)), error);
}

void PostgresServer::submit_request(const std::shared_ptr<ClientSession>& session,
                                    pg::FrontendRequest request) {
  core::RequestFacts facts;
  facts.user = session->frontend().user();
  facts.database = session->frontend().database();
  facts.application = session->frontend().application();
  facts.statement = request.text;
  facts.timeout = request.statement_timeout;
  facts.tags = std::move(request.tags);
  auto classified = classifier_.classify(facts);
  if (const auto* problem = std::get_if<core::TagError>(&classified)) {
    session->reject_request(pg::error("22023", problem->text));
    return;
  }
  auto& arrival = std::get<core::QueryArrived>(classified);
  arrival.session = session->id();
  arrival.query = sessions_.add_query(session->id());
  session->set_query(std::move(request.query));
  dispatch(arrival);
}

void PostgresServer::cancel_session(pg::CancelKey key) {
  const auto session = sessions_.find(key);
  if (!session) {
    log_.info(observe::LogEvent::cancel_unmatched, "cancel request with an unknown key");
    return;
  }
  dispatch(core::ClientCancelled{session->id()});
}

asio::awaitable<void> PostgresServer::sweep_sessions() {
  for (;;) {
    co_await pause_for(io_, sweep_period);
    if (stopped_) co_return;
    const auto now = steady_clock::now();
    for (const auto& session : sessions_.all()) session->sweep(now);
  }
}

void PostgresServer::close_connections() {
  stop();
  for (const auto& session : sessions_.all()) session->close();
}

// ---- Engines ----

void PostgresServer::update_engines(const std::vector<config::ListedEngine>& engines) {
  core::EndpointsUpdated update;
  update.scope = EndpointUpdate::full;
  std::set<EngineId> listed;
  std::set<EngineId> moved;
  for (const config::ListedEngine& engine : engines) {
    error_code error;
    const auto address = asio::ip::make_address(engine.endpoint.address, error);
    if (error) {
      log_.error(observe::LogEvent::engine_list,
                 {{Field::engine_name, engine.endpoint.name},
                  {Field::address, engine.endpoint.address},
                  {Field::reason, "not an IP address"}},
                 "engine ignored");
      continue;
    }
    const EngineId id = engine.entry.engine;
    if (channels_.set_endpoint(id, {address, engine.endpoint.port})) moved.insert(id);
    listed.insert(id);
    update.engines.push_back(engine.entry);
  }
  engine_starts_.map(now(), update.engines);
  engine_starts_.first_list_ends();
  // A new address means another process, so idle channels to the old one must not be reused.
  for (EngineEntry& entry : update.engines)
    if (moved.contains(entry.engine)) entry.started = now();
  dispatch(std::move(update));
  channels_.forget_endpoints_except(listed);
}

asio::awaitable<void> PostgresServer::watch_engine_list() {
  for (;;) {
    if (const auto engines = engine_list_.read_if_changed()) update_engines(*engines);
    co_await pause_for(io_, config_.engines_poll);
    if (stopped_) co_return;
  }
}

// ---- Reloads, signals, shutdown ----

void PostgresServer::on_reload_fault(const std::string& fault) {
  if (!reload_retry_.is_retrying()) {
    log_.error(observe::LogEvent::config_reload, {{Field::reason, fault}},
               "the current settings stay in use; the reload is retried for a while");
  }
  reload_retry_.on_failure();
}

void PostgresServer::reload() {
  const auto read = config::read_manager_config(config_path_);
  if (const auto* error = std::get_if<config::ConfigError>(&read)) {
    on_reload_fault(error->text());
    return;
  }
  reload_retry_.on_success();
  const auto& new_config = std::get<config::ManagerConfig>(read);
  if (const auto fixed = config::find_fixed_change(config_, new_config)) {
    const std::string setting = fixed->text();
    log_.error(observe::LogEvent::config_reload,
               {{Field::setting, setting}, {Field::reason, "can't be changed while the manager runs"}},
               "the current settings stay in use");
    return;
  }
  apply_settings(new_config);
  log_.info(observe::LogEvent::config_reload, {{Field::file, config_path_}},
            "engines, rules and log level were reloaded");
}

void PostgresServer::apply_settings(const config::ManagerConfig& new_config) {
  core::Classifier classifier(new_config.classifier, new_config.core.module);
  classifier_ = std::move(classifier);
  config_.classifier = new_config.classifier;
  config_.engines = new_config.engines;
  config_.log.level = new_config.log.level;
  log_.set_level(new_config.log.level);
  if (config_.engines_file.empty()) update_engines(config_.engines);
}

asio::awaitable<void> PostgresServer::watch_signals() {
  std::uint32_t interrupts = 0;
  while (!stopped_) {
    co_await pause_for(io_, signal_period);
    const auto signals = PendingSignals::consume();
    // A second Ctrl-C stops the process immediately; a second SIGTERM has no effect.
    if (state_ == State::shutting_down && signals.interrupts > std::max(interrupts, 1U)) {
      stop();
      co_return;
    }
    interrupts = signals.interrupts;
    if (signals.reload) reload();
    if (signals.terminate) begin_shutdown();
  }
}

void PostgresServer::begin_shutdown() {
  if (state_ == State::shutting_down) return;
  state_ = State::shutting_down;
  listener_.close_when_drained();
  log_.info(observe::LogEvent::shutdown_started, "answering the remaining queries");
  for (const auto& session : sessions_.all()) session->begin_shutdown();
  dispatch(core::BeginShutdown{config_.shutdown_grace_period});
  // Bounds the wait for attempts that an engine neither completes nor cancels.
  run_after(io_, config_.shutdown_grace_period + config_.core.cancel_grace + shutdown_margin,
            [this] { stop(); });
}

}  // namespace paddlestand::service

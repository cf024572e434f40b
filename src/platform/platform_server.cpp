#include "platform_server.hpp"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>
#include <cstdio>

#include "endpoint.hpp"
#include "hex.hpp"
#include "service/signals.hpp"
#include "service/spawn.hpp"

namespace paddlestand::platform {
namespace asio = boost::asio;
using boost::system::error_code;
using std::chrono::steady_clock;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t usual_descriptors = 1024;  // where no limit is told
constexpr double usual_memory_mb = 256;
constexpr std::size_t reserve_descriptors = 24;  // the loop's own, the log, the listener, the command channel
constexpr std::size_t backlog_part = 8;  // of the memory: what clients have not read yet, all together
constexpr auto sweep_period = 100ms;
constexpr auto stall = 300ms;  // a sweep so late tells of this loop, and of nobody else
constexpr auto arrivals_after_term = 700ms;  // so long requests may still come after SIGTERM
// The platform kills no sooner than the longest deadline after that, which counts as so much at the most.
constexpr auto kill_counts_most = 3s;
constexpr auto kill_margin = 300ms;  // before the kill, for last answers to leave
constexpr auto end_margin = 100ms;  // before the kill, for the process to end by itself
constexpr auto last_look = 250ms;  // before the kill: connections that still rest are ended more often
constexpr auto last_look_period = 20ms;
constexpr auto reload_rest = 100ms;  // before a file that can't be read is tried again
constexpr auto tell_away_each = 1s;

observe::LogConfig log_settings(bool trace) {
  observe::LogConfig log;
  log.answers = trace;
  return log;
}

}  // namespace

PlatformServer::PlatformServer(asio::io_context& io, PlatformConfig config, std::string config_path,
                               bool trace)
    : DispatcherHost(io, log_settings(trace), config.name, config.core),
      config_(std::move(config)),
      config_path_(std::move(config_path)),
      trace_(trace),
      calls_(config_.core.module.classes, config_.core.module.tenants),
      connections_(*this, config_.streams_per_connection),
      listener_(
          io, [this](tcp::socket socket, Duration waited) { take(std::move(socket), waited); },
          [this](const std::string& what) { log_.warn("accept", what); },
          [this] { return event_loop_lag(); }),
      discovery_(
          io, endpoint_of(config_.discovery_endpoint),
          {[this] { return endpoints_.last(); },
           [this](const discovery::Event& event) { return apply(event) != EndpointList::ApplyResult::gap; },
           [this](const std::string& what) {
             log_.warn("command channel", text_of(config_.discovery_endpoint) + ": " + what);
           }}) {
  const std::size_t all = config_.limits.descriptors > 0 ? config_.limits.descriptors : usual_descriptors;
  const std::size_t shared = all > 2 * reserve_descriptors ? all - reserve_descriptors : all / 2;
  // The usual clients hold a third of all at the most; others are shed first.
  most_clients_ = shared / 2;
  connections_.allow(shared - most_clients_);
  const double memory = config_.limits.memory_mb > 0 ? config_.limits.memory_mb : usual_memory_mb;
  most_backlog_ = static_cast<std::size_t>(memory * 1048576 / backlog_part);
}

PlatformServer::~PlatformServer() = default;

void PlatformServer::start() {
  listener_.open(endpoint_of(config_.listen));
  for (const discovery::Event& event : config_.known) apply(event);
  engine_starts_.first_list_ends();
  config_.known.clear();
  told_ = true;
  service::spawn(io_, listener_.run());
  discovery_.start();
  service::spawn(io_, sweep());
  log_.info("start", "listening on " + text_of(config_.listen) + ", event " +
                         std::to_string(endpoints_.last()) + ", " + std::to_string(endpoints_.size()) +
                         " engines, " + std::to_string(most_clients_) + " clients and " +
                         std::to_string(connections_.most()) + " engine connections at most");
}

// ---- Clients ----

void PlatformServer::take(tcp::socket socket, Duration waited) {
  if (clients_.size() >= most_clients_ && !make_room()) return;  // it is closed here
  const auto client = std::make_shared<Client>(*this, std::move(socket), ++last_client_, waited);
  clients_.emplace(client->number(), client);
  client->start();
}

// Who lingers goes first, then who never said anything, then who has been idle for longest; nobody with an
// open request. Who speaks just now is passed over, for the next one: a look at each would cost a call to the
// system for each of hundreds, at each of thousands of connections.
bool PlatformServer::make_room() {
  std::shared_ptr<Client> worst;
  for (int looks = 0; looks < 2; ++looks) {
    const auto before = std::exchange(worst, nullptr);
    for (const auto& [number, client] : clients_) {
      const auto order = [](const Client& one) {
        return std::tuple(!one.lingering(), one.spoke(), one.used());
      };
      if (client->idle() && client != before && (!worst || order(*client) < order(*worst))) worst = client;
    }
    if (!worst || !worst->may_speak()) break;
  }
  // Who may just be asking keeps its connection; the new one is closed unread.
  if (!worst || worst->may_speak()) return false;
  if (!worst->lingering())
    turned_away(*worst, {std::nullopt, jsonrpc::Code::refused, "closed, idle, to make room"});
  worst->close("idle, to make room");
  return true;
}

std::size_t PlatformServer::unread_bytes() const {
  std::size_t bytes = 0;
  for (const auto& [number, client] : clients_) bytes += client->backlog();
  return bytes;
}

std::optional<std::uint64_t> PlatformServer::trace_of(core::SessionId session) const {
  const auto found = requests_.find(session);
  if (found == requests_.end()) return std::nullopt;
  return found->second.trace;
}

void PlatformServer::ask(const std::shared_ptr<Client>& client, core::SessionId session,
                         jsonrpc::Query query) {
  Request request;
  request.client = client;
  request.id = query.id;
  request.trace = query.trace;
  request.class_index = query.class_index;
  request.until = client->input_time() + query.client_timeout;
  const Duration client_timeout = std::max(Duration{0}, request.until - now());
  request.nonce = std::move(query.nonce);
  core::QueryArrived arrived;
  arrived.session = session;
  arrived.query = session;
  arrived.class_index = query.class_index;
  arrived.tenant = query.tenant;
  arrived.ordering_key = query.ordering_key;
  arrived.client_timeout = client_timeout;
  arrived.estimated_cost = query.cost;
  arrived.estimated_memory_mb = query.memory_mb;
  arrived.tables = sql::table_group(query.statement).value_or(0);
  arrived.repeated = query.repeated;
  request.statement = std::move(query.statement);
  if (trace_)
    log_.info("came",
              hex_of(request.trace) + " client " + std::to_string(client->number()) + " query " +
                  std::to_string(session) + " tables " + std::to_string(arrived.tables) + " bytes " +
                  std::to_string(request.statement.size()) + " cost_ms " +
                  std::to_string(arrived.estimated_cost ? arrived.estimated_cost->count() / 1000000 : 0) +
                  " patience_ms " + std::to_string(arrived.client_timeout.count() / 1000000) + " key " +
                  hex_of(arrived.ordering_key));
  traces_[request.trace] = session;
  statement_bytes_ += request.statement.size();
  requests_.emplace(session, std::move(request));
  dispatch(core::SessionOpened{session});
  dispatch(arrived);
}

// A client that sends a request once more, on a new connection, may do so before the end of its old one was
// read here.
bool PlatformServer::trace_open(std::uint64_t trace) {
  const auto open = traces_.find(trace);
  if (open == traces_.end()) return false;
  const std::shared_ptr<Client> holder = requests_.at(open->second).client;
  holder->read_now();
  return traces_.contains(trace);
}

void PlatformServer::forget_trace(std::uint64_t trace, core::SessionId session) {
  const auto open = traces_.find(trace);
  if (open != traces_.end() && open->second == session) traces_.erase(open);
}

void PlatformServer::abandon(core::SessionId session) {
  const auto found = requests_.find(session);
  if (found == requests_.end() || found->second.abandon) return;
  found->second.abandon = true;
  forget_trace(found->second.trace, session);
  if (trace_) log_.info("client left", hex_of(found->second.trace) + " query " + std::to_string(session));
  dispatch(core::SessionClosed{session});
}

void PlatformServer::forgotten(std::size_t requests) {
  if (trace_) log_.info("forgotten", std::to_string(requests) + " requests");
}

void PlatformServer::turned_away(const Client& client, const jsonrpc::Problem& problem) {
  ++turned_away_;
  if (now() < told_away_ + tell_away_each) return;
  told_away_ = now();
  log_.info("turned away", "client " + std::to_string(client.number()) + ": " + problem.text + "; " +
                               std::to_string(turned_away_) + " so far");
}

void PlatformServer::log_connect_failure(EngineId engine, const error_code& error, bool again) {
  if (!trace_) return;
  log_.info("connect", "engine " + std::to_string(engine) + ": " + error.message() +
                           (again ? "; tried again" : "; given up"));
}

void PlatformServer::log_close(const Client& client, std::string_view reason, std::size_t open_requests) {
  if (open_requests == 0 && !trace_) return;
  log_.info("client closed", "client " + std::to_string(client.number()) + ": " + std::string(reason) + "; " +
                                 std::to_string(open_requests) + " requests open");
}

void PlatformServer::execute(const core::Deliver& action) {
  const auto stream = streams_.find(action.channel);
  const auto request = requests_.find(action.session);
  if (stream == streams_.end() || request == requests_.end()) return;
  request->second.body = std::move(stream->second.answer.body());
}

void PlatformServer::execute(const core::Discard& action) {
  const auto stream = streams_.find(action.channel);
  if (stream != streams_.end()) std::string().swap(stream->second.answer.body());
}

void PlatformServer::execute(const core::Answer& action) {
  log_.answer(action, config_.core.module.classes[action.class_index].name);
  const auto found = requests_.find(action.session);
  if (found == requests_.end()) return;
  const Request request = std::move(found->second);
  requests_.erase(found);
  forget_trace(request.trace, action.session);
  statement_bytes_ -= request.statement.size();
  if (request.abandon) return;
  dispatch(core::SessionClosed{action.session});
  std::string line;
  switch (action.kind) {
    case core::AnswerKind::served: jsonrpc::put_result(line, request.id, request.body); break;
    case core::AnswerKind::rejected:
      jsonrpc::put_error(line, request.id, jsonrpc::Code::refused,
                         action.shutting_down ? "the workload manager is leaving" : "refused",
                         action.retry_after);
      break;
    case core::AnswerKind::failed:
      jsonrpc::put_error(line, request.id, jsonrpc::Code::failed,
                         action.deadline_exceeded ? "time is up" : "failed");
      break;
    case core::AnswerKind::cancelled: return;
  }
  request.client->answer(request.id, std::move(line));
}

// ---- Sweeps ----

asio::awaitable<void> PlatformServer::sweep() {
  asio::steady_timer timer(io_);
  bool skipped = false;
  while (!stopped_) {
    const TimePoint due = now() + sweep_period;
    timer.expires_after(sweep_period);
    error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    if (stopped_) co_return;
    take_signals();
    const TimePoint at = now();
    // Right after a stall nobody is judged by how long nothing came: it may be here, unread. A loop that is
    // always late must judge all the same.
    skipped = !skipped && at - due >= stall;
    if (!skipped) {
      sweep_clients(at);
      sweep_connections(at);
    }
    end_if_left();
  }
}

void PlatformServer::sweep_clients(TimePoint at) {
  std::vector<std::shared_ptr<Client>> all;
  all.reserve(clients_.size());
  std::size_t held = 0;
  for (const auto& [number, client] : clients_) {
    all.push_back(client);
    held += client->backlog() + client->held();
  }
  for (const auto& client : all) client->sweep(at);
  if (held > most_backlog_) close_largest_holders(std::move(all), held);
}

void PlatformServer::close_largest_holders(std::vector<std::shared_ptr<Client>> all, std::size_t held) {
  while (held > most_backlog_ && !all.empty()) {
    const auto most = std::max_element(all.begin(), all.end(), [](const auto& a, const auto& b) {
      return a->backlog() + a->held() < b->backlog() + b->held();
    });
    const std::size_t bytes = (*most)->backlog() + (*most)->held();
    if (bytes == 0) return;
    held -= bytes;
    log_.warn("backlog", "client " + std::to_string((*most)->number()) + " closed: it holds " +
                             std::to_string(bytes) + " bytes");
    (*most)->close("holds the most unread bytes");
    all.erase(most);
  }
}

// ---- The command channel ----

EndpointList::ApplyResult PlatformServer::apply(const discovery::Event& event) {
  core::EndpointsUpdated told;
  std::vector<EngineId> ended;
  const EndpointList::ApplyResult taken = endpoints_.take(event, told, ended);
  if (taken != EndpointList::ApplyResult::applied) return taken;
  for (const EngineId engine : ended) connections_.retire_all_of(engine);
  engine_starts_.map(now(), told.engines);
  if (trace_)
    for (const EngineEntry& entry : told.engines)
      log_.info("engine", std::to_string(entry.engine) + " state " +
                              std::to_string(static_cast<int>(entry.state)) + " event " +
                              std::to_string(event.number));
  dispatch(std::move(told));
  endpoints_.forget_removed();
  return taken;
}

// ---- Signals ----

void PlatformServer::take_signals() {
  const auto signals = service::PendingSignals::take();
  if (signals.reload) reload();
  if (signals.terminate) leave();
}

void PlatformServer::run_after(Duration time, std::function<void()> what) {
  auto timer = std::make_shared<asio::steady_timer>(io_, time);
  timer->async_wait([timer, what = std::move(what)](const error_code&) { what(); });
}

void PlatformServer::reload() {
  auto read = read_config(config_path_);
  if (const auto* problem = std::get_if<Problem>(&read)) {
    if (!reload_failed_) log_.error("reload", problem->text + "; nothing is changed, it is read again soon");
    reload_failed_ = true;
    if (reload_again_) return;
    reload_again_ = true;
    run_after(reload_rest, [this] {
      reload_again_ = false;
      if (!stopped_) reload();
    });
    return;
  }
  reload_failed_ = false;
  const auto& fresh = std::get<PlatformConfig>(read);
  for (const discovery::Event& event : fresh.known) apply(event);
  config_.discovery_endpoint = fresh.discovery_endpoint;
  // The new command channel is asked for all above the last number; the old one is left at once.
  discovery_.move_to(endpoint_of(config_.discovery_endpoint));
  log_.info("reload", "command channel " + text_of(config_.discovery_endpoint) + " from event " +
                          std::to_string(endpoints_.last()));
}

Duration PlatformServer::life_after_term() const {
  Duration longest{};
  for (const ClassSettings& k : config_.core.module.classes)
    longest = std::max(longest, k.deadline.count() > 0 ? k.deadline : Duration(kill_counts_most));
  return std::min(longest, Duration(kill_counts_most)) + arrivals_after_term;
}

void PlatformServer::leave() {
  if (terminated_) return;
  terminated_ = true;
  log_.info("leave", "requests are taken for a little longer, then what is held is answered");
  // The signal came up to a sweep's period ago.
  const Duration kill = life_after_term() - sweep_period;
  const Duration answered = kill - std::min<Duration>(kill_margin, kill / 4);
  const Duration arrivals = std::min<Duration>(arrivals_after_term, answered);
  run_after(arrivals, [this, grace = answered - arrivals] {
    stop_accepting();
    // What is open then is answered: found by the kill it would be lost, refused it can go elsewhere in time.
    dispatch(core::BeginShutdown{grace});
  });
  run_after(kill - last_look, [this] { service::spawn(io_, end_resting_connections()); });
  run_after(kill - std::min<Duration>(end_margin, kill / 8), [this] {
    end_if_left();
    stop();
  });
}

// Clients send on open connections until the kill: what came is answered, and the connection ended in the
// same turn, before the kill can find anything open.
asio::awaitable<void> PlatformServer::end_resting_connections() {
  while (!stopped_) {
    end_if_left();
    co_await service::pause_for(io_, last_look_period);
  }
}

void PlatformServer::close_connections() {
  stop();
  discovery_.stop();
  log_.info("totals", std::to_string(frames_without_stream_) + " frames without stream, " +
                          std::to_string(connections_.attempts().size()) + " attempts out, " +
                          std::to_string(violations().total()) + " violations");
  std::vector<std::shared_ptr<Client>> all;
  for (const auto& [number, client] : clients_) all.push_back(client);
  for (const auto& client : all) {
    if (client->open() && !client->idle())
      count(core::Violation::closed_with_open_requests, "client " + std::to_string(client->number()));
    client->close("the process ends");
  }
}

void PlatformServer::execute(const core::ShutdownComplete&) {
  log_.info("left", "nothing is held any more");
  left_ = true;
}

// Connections that rest are shut down, so that clients go elsewhere with their next request; the process
// ends once all clients have closed theirs, or shortly before the kill.
void PlatformServer::end_if_left() {
  if (!terminated_ || listener_.is_open()) return;
  std::vector<std::shared_ptr<Client>> all;
  for (const auto& [number, client] : clients_) all.push_back(client);
  for (const auto& client : all) client->finish_if_idle();
  if (left_ && clients_.empty()) stop();
}

}  // namespace paddlestand::platform

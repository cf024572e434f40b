#include "platform.hpp"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>
#include <cstdio>

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
constexpr Duration slack_of_deadline = 150ms;  // that an engine may be told too much
constexpr auto last_look = 250ms;  // before the kill: connections that still rest are ended more often
constexpr auto last_look_period = 20ms;
constexpr auto reload_rest = 100ms;  // before a file that can't be read is tried again
constexpr auto tell_away_each = 1s;
constexpr std::uint64_t probe_ids = std::uint64_t{0xf1} << 56U;  // apart from most requests' ids

observe::LogConfig log_settings(bool trace) {
  observe::LogConfig log;
  log.answers = trace;
  return log;
}

boost::asio::ip::tcp::endpoint endpoint_of(const Address& at) {
  return {asio::ip::address_v4(at.host), at.port};
}

std::string hex(std::uint64_t value) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(value));
  return text;
}

}  // namespace

Platform::Platform(asio::io_context& io, PlatformConfig config, std::string config_path, bool trace)
    : DeskHost(io, log_settings(trace), config.name, config.core),
      config_(std::move(config)),
      config_path_(std::move(config_path)),
      trace_(trace),
      calls_(config_.core.module.classes, config_.core.module.tenants),
      listener_(
          io, [this](tcp::socket socket, Duration waited) { take(std::move(socket), waited); },
          [this](const std::string& what) { log_.warn("accept", what); }),
      discovery_(io, endpoint_of(config_.channel),
                 {[this] { return fleet_.last(); },
                  [this](const command_channel::Event& event) { return apply(event) != Fleet::Taken::gap; },
                  [this](const std::string& what) {
                    log_.warn("command channel", text_of(config_.channel) + ": " + what);
                  }}) {
  const std::size_t all = config_.limits.descriptors > 0 ? config_.limits.descriptors : usual_descriptors;
  const std::size_t shared = all > 2 * reserve_descriptors ? all - reserve_descriptors : all / 2;
  // The usual clients hold a third of all at the most; others are shed first.
  most_clients_ = shared / 2;
  most_connections_ = shared - most_clients_;
  const double memory = config_.limits.memory_mb > 0 ? config_.limits.memory_mb : usual_memory_mb;
  most_backlog_ = static_cast<std::size_t>(memory * 1048576 / backlog_part);
}

Platform::~Platform() = default;

void Platform::start() {
  listener_.open(endpoint_of(config_.listen));
  for (const command_channel::Event& event : config_.known) apply(event);
  engine_starts_.first_list_ends();
  config_.known.clear();
  told_ = true;
  service::spawn(io_, listener_.run());
  discovery_.start();
  service::spawn(io_, sweep());
  log_.info("start", "listening on " + text_of(config_.listen) + ", event " + std::to_string(fleet_.last()) +
                         ", " + std::to_string(fleet_.size()) + " engines, " + std::to_string(most_clients_) +
                         " clients and " + std::to_string(most_connections_) + " engine connections at most");
}

// ---- Clients ----

void Platform::take(tcp::socket socket, Duration waited) {
  if (clients_.size() >= most_clients_ && !make_room()) return;  // it is closed here
  const auto client = std::make_shared<Client>(*this, std::move(socket), ++last_client_, waited);
  clients_.emplace(client->number(), client);
  client->start();
}

// Who lingers goes first, then who never said anything, then who has been idle for longest; nobody with an
// open request. Who speaks just now is passed over, for the next one: a look at each would cost a call to the
// system for each of hundreds, at each of thousands of connections.
bool Platform::make_room() {
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

std::size_t Platform::unread_bytes() const {
  std::size_t bytes = 0;
  for (const auto& [number, client] : clients_) bytes += client->backlog();
  return bytes;
}

std::optional<std::uint64_t> Platform::trace_of(core::SessionId session) const {
  const auto found = requests_.find(session);
  if (found == requests_.end()) return std::nullopt;
  return found->second.trace;
}

void Platform::ask(const std::shared_ptr<Client>& client, core::SessionId session, jsonrpc::Query query) {
  Request request;
  request.client = client;
  request.id = query.id;
  request.trace = query.trace;
  request.class_index = query.class_index;
  // What is read late came earlier, and its client has waited meanwhile.
  const Duration patience = std::max(Duration{0}, query.patience - client->input_lateness());
  request.until = now() + patience;
  request.nonce = std::move(query.nonce);
  core::QueryArrived arrived;
  arrived.session = session;
  arrived.query = session;
  arrived.class_index = query.class_index;
  arrived.tenant = query.tenant;
  arrived.order_key = query.order_key;
  arrived.patience = patience;
  arrived.told_cost = query.cost;
  arrived.told_memory_mb = query.memory_mb;
  arrived.tables = sql::table_group(query.statement).value_or(0);
  arrived.repeated = query.repeated;
  request.statement = std::move(query.statement);
  if (trace_)
    log_.info("came", hex(request.trace) + " client " + std::to_string(client->number()) + " query " +
                          std::to_string(session) + " tables " + std::to_string(arrived.tables) + " bytes " +
                          std::to_string(request.statement.size()) + " cost_ms " +
                          std::to_string(arrived.told_cost ? arrived.told_cost->count() / 1000000 : 0) +
                          " patience_ms " + std::to_string(arrived.patience.count() / 1000000) + " key " +
                          hex(arrived.order_key));
  traces_[request.trace] = session;
  statement_bytes_ += request.statement.size();
  requests_.emplace(session, std::move(request));
  tell(core::SessionOpened{session});
  tell(arrived);
}

// A client that sends a request once more, on a new connection, may do so before the end of its old one was
// read here.
bool Platform::trace_open(std::uint64_t trace) {
  const auto open = traces_.find(trace);
  if (open == traces_.end()) return false;
  const std::shared_ptr<Client> holder = requests_.at(open->second).client;
  holder->read_now();
  return traces_.contains(trace);
}

void Platform::forget_trace(std::uint64_t trace, core::SessionId session) {
  const auto open = traces_.find(trace);
  if (open != traces_.end() && open->second == session) traces_.erase(open);
}

void Platform::let_go(core::SessionId session) {
  const auto found = requests_.find(session);
  if (found == requests_.end() || found->second.let_go) return;
  found->second.let_go = true;
  forget_trace(found->second.trace, session);
  if (trace_) log_.info("client left", hex(found->second.trace) + " query " + std::to_string(session));
  tell(core::SessionClosed{session});
}

void Platform::forgotten(std::size_t requests) {
  if (trace_) log_.info("forgotten", std::to_string(requests) + " requests");
}

void Platform::turned_away(const Client& client, const jsonrpc::Problem& problem) {
  ++turned_away_;
  if (now() < told_away_ + tell_away_each) return;
  told_away_ = now();
  log_.info("turned away", "client " + std::to_string(client.number()) + ": " + problem.text + "; " +
                               std::to_string(turned_away_) + " so far");
}

void Platform::log_connect_failure(EngineId engine, const error_code& error, bool again) {
  if (!trace_) return;
  log_.info("connect", "engine " + std::to_string(engine) + ": " + error.message() +
                           (again ? "; tried again" : "; given up"));
}

void Platform::log_close(const Client& client, std::string_view reason, std::size_t open_requests) {
  if (open_requests == 0 && !trace_) return;
  log_.info("client closed", "client " + std::to_string(client.number()) + ": " + std::string(reason) + "; " +
                                 std::to_string(open_requests) + " requests open");
}

void Platform::carry_out(const core::Deliver& effect) {
  const auto stream = streams_.find(effect.link);
  const auto request = requests_.find(effect.session);
  if (stream == streams_.end() || request == requests_.end()) return;
  request->second.body = std::move(stream->second.answer.body());
}

void Platform::carry_out(const core::Discard& effect) {
  const auto stream = streams_.find(effect.link);
  if (stream != streams_.end()) std::string().swap(stream->second.answer.body());
}

void Platform::carry_out(const core::Answer& effect) {
  log_.answer(effect, config_.core.module.classes[effect.class_index].name);
  const auto found = requests_.find(effect.session);
  if (found == requests_.end()) return;
  const Request request = std::move(found->second);
  requests_.erase(found);
  forget_trace(request.trace, effect.session);
  statement_bytes_ -= request.statement.size();
  if (request.let_go) return;
  tell(core::SessionClosed{effect.session});
  std::string line;
  switch (effect.kind) {
    case core::AnswerKind::served: jsonrpc::put_result(line, request.id, request.body); break;
    case core::AnswerKind::refused:
      jsonrpc::put_error(line, request.id, jsonrpc::Code::refused,
                         effect.leaving ? "the workload manager is leaving" : "refused", effect.retry_after);
      break;
    case core::AnswerKind::failed:
      jsonrpc::put_error(line, request.id, jsonrpc::Code::failed, effect.time_up ? "time is up" : "failed");
      break;
    case core::AnswerKind::cancelled: return;
  }
  request.client->answer(request.id, std::move(line));
}

// ---- Engines ----

std::shared_ptr<EngineConnection> Platform::connection_for(EngineId engine, core::LinkUse use,
                                                           core::StreamId id) {
  const auto& all = connections_[engine];
  std::vector<core::ConnectionFacts> facts;
  facts.reserve(all.size());
  for (const auto& connection : all) {
    const bool takes_streams = !connection->retired() && !connection->closed();
    facts.push_back(
        {takes_streams, connection->table().may_carry(id), connection->streams(), connection->heard()});
  }
  const std::size_t engines = std::max<std::size_t>(1, fleet_.size());
  core::ConnectionLimits limits;
  limits.streams_per_connection = config_.streams_per_connection;
  limits.usual = std::max<std::size_t>(2, most_connections_ / engines);
  limits.room = connection_count_ < most_connections_ || idle_connection() != nullptr;
  const core::ConnectionChoice choice = core::choose_connection(facts, limits, use);
  switch (choice.kind) {
    case core::ConnectionChoice::Kind::none: return nullptr;
    case core::ConnectionChoice::Kind::open:
      if (connection_count_ >= most_connections_) drop(idle_connection());
      return open_connection(engine);
    case core::ConnectionChoice::Kind::existing: break;
  }
  const auto existing = all[choice.index];
  if (!existing->ended()) return existing;
  connection_lost(existing, core::LinkLoss::closed, "ended");
  return connection_for(engine, use, id);
}

std::shared_ptr<EngineConnection> Platform::open_connection(EngineId engine) {
  const auto at = fleet_.address(engine);
  if (!at) return nullptr;
  const auto connection =
      std::make_shared<EngineConnection>(*this, engine, endpoint_of(*at), ++last_connection_);
  connections_[engine].push_back(connection);
  ++connection_count_;
  connection->start();
  return connection;
}

// The one that has been idle for longest, of any engine.
std::shared_ptr<EngineConnection> Platform::idle_connection() const {
  std::shared_ptr<EngineConnection> oldest;
  for (const auto& [engine, all] : connections_) {
    for (const auto& connection : all)
      if (connection->streams() == 0 && (!oldest || connection->used() < oldest->used())) oldest = connection;
  }
  return oldest;
}

std::shared_ptr<EngineConnection> Platform::find_connection(core::ConnectionId number) const {
  for (const auto& [engine, all] : connections_)
    for (const auto& connection : all)
      if (connection->number() == number) return connection;
  return nullptr;
}

void Platform::drop(const std::shared_ptr<EngineConnection>& connection) {
  connection->close();
  wire_attempts_.connection_closed(connection->number());
  const auto all = connections_.find(connection->engine());
  if (all == connections_.end()) return;
  connection_count_ -= std::erase(all->second, connection);
  if (all->second.empty()) connections_.erase(all);
}

// The id that a link's frames will have; nothing where its request is over.
std::optional<core::StreamId> Platform::stream_id_of(const core::OpenLink& effect) {
  if (effect.use == core::LinkUse::probe) return probe_ids | ++last_probe_;
  return trace_of(effect.query);
}

// They lead to a process that is no more: nothing goes out on them to the one that comes after it.
void Platform::retire_connections(EngineId engine) {
  const auto found = connections_.find(engine);
  if (found == connections_.end()) return;
  const auto all = found->second;
  for (const auto& connection : all) {
    connection->retire();
    if (connection->streams() == 0) drop(connection);
  }
}

void Platform::carry_out(const core::OpenLink& effect) {
  const auto id = stream_id_of(effect);
  const auto connection = id ? connection_for(effect.engine, effect.use, *id) : nullptr;
  if (!connection || !connection->table().reserve(*id, effect.link))
    return tell(core::LinkLost{effect.link, core::LinkLoss::local});
  if (connection->table().exhausted()) connection->retire();
  Stream& stream = streams_[effect.link];
  stream.engine = effect.engine;
  stream.use = effect.use;
  stream.connection = connection;
  stream.id = *id;
  connection->join();
  if (connection->up()) tell(core::LinkUp{effect.link});
}

void Platform::connection_up(const std::shared_ptr<EngineConnection>& connection) {
  std::vector<core::LinkId> waiting;
  for (const auto& [link, stream] : streams_)
    if (stream.connection == connection && !stream.sent) waiting.push_back(link);
  for (const core::LinkId link : waiting) tell(core::LinkUp{link});
}

void Platform::connection_lost(const std::shared_ptr<EngineConnection>& connection, core::LinkLoss why,
                               const std::string& what) {
  std::vector<core::LinkId> on_it;
  for (const auto& [link, stream] : streams_)
    if (stream.connection == connection) on_it.push_back(link);
  if (why == core::LinkLoss::broken_protocol || !on_it.empty() || trace_)
    log_.info("engine connection", "engine " + std::to_string(connection->engine()) + ": " + what + "; " +
                                       std::to_string(on_it.size()) + " streams end");
  drop(connection);
  for (const core::LinkId link : on_it) tell(core::LinkLost{link, why});
}

bool Platform::may_dispatch(core::QueryId query) {
  for (bool just_read = false;; just_read = true) {
    const auto asked = requests_.find(query);
    if (asked == requests_.end()) return false;
    const std::shared_ptr<Client> client = asked->second.client;
    core::DispatchFacts facts;
    facts.client_present = client->open() && !asked->second.let_go;
    facts.since_client_was_read = now() - client->read_empty();
    facts.time_left = asked->second.until - now();
    facts.just_read = just_read;
    const core::DispatchDecision decision = core::may_dispatch(facts);
    if (decision != core::DispatchDecision::read_client_first)
      return decision == core::DispatchDecision::dispatch;
    client->read_now();
  }
}

std::string Platform::request_frame(const Stream& stream, const Request& request, TimePoint at) const {
  std::string frame;
  engine_frames::Request out;
  out.id = request.trace;
  out.class_name = config_.core.module.classes[request.class_index].name;
  out.token = request.nonce;
  out.statement = request.statement;
  out.wait = request.until - at;
  out.memory_mb = stream.memory_mb;
  out.rank = stream.rank;
  engine_frames::put_request(frame, out);
  return frame;
}

std::string Platform::probe_frame(const Stream& stream) const {
  std::string frame;
  engine_frames::put_probe(frame, stream.id, !config_.report_names.empty());
  return frame;
}

std::optional<std::string> Platform::frame_for(core::LinkId link) {
  auto found = streams_.find(link);
  if (found == streams_.end()) return std::nullopt;
  if (found->second.use == core::LinkUse::probe) return probe_frame(found->second);
  const bool may = may_dispatch(found->second.query);
  found = streams_.find(link);  // the look may have changed the table
  if (found == streams_.end()) return std::nullopt;
  const auto asked = requests_.find(found->second.query);
  if (!may || asked == requests_.end()) {
    found->second.sent = false;
    found->second.connection->table().release(found->second.id);
    wire_attempts_.ended(found->second.id, found->second.connection->number());
    return std::nullopt;
  }
  found->second.at = now();
  return request_frame(found->second, asked->second, found->second.at);
}

core::Written Platform::send(const core::SendQuery& effect) {
  if (!may_dispatch(effect.query)) {
    if (trace_)
      log_.info("withheld", "query " + std::to_string(effect.query) + ": its client is gone, or its time");
    return core::Written::withheld;
  }
  const auto found = streams_.find(effect.link);
  const auto asked = requests_.find(effect.query);
  if (found == streams_.end() || asked == requests_.end()) return core::Written::failed;
  Stream& stream = found->second;
  const Request& request = asked->second;
  if (stream.connection->closed()) return core::Written::failed;
  if (!may_begin_attempt(request.trace)) return core::Written::withheld;
  if (!stream.connection->table().open(stream.id, effect.link)) {
    count(core::Violation::stream_id_used_twice, hex(stream.id));
    return core::Written::withheld;
  }
  stream.query = effect.query;
  stream.memory_mb = effect.memory_mb;
  stream.rank = effect.priority;
  stream.sent = true;
  stream.at = now();
  std::string frame = request_frame(stream, request, stream.at);
  if (trace_)
    log_.info("sent", hex(stream.id) + " query " + std::to_string(effect.query) + " attempt " +
                          std::to_string(effect.attempt) + " engine " + std::to_string(stream.engine) +
                          " connection " + std::to_string(stream.connection->number()) + " rank " +
                          std::to_string(effect.priority) + " grant " + std::to_string(effect.memory_mb));
  wire_attempts_.began(stream.id, stream.connection->number());
  const core::Written written = stream.connection->send(effect.link, stream.id, std::move(frame));
  if (written == core::Written::failed) {
    stream.sent = false;
    wire_attempts_.ended(stream.id, stream.connection->number());
  }
  check_dispatch(stream, request);
  return written;
}

// The core is told that a cancelled attempt is over as soon as its cancel was sent. Before the next one
// begins that must be so for the engine too: where the cancel has not left, the connection's end gives the
// attempt up.
bool Platform::may_begin_attempt(std::uint64_t trace) {
  for (const core::ConnectionId number : wire_attempts_.being_cancelled(trace)) {
    const auto connection = find_connection(number);
    if (connection && !connection->cancel_has_left(trace))
      connection_lost(connection, core::LinkLoss::closed,
                      "a cancel could not be sent before the next attempt");
    wire_attempts_.ended(trace, number);
  }
  if (!wire_attempts_.out(trace)) return true;
  count(core::Violation::second_attempt_out, hex(trace));
  return false;
}

// The rule's own decision is held against what is so once the bytes have left.
void Platform::check_dispatch(const Stream& stream, const Request& request) {
  if (!stream.sent) return;
  if (request.let_go || !request.client->open())
    count(core::Violation::begun_after_client_left, hex(stream.id));
  if (now() - stream.at > slack_of_deadline) count(core::Violation::deadline_beyond_client, hex(stream.id));
}

core::Written Platform::send(const core::SendProbe& effect) {
  const auto found = streams_.find(effect.link);
  if (found == streams_.end() || found->second.connection->closed()) return core::Written::failed;
  Stream& stream = found->second;
  if (!stream.connection->table().open(stream.id, effect.link)) return core::Written::withheld;
  stream.sent = true;
  stream.at = now();
  const core::Written written = stream.connection->send(effect.link, stream.id, probe_frame(stream));
  if (written == core::Written::failed) stream.sent = false;
  return written;
}

void Platform::frame_without_stream(const EngineConnection& connection, const engine_frames::Answer& answer) {
  ++frames_without_stream_;
  if (!trace_) return;
  log_.info("frame without stream",
            hex(answer.id) + " code " + std::to_string(static_cast<int>(answer.code)) + " engine " +
                std::to_string(connection.engine()) + " connection " + std::to_string(connection.number()));
}

void Platform::log_attempt_end(const Stream& stream, std::string_view how) {
  if (!trace_ || stream.use == core::LinkUse::probe) return;
  log_.info("attempt ended", hex(stream.id) + " query " + std::to_string(stream.query) + " engine " +
                                 std::to_string(stream.engine) + " connection " +
                                 std::to_string(stream.connection->number()) + ": " + std::string(how));
}

LoadReport Platform::report_of(const engine_frames::Answer& answer) const {
  LoadReport report;
  for (const auto& [name, value] : answer.gauges)
    if (name == "inflight") report.queries = value;
  return report;
}

std::string Platform::answered(EngineConnection& connection, core::LinkId link,
                               engine_frames::Answer answer) {
  const auto found = streams_.find(link);
  if (found == streams_.end()) return {};
  Stream& stream = found->second;
  if (stream.use == core::LinkUse::probe) {
    if (answer.code != engine_frames::Reply::well && answer.code != engine_frames::Reply::ill) return {};
    core::AnswerEnd end;
    end.link = link;
    end.ending =
        answer.code == engine_frames::Reply::well ? core::Ending::complete : core::Ending::engine_error;
    end.report = report_of(answer);
    stream.ended = true;
    connection.end_stream(stream.id);
    if (trace_) log_.info("probe", "engine " + std::to_string(stream.engine));
    tell(end);
    return {};
  }
  stream.at = now();
  auto step = stream.answer.take(std::move(answer));
  if (const auto* broken = std::get_if<engine_frames::Broken>(&step)) return broken->what;
  if (const auto* more = std::get_if<PagedAnswer::More>(&step)) {
    std::string frames;
    for (std::uint32_t page = 1; page < more->pages; ++page)
      engine_frames::put_page_wanted(frames, stream.id, page);
    connection.send_command(stream.id, std::move(frames));
    return {};
  }
  const auto* done = std::get_if<PagedAnswer::Done>(&step);
  if (done == nullptr) return {};
  const engine_frames::Answer& head = stream.answer.head();
  core::AnswerEnd end;
  end.link = link;
  end.ending = done->ending;
  end.bytes = stream.answer.body().size();
  if (head.work_ms) end.work = Duration{std::llround(*head.work_ms * 1e6)};
  end.memory_mb = head.memory_mb;
  end.report = report_of(head);
  stream.ended = true;
  log_attempt_end(stream, "answered, code " + std::to_string(static_cast<int>(head.code)));
  connection.end_stream(stream.id);
  if (head.pages > 1) {
    std::string frame;
    engine_frames::put_no_more(frame, stream.id);
    connection.send_command(stream.id, std::move(frame));
  }
  wire_attempts_.ended(stream.id, connection.number());
  tell(end);
  return {};
}

// From here on the attempt is over for the core; for the engine once its cancel has left, or the connection
// is closed (may_begin_attempt).
void Platform::give_up(core::LinkId link, Stream& stream) {
  if (!stream.sent || stream.ended) return;
  stream.ended = true;
  EngineConnection& connection = *stream.connection;
  if (connection.closed()) return;
  switch (connection.withdraw(link)) {
    case FrameQueue::Withdrawn::whole:
      connection.table().release(stream.id);
      return wire_attempts_.ended(stream.id, connection.number());
    case FrameQueue::Withdrawn::half:
      // The engine must never get the rest, and nothing can follow half a frame.
      return connection_lost(stream.connection, core::LinkLoss::closed,
                             "a request was given up half written");
    case FrameQueue::Withdrawn::unknown: break;
  }
  connection.end_stream(stream.id);
  connection.retire();
  if (stream.use == core::LinkUse::probe) return;
  std::string frame;
  stream.answer.paging() ? engine_frames::put_no_more(frame, stream.id)
                         : engine_frames::put_give_up(frame, stream.id);
  connection.send_cancel(stream.id, std::move(frame));
  connection.cancel_has_left(stream.id) ? wire_attempts_.ended(stream.id, connection.number())
                                        : wire_attempts_.cancelling(stream.id, connection.number());
}

// The protocol gives up at once and without an answer.
void Platform::carry_out(const core::CancelOnEngine& effect) {
  const auto found = streams_.find(effect.link);
  if (found == streams_.end()) return;
  log_attempt_end(found->second, "cancelled or timed out");
  give_up(effect.link, found->second);
  tell(core::LinkLost{effect.link, core::LinkLoss::closed});
}

void Platform::carry_out(const core::ChangeTerms& effect) {
  const auto found = streams_.find(effect.link);
  if (found == streams_.end() || !found->second.sent || found->second.ended) return;
  std::string frame;
  found->second.rank = effect.priority;
  engine_frames::put_priority(frame, found->second.id, effect.priority);
  found->second.connection->send_command(found->second.id, std::move(frame));
}

void Platform::carry_out(const core::CloseLink& effect) {
  const auto found = streams_.find(effect.link);
  if (found == streams_.end()) return;
  give_up(effect.link, found->second);
  const auto connection = found->second.connection;
  if (!found->second.sent) connection->table().release(found->second.id);
  streams_.erase(found);
  connection->leave(now());
  if (connection->closed() || connection->streams() > 0) return;
  const bool hangs = !connection->up() && now() - connection->opened() >= config_.core.connect_time_out;
  if (connection->retired() || hangs || !fleet_.address(connection->engine())) drop(connection);
}

void Platform::sweep_connections(TimePoint at) {
  // An idle connection is closed from here, before the engine does: a request must not cross its close.
  const Duration idle = config_.core.idle_link_life - std::min(config_.core.idle_link_life / 2, Duration(2s));
  const Duration wait = config_.core.connect_time_out;
  std::vector<std::shared_ptr<EngineConnection>> stalled, dead;
  for (const auto& [engine, all] : connections_) {
    const bool gone = !fleet_.address(engine);
    for (const auto& connection : all) {
      if (connection->stalled_since() && at - *connection->stalled_since() > wait) {
        stalled.push_back(connection);
      } else if (connection->streams() == 0 && (gone || at - connection->used() > idle ||
                                                (!connection->up() && at - connection->opened() > wait))) {
        dead.push_back(connection);
      }
    }
  }
  for (const auto& [link, stream] : streams_) {
    if (stream.sent && !stream.ended && stream.answer.paging() && at - stream.at > wait &&
        std::find(stalled.begin(), stalled.end(), stream.connection) == stalled.end())
      stalled.push_back(stream.connection);
  }
  for (const auto& connection : dead) drop(connection);
  for (const auto& connection : stalled)
    if (!connection->closed())
      connection_lost(connection, core::LinkLoss::broken_protocol, "the rest of an answer did not come");
}

asio::awaitable<void> Platform::sweep() {
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

void Platform::sweep_clients(TimePoint at) {
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

void Platform::close_largest_holders(std::vector<std::shared_ptr<Client>> all, std::size_t held) {
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

Fleet::Taken Platform::apply(const command_channel::Event& event) {
  core::FleetTold told;
  std::vector<EngineId> ended;
  const Fleet::Taken taken = fleet_.take(event, told, ended);
  if (taken != Fleet::Taken::applied) return taken;
  for (const EngineId engine : ended) retire_connections(engine);
  engine_starts_.map(now(), told.engines);
  if (trace_)
    for (const EngineEntry& entry : told.engines)
      log_.info("engine", std::to_string(entry.engine) + " state " +
                              std::to_string(static_cast<int>(entry.state)) + " event " +
                              std::to_string(event.number));
  tell(std::move(told));
  fleet_.forget_gone();
  return taken;
}

// ---- Signals ----

void Platform::take_signals() {
  const auto signals = service::PendingSignals::take();
  if (signals.reload) reload();
  if (signals.terminate) leave();
}

void Platform::run_after(Duration time, std::function<void()> what) {
  auto timer = std::make_shared<asio::steady_timer>(io_, time);
  timer->async_wait([timer, what = std::move(what)](const error_code&) { what(); });
}

void Platform::reload() {
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
  for (const command_channel::Event& event : fresh.known) apply(event);
  config_.channel = fresh.channel;
  // The new command channel is asked for all above the last number; the old one is left at once.
  discovery_.move_to(endpoint_of(config_.channel));
  log_.info("reload",
            "command channel " + text_of(config_.channel) + " from event " + std::to_string(fleet_.last()));
}

Duration Platform::life_after_term() const {
  Duration longest{};
  for (const ClassSettings& k : config_.core.module.classes)
    longest = std::max(longest, k.deadline.count() > 0 ? k.deadline : Duration(kill_counts_most));
  return std::min(longest, Duration(kill_counts_most)) + arrivals_after_term;
}

void Platform::leave() {
  if (terminated_) return;
  terminated_ = true;
  log_.info("leave", "requests are taken for a little longer, then what is held is answered");
  // The signal came up to a sweep's period ago.
  const Duration kill = life_after_term() - sweep_period;
  const Duration answered = kill - std::min<Duration>(kill_margin, kill / 4);
  const Duration arrivals = std::min<Duration>(arrivals_after_term, answered);
  run_after(arrivals, [this, grace = answered - arrivals] {
    take_no_more();
    // What is open then is answered: found by the kill it would be lost, refused it can go elsewhere in time.
    tell(core::Leave{grace});
  });
  run_after(kill - last_look, [this] { service::spawn(io_, end_resting_connections()); });
  run_after(kill - std::min<Duration>(end_margin, kill / 8), [this] {
    end_if_left();
    stop();
  });
}

// Clients send on open connections until the kill: what came is answered, and the connection ended in the
// same turn, before the kill can find anything open.
asio::awaitable<void> Platform::end_resting_connections() {
  while (!stopped_) {
    end_if_left();
    co_await service::pause_for(io_, last_look_period);
  }
}

void Platform::close_connections() {
  stop();
  discovery_.stop();
  std::vector<std::shared_ptr<Client>> all;
  for (const auto& [number, client] : clients_) all.push_back(client);
  for (const auto& client : all) {
    if (client->open() && !client->idle())
      count(core::Violation::closed_with_open_requests, "client " + std::to_string(client->number()));
    client->close("the process ends");
  }
}

void Platform::carry_out(const core::Left&) {
  log_.info("left", "nothing is held any more");
  left_ = true;
}

// Connections that rest are shut down, so that clients go elsewhere with their next request; the process
// ends once all clients have closed theirs, or shortly before the kill.
void Platform::end_if_left() {
  if (!terminated_ || listener_.is_open()) return;
  std::vector<std::shared_ptr<Client>> all;
  for (const auto& [number, client] : clients_) all.push_back(client);
  for (const auto& client : all) client->finish_if_idle();
  if (left_ && clients_.empty()) stop();
}

}  // namespace paddlestand::platform

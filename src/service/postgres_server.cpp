#include "postgres_server.hpp"

#include <openssl/rand.h>
#include <sys/stat.h>

#include <algorithm>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "client_session.hpp"
#include "engine_channel.hpp"
#include "protocol/pg/sqlstate.hpp"
#include "signals.hpp"
#include "spawn.hpp"

namespace paddlestand::service {
namespace asio = boost::asio;
using asio::experimental::awaitable_operators::operator||;
using boost::system::error_code;
using std::chrono::steady_clock;
using namespace std::chrono_literals;

namespace {

constexpr auto sweep_period = 1s;
constexpr std::size_t most_turned_away = 64;  // connections at once that are told so
constexpr auto signal_period = 50ms;
constexpr auto reload_pause = 100ms;
constexpr int most_reload_tries = 20;
constexpr auto last_answers_time = 200ms;  // for what was said last to be read
constexpr int most_farewell_tries = 16;
constexpr std::size_t most_lingering = 256;  // each holds a descriptor for up to a second
constexpr auto side_connection_time = 1s;  // cancels and changes of terms

std::uint32_t random_number() {
  std::uint32_t value = 0;
  RAND_bytes(reinterpret_cast<unsigned char*>(&value), sizeof(value));
  return value;
}

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
          io, [this](tcp::socket socket, Duration) { take(std::move(socket)); },
          [this](const std::string& what) { log_.warn("accept", what); },
          [this] { return event_loop_lag(); }) {
  frontend_settings_.most_message = config_.listen.most_message;
}

PostgresServer::~PostgresServer() = default;

std::string PostgresServer::nonce() {
  unsigned char raw[18];
  RAND_bytes(raw, sizeof(raw));
  return pg::base64({reinterpret_cast<const char*>(raw), sizeof(raw)});
}

pg::EngineLogin PostgresServer::engine_login() const {
  return {config_.login.user, config_.login.database, "paddlestand/" + config_.name, engine_password_,
          const_cast<PostgresServer*>(this)->nonce()};
}

void PostgresServer::start() {
  listener_.open(tcp::endpoint(asio::ip::make_address(config_.listen.address), config_.listen.port));
  use_engines(config_.engines);
  spawn(io_, listener_.run());
  spawn(io_, sweep());
  spawn(io_, watch_signals());
  if (!config_.engines_file.empty()) spawn(io_, watch_engines());
  log_.info("start", "listening on " + config_.listen.address + ":" + std::to_string(port()));
}

// ---- The core ----

void PostgresServer::tell_end(const core::AnswerEnd& event, const pg::BackendAnswerEnd& end) {
  ends_[event.channel] = end;
  dispatch(event);
}

void PostgresServer::on_event(const core::CoreEvent& event) {
  current_end_.reset();
  const auto* end = std::get_if<core::AnswerEnd>(&event);
  if (end == nullptr) return;
  if (auto told = ends_.extract(end->channel)) current_end_ = std::move(told.mapped());
}

std::shared_ptr<EngineChannel> PostgresServer::find_channel(core::ChannelId id) const {
  const auto found = channels_.find(id);
  return found == channels_.end() ? nullptr : found->second;
}

std::shared_ptr<ClientSession> PostgresServer::find_session(core::SessionId id) const {
  const auto found = sessions_.find(id);
  return found == sessions_.end() ? nullptr : found->second;
}

void PostgresServer::execute(const core::OpenChannel& action) {
  const auto channel = std::make_shared<EngineChannel>(*this, action.channel, engines_.at(action.engine));
  channels_.emplace(action.channel, channel);
  channel->start();
}

core::WriteResult PostgresServer::send(const core::SendQuery& action) {
  const auto channel = find_channel(action.channel);
  const auto session = find_session(queries_.at(action.query));
  // Its client may have gone since it was last read: nothing begins for it.
  if (!session || !session->still_there()) return core::WriteResult::suppressed;
  return channel->send(channel->protocol().flight(session->query(), action.priority, action.memory_mb));
}

core::WriteResult PostgresServer::send(const core::SendProbe& action) {
  const auto channel = find_channel(action.channel);
  return channel->send(channel->protocol().probe());
}

void PostgresServer::execute(const core::CancelOnEngine& action) {
  const auto channel = find_channel(action.channel);
  spawn(io_, cancel_on(channel->at(), channel->protocol().key()));
}

void PostgresServer::execute(const core::UpdateResourceGrant& action) {
  const auto channel = find_channel(action.channel);
  std::string statement = "SELECT paddlestand.set_terms(" +
                          std::to_string(channel->protocol().key().process) + ", " +
                          std::to_string(action.priority) + ", " + std::to_string(action.memory_mb) + ")";
  channel->terms_change_begins();
  spawn(io_, change_terms(channel, std::move(statement)));
}

void PostgresServer::execute(const core::CloseChannel& action) {
  const auto channel = find_channel(action.channel);
  channel->close();
  channels_.erase(action.channel);
}

void PostgresServer::execute(const core::Deliver& action) {
  const auto channel = find_channel(action.channel);
  const auto session = find_session(action.session);
  channel->taken();
  if (session) session->deliver(channel->protocol().answer(), channel->protocol().mid_message());
}

void PostgresServer::execute(const core::Discard& action) {
  const auto channel = find_channel(action.channel);
  channel->taken();
  channel->protocol().answer().clear();
}

void PostgresServer::execute(const core::PauseChannel& action) { find_channel(action.channel)->pause(); }
void PostgresServer::execute(const core::ResumeChannel& action) { find_channel(action.channel)->resume(); }

void PostgresServer::execute(const core::Answer& action) {
  queries_.erase(action.query);
  log_.answer(action, config_.core.module.classes[action.class_index].name);
  if (const auto session = find_session(action.session))
    session->answered(action, current_end_ ? &*current_end_ : nullptr);
}

void PostgresServer::execute(const core::ShutdownComplete&) {
  log_.info("left", "nothing is held any more");
  // Last answers were handed to the sockets; a client that does not read them is not waited for long.
  auto timer = std::make_shared<asio::steady_timer>(io_, last_answers_time);
  timer->async_wait([this, timer](const error_code&) { stop(); });
}

// ---- Sessions ----

void PostgresServer::take(tcp::socket socket) {
  const bool full = sessions_.size() >= config_.listen.most_sessions;
  if (leaving_ || full) {
    // A flood of them is closed without a word, so that saying so takes no room of its own.
    if (turned_away_ >= most_turned_away) return;
    auto fields = leaving_ ? pg::error("57P01", "the workload manager is leaving", "repeat=harmless")
                           : pg::error("53300", "too many sessions; wanted: at most " +
                                                    std::to_string(config_.listen.most_sessions));
    fields.severity = "FATAL";
    ++turned_away_;
    return spawn(io_, turn_away(StreamSocket(std::move(socket)), std::move(fields)));
  }
  const core::SessionId id = ++last_session_;
  const pg::CancelKey key{static_cast<std::uint32_t>(id & 0x7fffffffU), random_number()};
  const auto session = std::make_shared<ClientSession>(*this, std::move(socket), id, key);
  sessions_.emplace(id, session);
  session->start();
}

asio::awaitable<void> PostgresServer::turn_away(StreamSocket socket, pg::Fields fields) {
  std::string bytes;
  pg::put_error(bytes, fields);
  for (int tries = 0; tries < most_farewell_tries && !bytes.empty(); ++tries) {
    const IoResult sent = socket.send(bytes);
    if (sent.status == IoStatus::ended) break;
    bytes.erase(0, sent.bytes);
    if (sent.status != IoStatus::progress) co_await pause_for(io_, shortage_pause);
  }
  // Its startup message is taken from the socket, lest the close cut off what was said.
  co_await linger_and_close(std::move(socket));
  --turned_away_;
}

void PostgresServer::linger(StreamSocket socket) {
  if (lingering_ >= most_lingering) return;  // it is closed here
  ++lingering_;
  spawn(io_, linger_counted(std::move(socket)));
}

asio::awaitable<void> PostgresServer::linger_counted(StreamSocket socket) {
  co_await linger_and_close(std::move(socket));
  --lingering_;
}

void PostgresServer::session_gone(core::SessionId id) { sessions_.erase(id); }

void PostgresServer::ask(const std::shared_ptr<ClientSession>& session, pg::FrontendRequest request) {
  core::RequestFacts facts;
  facts.user = session->front().user();
  facts.database = session->front().database();
  facts.application = session->front().application();
  facts.statement = request.text;
  facts.timeout = request.statement_timeout;
  facts.tags = std::move(request.tags);
  auto classed = classifier_.classify(facts);
  if (const auto* problem = std::get_if<core::Problem>(&classed)) {
    session->refuse(pg::error("22023", problem->text));
    return;
  }
  auto& arrived = std::get<core::QueryArrived>(classed);
  arrived.session = session->id();
  arrived.query = ++last_query_;
  session->request_ = std::move(request.query);
  queries_.emplace(arrived.query, session->id());
  dispatch(arrived);
}

void PostgresServer::cancel_session(pg::CancelKey key) {
  // Processes are numbered by sessions, which are never numbered twice within two thousand million.
  for (const std::uint64_t high : {std::uint64_t{0}, last_session_ & ~std::uint64_t{0x7fffffff}}) {
    const auto session = find_session(high | key.process);
    if (session && session->key() == key) return dispatch(core::ClientCancelled{session->id()});
  }
  log_.info("cancel", "a cancel with a key of no session");
}

asio::awaitable<void> PostgresServer::sweep() {
  asio::steady_timer timer(io_);
  for (;;) {
    timer.expires_after(sweep_period);
    error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    if (error || stopped_) co_return;
    std::vector<std::shared_ptr<ClientSession>> all;
    all.reserve(sessions_.size());
    for (const auto& [id, session] : sessions_) all.push_back(session);
    const auto at = steady_clock::now();
    for (const auto& session : all) session->sweep(at);
  }
}

// ---- Engines ----

asio::awaitable<void> PostgresServer::cancel_on(tcp::endpoint at, pg::CancelKey key) {
  const auto cancel = [&]() -> asio::awaitable<void> {
    error_code error;
    tcp::socket socket(io_);
    co_await socket.async_connect(at, asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
    std::string bytes;
    pg::put_cancel(bytes, key);
    co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    char unused[16];
    co_await socket.async_read_some(asio::buffer(unused), asio::redirect_error(asio::use_awaitable, error));
  };
  error_code ignored;
  asio::steady_timer limit(io_, side_connection_time);
  co_await (cancel() || limit.async_wait(asio::redirect_error(asio::use_awaitable, ignored)));
}

asio::awaitable<void> PostgresServer::change_terms(std::shared_ptr<EngineChannel> of, std::string statement) {
  const auto change = [&]() -> asio::awaitable<void> {
    error_code error;
    tcp::socket socket(io_);
    co_await socket.async_connect(of->at(), asio::redirect_error(asio::use_awaitable, error));
    pg::BackendConnection channel;
    std::string out = channel.start(engine_login());
    std::vector<pg::BackendEvent> events;
    std::vector<char> buffer(4096);
    while (!error) {
      co_await asio::async_write(socket, asio::buffer(out), asio::redirect_error(asio::use_awaitable, error));
      if (error) co_return;
      out.clear();
      const std::size_t got = co_await socket.async_read_some(
          asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
      if (error) co_return;
      events.clear();
      channel.feed({buffer.data(), got}, events, out);
      for (const pg::BackendEvent& event : events) {
        if (std::holds_alternative<pg::BackendAnswerEnd>(event)) of->terms_change_ended();
        if (!std::holds_alternative<pg::BackendReady>(event)) co_return;
        pg::EngineQuery query;
        pg::put_query(query.bytes, statement);
        out += channel.flight(query, 3, 0);
      }
    }
  };
  error_code ignored;
  asio::steady_timer limit(io_, side_connection_time);
  co_await (change() || limit.async_wait(asio::redirect_error(asio::use_awaitable, ignored)));
}

void PostgresServer::use_engines(const std::vector<config::ListedEngine>& engines) {
  core::EndpointsUpdated told;
  told.scope = EndpointUpdate::full;
  for (const config::ListedEngine& one : engines) {
    error_code error;
    const auto address = asio::ip::make_address(one.at.address, error);
    if (error) {
      log_.error("engines", "engine '" + one.at.name + "': address '" + one.at.address +
                                "'; wanted: an IP address. It is left out");
      continue;
    }
    const EngineEntry& entry = one.entry;
    engines_[entry.engine] = {address, one.at.port};
    told.engines.push_back(entry);
  }
  engine_starts_.map(now(), told.engines);
  engine_starts_.first_list_ends();
  dispatch(std::move(told));
}

asio::awaitable<void> PostgresServer::watch_engines() {
  struct Stamp {
    timespec changed{};
    off_t size = -1;
    ino_t inode = 0;
    bool operator==(const Stamp& other) const {
      return changed.tv_sec == other.changed.tv_sec && changed.tv_nsec == other.changed.tv_nsec &&
             size == other.size && inode == other.inode;
    }
  };
  Stamp last, faulty;
  bool missing = false;
  asio::steady_timer timer(io_);
  for (;;) {
    struct stat at {};
    if (::stat(config_.engines_file.c_str(), &at) != 0) {
      if (!missing) log_.warn("engines", config_.engines_file + ": can't be read; the last list stays");
      missing = true;
    } else if (const Stamp stamp{at.st_mtim, at.st_size, at.st_ino}; !(stamp == last) || missing) {
      last = stamp;
      missing = false;
      auto read = config::read_engine_list(config_.engines_file, config_);
      if (const auto* fault = std::get_if<config::Fault>(&read)) {
        if (!(stamp == faulty))
          log_.warn("engines", fault->text() + "; the last list stays, it is read again");
        faulty = stamp;
        last = {};  // the same file may be read well in a moment
      } else {
        const auto& engines = std::get<std::vector<config::ListedEngine>>(read);
        log_.info("engines", "list of " + std::to_string(engines.size()) + " engines read");
        use_engines(engines);
      }
    }
    timer.expires_after(config_.engines_poll);
    error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    if (error || stopped_) co_return;
  }
}

// ---- Signals ----

asio::awaitable<void> PostgresServer::watch_signals() {
  std::uint32_t interrupts = 0;
  while (!stopped_) {
    co_await pause_for(io_, signal_period);
    const auto signals = PendingSignals::take();
    // A second Ctrl-C means now; a second SIGTERM changes nothing.
    if (leaving_ && signals.interrupts > std::max(interrupts, 1U)) co_return stop();
    interrupts = signals.interrupts;
    if (signals.reload) reload();
    if (signals.terminate) leave();
  }
}

// The file may be half written, or the disk may fail for a moment.
void PostgresServer::reload_again_soon(const std::string& why) {
  if (reload_tries_ == 0) log_.error("reload", why + "; nothing is changed, it is read again for a while");
  if (++reload_tries_ > most_reload_tries) {
    reload_tries_ = 0;
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(io_, reload_pause);
  timer->async_wait([this, timer](const error_code&) {
    if (!stopped_ && reload_tries_ > 0) reload();
  });
}

void PostgresServer::reload() {
  auto read = config::read_manager_config(config_path_);
  if (const auto* fault = std::get_if<config::Fault>(&read)) return reload_again_soon(fault->text());
  reload_tries_ = 0;
  auto& fresh = std::get<config::ManagerConfig>(read);
  if (const std::string what = config::not_reloadable(config_, fresh); !what.empty())
    return log_.error("reload", "can't be changed while the manager runs: " + what + "; nothing is changed");
  core::Classifier classifier(fresh.classifier, fresh.core.module);
  classifier_ = std::move(classifier);
  config_.classifier = fresh.classifier;
  config_.engines = fresh.engines;
  config_.log.level = fresh.log.level;
  log_.set_level(fresh.log.level);
  if (config_.engines_file.empty()) use_engines(config_.engines);
  log_.info("reload", "engines, rules and log level are as in " + config_path_);
}

void PostgresServer::close_connections() {
  stop();
  std::vector<std::shared_ptr<ClientSession>> all;
  for (const auto& [id, session] : sessions_) all.push_back(session);
  for (const auto& session : all) session->close();
}

void PostgresServer::leave() {
  if (leaving_) return;
  leaving_ = true;
  listener_.close_when_drained();
  log_.info("leave", "answering what is held");
  std::vector<std::shared_ptr<ClientSession>> all;
  for (const auto& [id, session] : sessions_) all.push_back(session);
  for (const auto& session : all) session->leave();
  dispatch(core::BeginShutdown{config_.leave_grace});
  // Attempts that an engine neither ends nor stops are not waited for beyond this.
  auto timer = std::make_shared<asio::steady_timer>(
      io_, config_.leave_grace + config_.core.cancel_grace + std::chrono::seconds(1));
  timer->async_wait([this, timer](const error_code&) { stop(); });
}

}  // namespace paddlestand::service

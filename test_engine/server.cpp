#include "server.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <chrono>
#include <cstdlib>
#include <istream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "protocol/pg/bytes.hpp"
#include "protocol/pg/frame.hpp"
#include "protocol/pg/sqlstate.hpp"
#include "protocol/sql/scan.hpp"
#include "protocol/sql/tags.hpp"

namespace paddlestand::test_engine {
namespace asio = boost::asio;
using boost::system::error_code;
using std::chrono::steady_clock;

std::int64_t shared_clock() {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(steady_clock::now().time_since_epoch()).count();
}

namespace {

constexpr std::size_t most_message = 64U << 20U;
constexpr std::size_t most_unserved = 1024;

double number(const std::string& text, double otherwise) {
  double value = otherwise;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

struct Wanted {  // by a query, in its tags
  std::string id;
  simulation::Job job;
  std::size_t rows = 1, row_bytes = 8;
  std::map<std::string, std::string> tags;
};

Wanted read_wanted(std::string_view text) {
  Wanted out;
  for (const std::string_view comment : sql::scan(text).comments)
    for (const auto& [name, value] : sql::read_tags(comment)) out.tags[name] = value;
  const auto tag = [&](const char* name, double otherwise) {
    const auto found = out.tags.find(name);
    return found == out.tags.end() ? otherwise : number(found->second, otherwise);
  };
  out.id = out.tags.contains("sim_id") ? out.tags["sim_id"] : "";
  out.job.work = tag("sim_work_ms", 1) / 1000;
  out.job.threads = tag("sim_threads", 1);
  out.job.memory_mb = tag("sim_memory_mb", 0);
  out.job.reads = tag("sim_reads", 0.3);
  out.job.writes = tag("sim_write", 0) > 0;
  out.job.waits_for_writers = true;
  out.job.tables = static_cast<std::uint64_t>(tag("tables", 0));
  out.rows = static_cast<std::size_t>(tag("sim_rows", 1));
  out.row_bytes = static_cast<std::size_t>(tag("sim_row_bytes", 8));
  return out;
}

}  // namespace

// One connection.
class Seat : public std::enable_shared_from_this<Seat> {
 public:
  Seat(Server& server, tcp::socket socket, std::uint32_t process, std::uint32_t secret)
      : server_(server),
        server_alive_(server.alive_),
        socket_(std::move(socket)),
        key_{process, secret},
        frames_(most_message),
        wake_(server.io_) {
    wake_.expires_at(steady_clock::time_point::max());
  }
  ~Seat() { forget(); }

  asio::awaitable<void> run() {
    const auto self = shared_from_this();
    std::vector<char> buffer(16 * 1024);
    bool startup = true;
    for (;;) {
      while (const auto frame = frames_.next(!startup)) {
        if (startup) {
          if (!on_startup(frame->body, startup)) co_return;
          continue;
        }
        queue_.emplace_back(frame->type, std::string(frame->body));
      }
      if (frames_.bad()) co_return;
      if (!startup && !busy_) co_await work();
      if (over_) co_return;
      if (!out_.empty() && !co_await flush()) co_return;
      error_code error;
      const std::size_t got = co_await socket_.async_read_some(
          asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
      if (error || got == 0) {
        closed();
        co_return;
      }
      frames_.feed({buffer.data(), got});
    }
  }

  void cancel() {
    if (busy_) server_.truth("cancelled", id_);
    if (job_ == 0) return;
    server_.model_.cancel(server_.now(), job_);
    server_.jobs_.erase(job_);
    job_ = 0;
    if (server_.troubles_.hang || server_.troubles_.vanish) return;
    cancelled_ = true;
    wake_.cancel();
  }

  void ended(const simulation::JobEnd& end) {
    end_ = end;
    job_ = 0;
    wake_.cancel();
  }

  void note() {
    if (job_ == 0 || !socket_.is_open() || writing_) return;
    pg::Fields fields;
    fields.severity = "NOTICE";
    fields.code = "01P5T";
    fields.message = server_.model_.waits(job_) ? "waiting"
                     : server_.model_.spills(job_)
                         ? "spilling"
                         : "progress=" + std::to_string(server_.model_.share_done(job_));
    std::string bytes;
    pg::put_notice(bytes, fields);
    error_code ignored;
    socket_.write_some(asio::buffer(bytes), ignored);
  }

  void set_terms(std::uint8_t priority, double memory_mb) {
    if (job_ != 0) server_.model_.set_terms(server_.now(), job_, priority, memory_mb);
  }

  // What was withheld while it hung.
  void speak() {
    if (!out_.empty())
      asio::co_spawn(
          server_.io_, [self = shared_from_this()]() -> asio::awaitable<void> { co_await self->flush(); },
          asio::detached);
  }

  void cut(bool reset) {
    if (busy_) server_.truth("link_closed", id_);
    error_code ignored;
    if (reset) socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
    over_ = true;
    wake_.cancel();
  }

  [[nodiscard]] pg::CancelKey key() const { return key_; }

 private:
  bool on_startup(std::string_view body, bool& startup) {
    const auto message = pg::parse_startup(body);
    if (!message) return false;
    if (message->code == pg::ssl_code || message->code == pg::gss_code) {
      out_.push_back('N');
      return true;
    }
    if (message->code == pg::cancel_code) {
      server_.cancel(message->key);
      return false;
    }
    for (const auto& [name, value] : message->parameters)
      if (name == "application_name") manager_ = value;
    if (server_.troubles_.drain) {
      auto fields = pg::error("57P03", "the engine drains");
      fields.severity = "FATAL";
      pg::put_error(out_, fields);
      over_ = true;
      return true;
    }
    pg::put_authentication(out_, 0);
    pg::put_parameter(out_, "server_version", "15.0 (stand-in)");
    pg::put_parameter(out_, "client_encoding", "UTF8");
    pg::put_key(out_, key_);
    pg::put_ready(out_, 'I');
    startup = false;
    return true;
  }

  asio::awaitable<bool> flush() {
    // One writer at a time; it takes along what comes meanwhile. One that hangs says nothing.
    if (writing_ || server_.troubles_.hang) co_return true;
    error_code error;
    writing_ = true;
    while (!out_.empty() && !error) {
      std::string bytes;
      bytes.swap(out_);
      co_await asio::async_write(socket_, asio::buffer(bytes),
                                 asio::redirect_error(asio::use_awaitable, error));
    }
    writing_ = false;
    co_return !error;
  }

  // Whole messages that wait, one after another; queries run while the reader above rests.
  asio::awaitable<void> work() {
    while (!queue_.empty() && !over_ && !busy_) {
      const auto [type, body] = std::move(queue_.front());
      queue_.pop_front();
      if (skipping_ && type != 'S' && type != 'X') continue;
      switch (type) {
        case 'X': over_ = true; co_return;
        case 'Q': {
          const std::string text(body.c_str());
          if (!setting(text)) {
            begin(text, false);
            break;
          }
          ready();
          break;
        }
        case 'P':
          if (const auto message = pg::parse_parse(body)) {
            statement_ = std::string(message->query);
            pg::put_empty(out_, '1');
          }
          break;
        case 'B': pg::put_empty(out_, '2'); break;
        case 'D':
          if (body[0] == 'S') {
            std::string none;
            pg::Writer(none).u16(0);
            pg::put_raw(out_, 't', none);
          }
          describe();
          break;
        case 'C': pg::put_empty(out_, '3'); break;
        case 'E': begin(statement_, true); break;
        case 'S':
          skipping_ = false;
          ready();
          break;
        default: break;
      }
    }
  }

  void describe() {
    const pg::Column column{"value", 25, -1};
    pg::put_row_description(out_, {&column, 1});
  }

  void ready() {
    pg::put_parameter(out_, "paddlestand.inflight", server_.load());
    pg::put_ready(out_, 'I');
  }

  // SET and RESET of terms; the empty query of a probe.
  bool setting(const std::string& text) {
    const auto scanned = sql::scan(text);
    if (scanned.statements.empty()) {
      pg::put_empty(out_, 'I');
      return true;
    }
    for (const auto& statement : scanned.statements) {
      const auto& words = statement.words;
      if (words[0] == "select" && words.size() > 4 && words[1] == "paddlestand" && words[3] == "set_terms") {
        std::string rest = text.substr(text.find('(') + 1);
        std::erase(rest, ',');
        std::istringstream in(rest);
        std::uint32_t process = 0;
        unsigned priority = 0;
        double memory = 0;
        in >> process >> priority >> memory;
        if (const auto found = server_.seats_.find(process); found != server_.seats_.end())
          if (const auto seat = found->second.lock())
            seat->set_terms(static_cast<std::uint8_t>(priority), memory);
        pg::put_complete(out_, "SELECT 0");
        return true;
      }
      if (words[0] != "set" && words[0] != "reset") return false;
      std::string name = words.size() > 1 ? words[1] : "";
      if (words.size() > 3 && words[2] == ".") name += "." + words[3];
      const std::string value = words.back().starts_with('\'') ? words.back().substr(1) : words.back();
      if (name == "paddlestand.priority")
        priority_ = words[0] == "set" ? static_cast<std::uint8_t>(number(value, 1)) : 1;
      if (name == "work_mem") memory_ = words[0] == "set" ? number(value, 0) : 0;
      pg::put_complete(out_, words[0] == "set" ? "SET" : "RESET");
    }
    return true;
  }

  void fail(const std::string& code, const std::string& text) {
    pg::put_error(out_, pg::error(code, text));
    if (extended_) {
      skipping_ = true;
    } else {
      ready();
    }
  }

  void begin(const std::string& text, bool extended) {
    extended_ = extended;
    wanted_ = read_wanted(text);
    id_ = wanted_.id;
    auto& troubles = server_.troubles_;
    nlohmann::json told{{"manager", manager_},
                        {"link", key_.process},
                        {"class", wanted_.tags["class"]},
                        {"key", wanted_.tags["key"]}};
    server_.truth("received", id_, told.dump());
    if (wanted_.tags.contains("sim_error")) return fail(wanted_.tags["sim_error"], "as the query asked");
    if (troubles.full) return turn_away();
    if (server_.chance(troubles.fail)) {
      server_.truth("failed", id_);
      return fail("XX000", "the engine fails fast");
    }
    wanted_.job.id = job_ = ++server_.last_job_;
    wanted_.job.priority = priority_;
    wanted_.job.granted_mb = memory_;
    switch (server_.model_.take(server_.now(), wanted_.job)) {
      case simulation::Taken::yes: break;
      case simulation::Taken::full: job_ = 0; return turn_away();
      case simulation::Taken::fell:
        job_ = 0;
        server_.truth("fell", id_);
        return fail("57P02", "the engine fell over");
    }
    server_.truth("started", id_);
    server_.jobs_[job_] = weak_from_this();
    server_.arm();
    busy_ = true;
    asio::co_spawn(
        server_.io_, [self = shared_from_this()] { return self->finish(); }, asio::detached);
  }

  void turn_away() {
    server_.truth("full", id_);
    fail("53300", "the engine is full");
  }

  asio::awaitable<void> finish() {
    const auto self = shared_from_this();
    error_code woken;
    while (!over_ && !cancelled_ && !end_) {
      co_await wake_.async_wait(asio::redirect_error(asio::use_awaitable, woken));
      wake_.expires_at(steady_clock::time_point::max());
    }
    if (over_) co_return;
    auto& troubles = server_.troubles_;
    if (cancelled_) {
      cancelled_ = false;
      fail("57014", "canceling statement due to user request");
    } else {
      const simulation::JobEnd end = *end_;
      end_.reset();
      server_.truth("applied", id_);
      if (server_.chance(troubles.lose)) {
        server_.truth("answer_lost", id_);
        co_return;  // silent: the link stays open and says nothing more
      }
      if (troubles.mute_first) co_return;
      if (!extended_) describe();
      if (!co_await rows(wanted_.rows, troubles.mute_mid)) co_return;
      pg::put_complete(out_, "SELECT " + std::to_string(wanted_.rows));
      pg::put_parameter(out_, "paddlestand.work_ms", std::to_string(end.work * 1000));
      pg::put_parameter(out_, "paddlestand.memory_mb", std::to_string(end.memory_mb));
      if (troubles.mute_end) {
        co_await flush();
        co_return;
      }
      if (!extended_) ready();
      server_.truth("ended", id_);
    }
    busy_ = false;
    co_await work();
    if (!out_.empty()) co_await flush();
    if (troubles.half_close) {
      error_code ignored;
      socket_.shutdown(tcp::socket::shutdown_send, ignored);
    }
  }

  asio::awaitable<bool> rows(std::size_t count, bool mute_mid) {
    const std::string value(wanted_.row_bytes, 'x');
    const std::string_view cell = value;
    for (std::size_t i = 0; i < count; ++i) {
      pg::put_row(out_, {&cell, 1});
      if (mute_mid && i >= count / 2) {
        co_await flush();
        server_.truth("muted", id_);
        co_return false;
      }
      if (out_.size() >= 256 * 1024 && !server_.troubles_.hang && !co_await flush()) co_return false;
    }
    co_return true;
  }

  void closed() {
    if (busy_) server_.truth("link_closed", id_);
    if (job_ != 0) {
      server_.model_.cancel(server_.now(), job_);
      server_.jobs_.erase(job_);
      job_ = 0;
    }
    over_ = true;
    wake_.cancel();
  }

  void forget() {
    if (!*server_alive_) return;
    server_.seats_.erase(key_.process);
    if (job_ != 0) server_.jobs_.erase(job_);
  }

  Server& server_;
  std::shared_ptr<bool> server_alive_;
  tcp::socket socket_;
  pg::CancelKey key_;
  pg::FrameReader frames_;
  asio::steady_timer wake_;
  std::deque<std::pair<char, std::string>> queue_;
  std::string out_, statement_, id_, manager_;
  std::uint8_t priority_ = 1;
  double memory_ = 0;
  Wanted wanted_;
  simulation::JobId job_ = 0;
  std::optional<simulation::JobEnd> end_;
  bool busy_ = false, over_ = false, cancelled_ = false, skipping_ = false, extended_ = false,
       writing_ = false;
};

Server::Server(asio::io_context& io, TestEngineSettings settings)
    : io_(io),
      settings_(std::move(settings)),
      model_(settings_.shape, settings_.cold ? now() : now() - settings_.shape.slow_start_duration - 1),
      control_acceptor_(io),
      timer_(io),
      random_(settings_.seed) {
  if (!settings_.truth_log.empty()) log_ = std::fopen(settings_.truth_log.c_str(), "a");
}

Server::~Server() {
  *alive_ = false;
  if (log_ != nullptr) std::fclose(log_);
}

double Server::now() const { return static_cast<double>(shared_clock()) * 1e-9; }

void Server::truth(const char* what, const std::string& id, const std::string& more) {
  if (log_ == nullptr) return;
  nlohmann::json line{{"t", shared_clock()}, {"engine", settings_.name}, {"what", what}, {"id", id}};
  if (!more.empty()) line.update(nlohmann::json::parse(more));
  const std::string text = line.dump() + "\n";
  std::fwrite(text.data(), 1, text.size(), log_);
  std::fflush(log_);
}

bool Server::chance(double share) {
  return share > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

std::string Server::load() {
  if (now() - told_at_ >= settings_.report_period_s) {
    told_load_ = static_cast<double>(model_.held());
    told_at_ = now();
  }
  return std::to_string(static_cast<int>(told_load_));
}

void Server::listen() {
  acceptor_ = std::make_unique<tcp::acceptor>(io_);
  const tcp::endpoint at(asio::ip::make_address(settings_.address), port_ != 0 ? port_ : settings_.port);
  acceptor_->open(at.protocol());
  acceptor_->set_option(tcp::acceptor::reuse_address(true));
  acceptor_->bind(at);
  acceptor_->listen();
  port_ = acceptor_->local_endpoint().port();
  asio::co_spawn(io_, accept(), asio::detached);
}

void Server::start() {
  listen();
  const tcp::endpoint at(asio::ip::make_address(settings_.address), settings_.control_port);
  control_acceptor_.open(at.protocol());
  control_acceptor_.set_option(tcp::acceptor::reuse_address(true));
  control_acceptor_.bind(at);
  control_acceptor_.listen();
  control_port_ = control_acceptor_.local_endpoint().port();
  asio::co_spawn(io_, control(), asio::detached);
  if (settings_.note_period_s > 0) asio::co_spawn(io_, notes(), asio::detached);
  truth("up", "", settings_.cold ? R"({"cold":true})" : R"({"cold":false})");
}

asio::awaitable<void> Server::accept() {
  tcp::acceptor* const mine = acceptor_.get();
  for (;;) {
    error_code error;
    tcp::socket socket = co_await mine->async_accept(asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;  // closed by a command
    if (troubles_.vanish) {
      // Accepted by the kernel, served by nobody.
      if (unserved_.size() < most_unserved) unserved_.push_back(std::move(socket));
      continue;
    }
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto seat = std::make_shared<Seat>(*this, std::move(socket), ++last_process_,
                                             static_cast<std::uint32_t>(random_()));
    seats_[last_process_] = seat;
    asio::co_spawn(
        io_, [seat] { return seat->run(); }, asio::detached);
  }
}

bool Server::cancel(pg::CancelKey key) {
  const auto found = seats_.find(key.process);
  if (found == seats_.end()) return false;
  const auto seat = found->second.lock();
  if (!seat || !(seat->key() == key)) return false;
  seat->cancel();
  return true;
}

void Server::arm() {
  const auto end = model_.next_end();
  if (!end) return;
  timer_.expires_after(
      std::chrono::nanoseconds(static_cast<std::int64_t>(std::max(0.0, *end - now()) * 1e9)));
  timer_.async_wait([this](const error_code& error) {
    if (!error) finish_due();
  });
}

void Server::finish_due() {
  for (const simulation::JobEnd& end : model_.advance(now())) {
    const auto found = jobs_.find(end.id);
    if (found == jobs_.end()) continue;
    const auto seat = found->second.lock();
    jobs_.erase(found);
    if (seat) seat->ended(end);
  }
  arm();
}

asio::awaitable<void> Server::notes() {
  asio::steady_timer timer(io_);
  for (;;) {
    timer.expires_after(std::chrono::nanoseconds(static_cast<std::int64_t>(settings_.note_period_s * 1e9)));
    error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
    if (troubles_.hang || troubles_.vanish) continue;
    for (const auto& [process, weak] : std::map(seats_))
      if (const auto seat = weak.lock()) seat->note();
  }
}

asio::awaitable<void> Server::control() {
  for (;;) {
    error_code error;
    tcp::socket socket =
        co_await control_acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
    asio::co_spawn(io_, talk(std::move(socket)), asio::detached);
  }
}

asio::awaitable<void> Server::talk(tcp::socket socket) {
  asio::streambuf buffer(4096);
  for (;;) {
    error_code error;
    co_await asio::async_read_until(socket, buffer, '\n', asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
    std::istream in(&buffer);
    std::string line;
    std::getline(in, line);
    const std::string answer = command(line) + "\n";
    co_await asio::async_write(socket, asio::buffer(answer),
                               asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
  }
}

std::string Server::command(const std::string& line) {
  std::istringstream in(line);
  std::string what;
  double value = 0;
  in >> what >> value;
  truth("trouble", "", nlohmann::json{{"command", line}}.dump());
  const auto seats = std::map(seats_);
  const auto cut_all = [&](bool reset) {
    for (const auto& [process, weak] : seats)
      if (const auto seat = weak.lock()) seat->cut(reset);
  };
  if (what == "normal") {
    const bool listens = acceptor_->is_open();
    troubles_ = {};
    model_.hang(now(), false);
    model_.slow_down(now(), 1);
    unserved_.clear();
    for (const auto& [process, weak] : seats)
      if (const auto seat = weak.lock()) seat->speak();
    if (!listens) listen();
  } else if (what == "hang" || what == "vanish") {
    troubles_.hang = true;
    troubles_.vanish = what == "vanish";
    model_.hang(now(), true);
  } else if (what == "slow") {
    model_.slow_down(now(), value);
  } else if (what == "fail") {
    troubles_.fail = value;
  } else if (what == "lose") {
    troubles_.lose = value;
  } else if (what == "mute-first") {
    troubles_.mute_first = true;
  } else if (what == "mute-mid") {
    troubles_.mute_mid = true;
  } else if (what == "mute-end") {
    troubles_.mute_end = true;
  } else if (what == "half-close") {
    troubles_.half_close = true;
  } else if (what == "full") {
    troubles_.full = true;
  } else if (what == "drain") {
    troubles_.drain = true;
  } else if (what == "report-late") {
    settings_.report_period_s = value / 1000;
  } else if (what == "flush") {
    model_.flush(now());
  } else if (what == "reset") {
    cut_all(true);
  } else if (what == "refuse") {
    error_code ignored;
    acceptor_->close(ignored);
  } else if (what == "cold") {
    cut_all(true);
    model_.restart(now());
    truth("up", "", R"({"cold":true})");
  } else if (what == "die") {
    truth("died", "");
    std::_Exit(0);
  } else {
    return "unknown command; wanted: normal hang vanish slow fail lose mute-first mute-mid mute-end "
           "half-close full "
           "drain report-late flush reset refuse cold die";
  }
  finish_due();
  return "ok";
}

}  // namespace paddlestand::test_engine

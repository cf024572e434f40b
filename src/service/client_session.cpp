#include "client_session.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "protocol/pg/sqlstate.hpp"
#include "spawn.hpp"

namespace paddlestand::service {
namespace asio = boost::asio;
using boost::system::error_code;
using std::chrono::steady_clock;

namespace {
// While a request is under way, so much of what was pipelined behind it is read ahead; its main use is to
// hear of a client that is gone.
constexpr std::size_t most_ahead = 64 * 1024;
constexpr std::size_t keep_room = 64 * 1024;  // a larger buffer is given back once it is empty
}  // namespace

ClientSession::ClientSession(PostgresServer& manager, tcp::socket socket, core::SessionId id,
                             pg::CancelKey key)
    : manager_(manager),
      socket_(std::move(socket)),
      id_(id),
      key_(key),
      front_(manager.frontend_settings(), manager.users(), key, manager.nonce()),
      since_(steady_clock::now()),
      progress_(since_),
      wake_(manager.io()) {
  wake_.expires_at(steady_clock::time_point::max());
}

void ClientSession::start() {
  spawn_with(manager_.io(), [self = shared_from_this()] { return self->read(); });
}

void ClientSession::close() {
  if (closed_) return;
  closed_ = true;
  socket_.close();
  wake_.cancel();
  if (opened_) manager_.dispatch(core::SessionClosed{id_});
  manager_.session_gone(id_);
}

// What was said last is read by its client, whatever it has written meanwhile: only then is it closed.
void ClientSession::say_goodbye() {
  if (closed_) return;
  manager_.linger(std::move(socket_));
  close();
}

asio::awaitable<void> ClientSession::rest_until_woken() {
  error_code woken;
  co_await wake_.async_wait(asio::redirect_error(asio::use_awaitable, woken));
  if (!closed_ && !ending_) wake_.expires_at(steady_clock::time_point::max());
}

asio::awaitable<void> ClientSession::read() {
  const auto self = shared_from_this();
  IoStatus last = IoStatus::would_block;
  while (!closed_) {
    if (ending_ || ((front_.busy() || crowded_) && front_.waiting() >= most_ahead)) {
      co_await rest_until_woken();
      if (ending_) co_return;
      continue;
    }
    co_await socket_.wait_to_receive(last);
    if (closed_ || ending_) co_return;
    last = read_some();
  }
}

IoStatus ClientSession::read_some() {
  const IoResult got = socket_.receive(manager_.scratch());
  switch (got.status) {
    case IoStatus::progress:
      front_.feed({manager_.scratch().data(), got.bytes});
      pump();
      break;
    case IoStatus::end_of_input:
      // A client may shut down its sending side and still wait for its answers: PostgreSQL's clients don't,
      // and a query nobody waits for must not hold an engine.
    case IoStatus::ended: close(); break;
    case IoStatus::would_block:
    case IoStatus::retry_later: break;
  }
  return got.status;
}

// Takes what the front makes of the client's bytes, as far as it goes.
void ClientSession::pump() {
  if (pumping_) return;  // an answer came at once, while a request was handed over: the loop below goes on
  pumping_ = true;
  while (!closed_ && !ending_) {
    // Who pipelines and does not read must not pile up answers beyond its window.
    crowded_ = !has_room();
    if (crowded_) break;
    auto event = front_.next();
    out_ += front_.out();
    front_.out().clear();
    if (!event) break;
    if (std::holds_alternative<pg::FrontendStarted>(*event)) {
      opened_ = true;
      manager_.dispatch(core::SessionOpened{id_});
    } else if (const auto* cancel = std::get_if<pg::FrontendCancelRequest>(&*event)) {
      manager_.cancel_session(cancel->key);
      ending_ = true;
    } else if (auto* request = std::get_if<pg::FrontendRequest>(&*event)) {
      manager_.ask(shared_from_this(), std::move(*request));
    } else {
      ending_ = true;
    }
  }
  pumping_ = false;
  flush();
  pump_if_room();
}

bool ClientSession::has_room() const {
  return out_.size() + writing_.size() - written_ <= manager_.config().core.client_window;
}

void ClientSession::pump_if_room() {
  if (!crowded_ || closed_ || !has_room()) return;
  crowded_ = false;
  wake_.cancel();
  pump();
}

void ClientSession::deliver(std::string& bytes, bool mid_message) {
  undelivered_bytes_ += bytes.size();
  mid_message_ = mid_message;
  if (out_.empty()) {
    out_.swap(bytes);
  } else {
    out_ += bytes;
  }
  bytes.clear();
  // What ends the answer follows at once; one write for both.
  if (out_.size() >= keep_room) flush();
}

void ClientSession::answered(const core::Answer& answer, const pg::BackendAnswerEnd* end) {
  request_ = {};
  if (closed_) return;
  if (answer.kind == core::AnswerKind::served && end != nullptr) {
    front_.request_done(*end);
  } else if (mid_message_) {
    // Its client is inside a message whose rest will never come: only an end of the connection can be told.
    manager_.log().warn("cut", "session " + std::to_string(id_) + " closed inside a row");
    return say_goodbye();
  } else {
    front_.request_failed(pg::fields_of(answer));
  }
  out_ += front_.out();
  front_.out().clear();
  wake_.cancel();
  if (pumping_) return;  // the loop in pump() goes on
  flush();
  pump();
  if (leaving_) leave();
}

bool ClientSession::still_there() {
  if (closed_) return false;
  char next{};
  const IoStatus status = socket_.peek({&next, 1}).status;
  if (status == IoStatus::end_of_input || status == IoStatus::ended) close();
  return !closed_;
}

void ClientSession::leave() {
  leaving_ = true;
  if (closed_ || ending_ || front_.busy()) return;
  auto fields = pg::error("57P01", "the workload manager is leaving", "repeat=harmless");
  fields.severity = "FATAL";
  pg::put_error(out_, fields);
  ending_ = true;
  wake_.cancel();
  flush();
}

void ClientSession::refuse(const pg::Fields& error) {
  front_.request_failed(error);
  out_ += front_.out();
  front_.out().clear();
}

void ClientSession::took(std::size_t bytes) {
  progress_ = steady_clock::now();
  const std::size_t delivered = std::min(bytes, undelivered_bytes_);
  if (delivered == 0) return;
  undelivered_bytes_ -= delivered;
  manager_.dispatch(core::ClientConsumed{id_, delivered});
}

// Writes what waits, until it can't now, or never again.
IoStatus ClientSession::write_some() {
  for (;;) {
    if (written_ == writing_.size()) {
      writing_.clear();
      written_ = 0;
      if (out_.empty()) return IoStatus::progress;
      writing_.swap(out_);
    }
    const IoResult sent = socket_.send(std::string_view(writing_).substr(written_));
    if (sent.status == IoStatus::ended) close();
    if (sent.status != IoStatus::progress) return sent.status;
    written_ += sent.bytes;
    took(sent.bytes);
    if (closed_) return IoStatus::ended;
  }
}

void ClientSession::flush() {
  if (closed_ || writes_) return;
  writes_ = true;  // what is told of the bytes may bring more of them
  const IoStatus status = write_some();
  writes_ = false;
  if (closed_) return;
  if (status == IoStatus::progress) {
    if (writing_.capacity() > keep_room) std::string().swap(writing_);
    if (ending_) say_goodbye();
    return;
  }
  progress_ = steady_clock::now();
  writes_ = true;
  spawn_with(manager_.io(), [self = shared_from_this()] { return self->write_on(); });
}

asio::awaitable<void> ClientSession::write_on() {
  const auto self = shared_from_this();
  IoStatus last = IoStatus::would_block;
  while (!closed_ && last != IoStatus::progress) {
    co_await socket_.wait_to_send(last);
    if (closed_) co_return;
    last = write_some();
    if (closed_) co_return;
    pump_if_room();
  }
  writes_ = false;
  std::string().swap(writing_);
  written_ = 0;
  flush();
  pump_if_room();
}

void ClientSession::sweep(steady_clock::time_point now) {
  if (closed_) return;
  const auto& listen = manager_.config().listen;
  if (!front_.started() && now - since_ > listen.login_time) {
    manager_.log().info("login", "session " + std::to_string(id_) + " closed: no login in time");
    return close();
  }
  if (writes_ && now - progress_ > listen.write_stall) {
    manager_.log().info("stall", "session " + std::to_string(id_) + " closed: its client does not read");
    close();
  }
}

}  // namespace paddlestand::service

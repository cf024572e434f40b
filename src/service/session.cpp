#include "session.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "protocol/pg/sqlstate.hpp"

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

Session::Session(Manager& manager, tcp::socket socket, core::SessionId id, pg::CancelKey key)
    : manager_(manager),
      socket_(std::move(socket)),
      id_(id),
      key_(key),
      front_(manager.front_settings(), manager.users(), key, manager.nonce()),
      since_(steady_clock::now()),
      progress_(since_),
      wake_(manager.io()) {
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  wake_.expires_at(steady_clock::time_point::max());
}

void Session::start() {
  asio::co_spawn(
      manager_.io(), [self = shared_from_this()] { return self->read(); }, asio::detached);
}

void Session::close() {
  if (closed_) return;
  closed_ = true;
  error_code ignored;
  socket_.close(ignored);
  wake_.cancel();
  if (opened_) manager_.tell(core::SessionClosed{id_});
  manager_.session_gone(id_);
}

asio::awaitable<void> Session::read() {
  const auto self = shared_from_this();
  while (!closed_) {
    if (ending_ || ((front_.busy() || crowded_) && front_.waiting() >= most_ahead)) {
      error_code woken;
      co_await wake_.async_wait(asio::redirect_error(asio::use_awaitable, woken));
      if (!closed_ && !ending_) wake_.expires_at(steady_clock::time_point::max());
      if (ending_) co_return;
      continue;
    }
    // Most requests fit the session's own few bytes; a larger one goes on in the buffer that all share.
    error_code error;
    const std::size_t got = co_await socket_.async_read_some(
        asio::buffer(first_), asio::redirect_error(asio::use_awaitable, error));
    if (closed_) co_return;
    if (error || got == 0) {
      // A client may shut down its sending side and still wait for its answers: PostgreSQL's clients don't,
      // and a query nobody waits for must not hold an engine.
      close();
      co_return;
    }
    front_.feed({first_.data(), got});
    if (got == first_.size()) {
      const std::size_t more =
          socket_.read_some(asio::buffer(manager_.scratch().data(), manager_.scratch().size()), error);
      if (!error) front_.feed({manager_.scratch().data(), more});
    }
    pump();
  }
}

// Takes what the front makes of the client's bytes, as far as it goes.
void Session::pump() {
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
    if (std::holds_alternative<pg::FrontStarted>(*event)) {
      opened_ = true;
      manager_.tell(core::SessionOpened{id_});
    } else if (const auto* cancel = std::get_if<pg::FrontCancel>(&*event)) {
      manager_.cancel_session(cancel->key);
      ending_ = true;
    } else if (auto* request = std::get_if<pg::FrontRequest>(&*event)) {
      manager_.ask(shared_from_this(), std::move(*request));
    } else {
      ending_ = true;
    }
  }
  pumping_ = false;
  flush();
  pump_if_room();
}

bool Session::has_room() const {
  return out_.size() + writing_.size() - written_ <= manager_.config().core.client_window;
}

void Session::pump_if_room() {
  if (!crowded_ || closed_ || !has_room()) return;
  crowded_ = false;
  wake_.cancel();
  pump();
}

void Session::deliver(std::string& bytes, bool mid_message) {
  untaken_ += bytes.size();
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

void Session::answered(const core::Answer& answer, const pg::LinkAnswerEnd* end) {
  request_ = {};
  if (closed_) return;
  if (answer.kind == core::AnswerKind::served && end != nullptr) {
    front_.request_done(*end);
  } else if (mid_message_) {
    // Its client is inside a message whose rest will never come: only an end of the connection can be told.
    manager_.log().warn("cut", "session " + std::to_string(id_) + " closed inside a row");
    close();
    return;
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

void Session::leave() {
  leaving_ = true;
  if (closed_ || ending_ || front_.busy()) return;
  auto fields = pg::error("57P01", "the workload manager is leaving", "repeat=harmless");
  fields.severity = "FATAL";
  pg::put_error(out_, fields);
  ending_ = true;
  wake_.cancel();
  flush();
}

void Session::refuse(const pg::Fields& error) {
  front_.request_failed(error);
  out_ += front_.out();
  front_.out().clear();
}

void Session::took(std::size_t bytes) {
  progress_ = steady_clock::now();
  const std::size_t delivered = std::min(bytes, untaken_);
  if (delivered == 0) return;
  untaken_ -= delivered;
  manager_.tell(core::ClientTook{id_, delivered});
}

void Session::flush() {
  if (closed_ || writes_) return;
  if (!out_.empty()) {
    error_code error;
    const std::size_t sent = socket_.write_some(asio::buffer(out_), error);
    if (error && error != asio::error::would_block && error != asio::error::try_again) return close();
    if (sent == out_.size()) {
      out_.clear();
      if (out_.capacity() > keep_room) out_.shrink_to_fit();
      took(sent);
    } else {
      writing_.swap(out_);
      out_.clear();
      written_ = sent;
      writes_ = true;
      progress_ = steady_clock::now();
      asio::co_spawn(
          manager_.io(), [self = shared_from_this()] { return self->write_on(); }, asio::detached);
      if (sent > 0) took(sent);
      return;
    }
  }
  if (ending_) close();
}

asio::awaitable<void> Session::write_on() {
  const auto self = shared_from_this();
  while (!closed_ && written_ < writing_.size()) {
    error_code error;
    const std::size_t sent = co_await socket_.async_write_some(
        asio::buffer(writing_.data() + written_, writing_.size() - written_),
        asio::redirect_error(asio::use_awaitable, error));
    if (closed_) co_return;
    if (error) {
      close();
      co_return;
    }
    written_ += sent;
    took(sent);
    if (written_ == writing_.size()) {
      writing_.clear();
      writing_.swap(out_);
      written_ = 0;
    }
    pump_if_room();
  }
  writes_ = false;
  std::string().swap(writing_);
  written_ = 0;
  flush();
  pump_if_room();
}

void Session::sweep(steady_clock::time_point now) {
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

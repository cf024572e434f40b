#include "client_session.hpp"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "protocol/pg/sqlstate.hpp"
#include "spawn.hpp"

namespace paddlestand::service {
using Field = observe::LogFieldName;
namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Limit of the input buffered behind a request in flight. Reading ahead detects that the client has closed.
constexpr std::size_t max_read_ahead_bytes = std::size_t{64} * 1024;
constexpr std::size_t retained_buffer_bytes =
    std::size_t{64} * 1024;  // larger buffers are freed once they are empty

void free_buffer(std::string& buffer) { std::string().swap(buffer); }

}  // namespace

ClientSession::ClientSession(PostgresServer& server, tcp::socket socket, core::SessionId id,
                             pg::CancelKey key)
    : server_(server),
      socket_(std::move(socket)),
      id_(id),
      key_(key),
      frontend_(server.frontend_settings(), server.users(), key, PostgresServer::make_nonce()),
      opened_at_(Clock::now()),
      last_write_progress_(opened_at_),
      wakeup_(server.io()) {
  wakeup_.expires_at(Clock::time_point::max());
}

void ClientSession::start() {
  spawn_with(server_.io(), [self = shared_from_this()] { return self->read_loop(); });
}

// ---- Closing ----

void ClientSession::close() {
  if (state_ == State::closed) return;
  state_ = State::closed;
  socket_.close();
  wakeup_.cancel();
  if (is_opened_) server_.dispatch(core::SessionClosed{id_});
  server_.on_session_closed(id_);
}

void ClientSession::begin_closing() {
  if (state_ == State::open) state_ = State::closing;
}

void ClientSession::close_gracefully() {
  if (state_ == State::closed) return;
  server_.close_gracefully(std::move(socket_));
  close();
}

void ClientSession::begin_shutdown() {
  is_server_shutting_down_ = true;
  if (state_ != State::open || frontend_.busy()) return;
  auto error = pg::error("57P01", "the workload manager is shutting down", "repeat=harmless");
  error.severity = "FATAL";
  pg::put_error(output_, error);
  begin_closing();
  wakeup_.cancel();
  flush();
}

bool ClientSession::check_connected() {
  if (state_ == State::closed) return false;
  char next{};
  const IoStatus status = socket_.peek({&next, 1}).status;
  if (status == IoStatus::end_of_input || status == IoStatus::ended) close();
  return state_ != State::closed;
}

void ClientSession::sweep(Clock::time_point now) {
  if (state_ == State::closed) return;
  const auto& listen = server_.config().listen;
  if (!frontend_.started() && now - opened_at_ > listen.login_time) {
    server_.log().info(observe::LogEvent::login_timed_out, {{Field::session, id_}}, "closed");
    close();
    return;
  }
  if (is_writing_ && now - last_write_progress_ > listen.write_stall) {
    server_.log().info(observe::LogEvent::client_stalled, {{Field::session, id_}}, "closed");
    close();
  }
}

// ---- Reading ----

asio::awaitable<void> ClientSession::wait_until_woken() {
  error_code woken;
  co_await wakeup_.async_wait(asio::redirect_error(asio::use_awaitable, woken));
  if (state_ == State::open) wakeup_.expires_at(Clock::time_point::max());
}

bool ClientSession::is_read_ahead_full() const {
  return (frontend_.busy() || is_output_full_) && frontend_.buffered_bytes() >= max_read_ahead_bytes;
}

asio::awaitable<void> ClientSession::read_loop() {
  const auto self = shared_from_this();
  IoStatus last = IoStatus::would_block;
  while (state_ != State::closed) {
    if (state_ == State::closing || is_read_ahead_full()) {
      co_await wait_until_woken();
      if (state_ != State::open) co_return;
      continue;
    }
    co_await socket_.wait_to_receive(last);
    if (state_ != State::open) co_return;
    last = receive_some();
  }
}

IoStatus ClientSession::receive_some() {
  const IoResult received = socket_.receive(server_.scratch());
  switch (received.status) {
    case IoStatus::progress:
      frontend_.feed({server_.scratch().data(), received.bytes});
      process_input();
      break;
    case IoStatus::end_of_input:
      // TCP lets a client shut down its sending side and still wait for answers. PostgreSQL's clients don't,
      // and an abandoned query must not occupy an engine.
    case IoStatus::ended: close(); break;
    case IoStatus::outdated:
    case IoStatus::would_block:
    case IoStatus::retry_later: break;
  }
  return received.status;
}

/// Handles buffered messages of the client until the next one is incomplete, a request is in flight, or the
/// output exceeds the client's window.
void ClientSession::process_input() {
  if (is_processing_) return;  // re-entered from handle(): the outer call's loop continues
  is_processing_ = true;
  while (state_ == State::open) {
    // Bounds the answers buffered for a client that pipelines requests without reading.
    is_output_full_ = !has_output_capacity();
    if (is_output_full_) break;
    auto event = frontend_.next();
    queue_frontend_output();
    if (!event) break;
    handle(*event);
  }
  is_processing_ = false;
  flush();
  resume_if_capacity();
}

void ClientSession::handle(pg::FrontendEvent& event) {
  if (std::holds_alternative<pg::FrontendStarted>(event)) {
    is_opened_ = true;
    server_.dispatch(core::SessionOpened{id_});
  } else if (const auto* cancel = std::get_if<pg::FrontendCancelRequest>(&event)) {
    server_.cancel_session(cancel->key);
    begin_closing();
  } else if (auto* request = std::get_if<pg::FrontendRequest>(&event)) {
    server_.submit_request(shared_from_this(), std::move(*request));
  } else {
    begin_closing();
  }
}

void ClientSession::reject_request(const pg::Fields& error) {
  frontend_.request_failed(error);
  queue_frontend_output();
}

// ---- Answers ----

void ClientSession::deliver(std::string& bytes, bool mid_message) {
  undelivered_bytes_ += bytes.size();
  is_mid_message_ = mid_message;
  if (output_.empty()) {
    output_.swap(bytes);
  } else {
    output_ += bytes;
  }
  bytes.clear();
  // Small parts are not flushed here: the end of a short answer usually follows, and one write sends both.
  if (output_.size() >= retained_buffer_bytes) flush();
}

void ClientSession::on_answer(const core::Answer& answer, const pg::BackendAnswerEnd* end) {
  query_ = {};
  if (state_ == State::closed) return;
  if (answer.kind == core::AnswerKind::served && end != nullptr) {
    frontend_.request_done(*end);
  } else if (is_mid_message_) {
    // The rest of the message will not arrive, and an ErrorResponse cannot be sent inside another message.
    server_.log().warn(observe::LogEvent::connection_aborted, {{Field::session, id_}},
                       "the answer ended inside a row");
    close_gracefully();
    return;
  } else {
    frontend_.request_failed(pg::fields_of(answer));
  }
  queue_frontend_output();
  wakeup_.cancel();
  if (is_processing_) return;  // the loop of the outer process_input() continues
  flush();
  process_input();
  if (is_server_shutting_down_) begin_shutdown();
}

// ---- Writing ----

void ClientSession::queue_frontend_output() {
  output_ += frontend_.out();
  frontend_.out().clear();
}

bool ClientSession::has_output_capacity() const {
  return output_.size() + writing_.size() - written_ <= server_.config().core.client_window;
}

void ClientSession::resume_if_capacity() {
  if (!is_output_full_ || state_ == State::closed || !has_output_capacity()) return;
  is_output_full_ = false;
  wakeup_.cancel();
  process_input();
}

void ClientSession::on_bytes_written(std::size_t bytes) {
  last_write_progress_ = Clock::now();
  const std::size_t delivered = std::min(bytes, undelivered_bytes_);
  if (delivered == 0) return;
  undelivered_bytes_ -= delivered;
  server_.dispatch(core::ClientConsumed{id_, delivered});
}

/// Writes queued output until the queue is empty, the socket would block or the connection has ended.
IoStatus ClientSession::write_pending() {
  for (;;) {
    if (written_ == writing_.size()) {
      writing_.clear();
      written_ = 0;
      if (output_.empty()) return IoStatus::progress;
      writing_.swap(output_);
    }
    const IoResult sent = socket_.send(std::string_view(writing_).substr(written_));
    if (sent.status == IoStatus::ended) close();
    if (sent.status != IoStatus::progress) return sent.status;
    written_ += sent.bytes;
    on_bytes_written(sent.bytes);
    if (state_ == State::closed) return IoStatus::ended;
  }
}

void ClientSession::flush() {
  if (state_ == State::closed || is_writing_) return;
  is_writing_ = true;  // ClientConsumed events may deliver more output and call flush() again
  const IoStatus status = write_pending();
  is_writing_ = false;
  if (state_ == State::closed) return;
  if (status == IoStatus::progress) {
    if (writing_.capacity() > retained_buffer_bytes) free_buffer(writing_);
    if (state_ == State::closing) close_gracefully();
    return;
  }
  last_write_progress_ = Clock::now();
  is_writing_ = true;
  spawn_with(server_.io(), [self = shared_from_this()] { return self->write_remaining(); });
}

asio::awaitable<void> ClientSession::write_remaining() {
  const auto self = shared_from_this();
  IoStatus last = IoStatus::would_block;
  while (state_ != State::closed && last != IoStatus::progress) {
    co_await socket_.wait_to_send(last);
    if (state_ == State::closed) co_return;
    last = write_pending();
    if (state_ == State::closed) co_return;
    resume_if_capacity();
  }
  is_writing_ = false;
  free_buffer(writing_);
  written_ = 0;
  flush();
  resume_if_capacity();
}

}  // namespace paddlestand::service

#include "session.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "protocol/pg/bytes.hpp"
#include "protocol/pg/sqlstate.hpp"
#include "sqlstates.hpp"

namespace paddlestand::test_engine {
namespace asio = boost::asio;
using boost::system::error_code;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t max_message_bytes = 64U << 20U;
constexpr std::size_t read_buffer_bytes = std::size_t{16} * 1024;

}  // namespace

Session::Session(std::shared_ptr<EngineContext> engine, tcp::socket socket, pg::CancelKey key)
    : engine_(std::move(engine)),
      socket_(std::move(socket)),
      cancel_key_(key),
      frames_(max_message_bytes),
      query_end_event_(engine_->io_context, steady_clock::time_point::max()) {}

Session::~Session() {
  engine_->sessions.erase(cancel_key_.process);
  if (job_id_ != 0) engine_->jobs.detach(job_id_);
}

asio::awaitable<void> Session::run() {
  const auto self = shared_from_this();
  std::vector<char> buffer(read_buffer_bytes);
  for (;;) {
    if (!read_frames()) co_return;
    if (is_logged_in_ && !has_query_) process_messages();
    if (!output_.empty() && !co_await flush()) co_return;
    if (is_closed_) co_return;
    error_code error;
    const std::size_t received = co_await socket_.async_read_some(
        asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
    if (error || received == 0) {
      on_closed();
      co_return;
    }
    frames_.feed({buffer.data(), received});
  }
}

// ---- Calls from the server and the job executor ----

void Session::cancel() {
  if (has_query_) engine_->log.write(log_event::query_cancelled, query_profile_.id);
  if (job_id_ == 0) return;
  engine_->jobs.cancel(job_id_);
  job_id_ = 0;
  if (engine_->faults.hang || engine_->faults.vanish) return;
  is_cancelled_ = true;
  query_end_event_.cancel();
}

void Session::on_job_end(const simulation::JobEnd& end) {
  job_end_ = end;
  job_id_ = 0;
  query_end_event_.cancel();
}

void Session::send_progress() {
  if (job_id_ == 0 || !socket_.is_open() || is_writing_) return;
  const simulation::EngineModel& model = engine_->jobs.model();
  pg::Fields fields;
  fields.severity = "NOTICE";
  fields.code = sqlstate::progress_report;
  if (model.is_waiting(job_id_)) {
    fields.message = "waiting";
  } else if (model.is_spilling(job_id_)) {
    fields.message = "spilling";
  } else {
    fields.message = "progress=" + std::to_string(model.progress_of(job_id_));
  }
  std::string bytes;
  pg::put_notice(bytes, fields);
  error_code ignored;
  socket_.write_some(asio::buffer(bytes), ignored);
}

void Session::set_terms(std::uint8_t priority, double memory_mb) {
  if (job_id_ != 0) engine_->jobs.set_terms(job_id_, priority, memory_mb);
}

void Session::send_withheld_output() {
  if (output_.empty()) return;
  asio::co_spawn(
      engine_->io_context, [self = shared_from_this()]() -> asio::awaitable<void> { co_await self->flush(); },
      asio::detached);
}

void Session::abort() {
  if (has_query_) engine_->log.write(log_event::connection_closed, query_profile_.id);
  error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  socket_.close(ignored);
  is_closed_ = true;
  query_end_event_.cancel();
}

// ---- Messages ----

/// Returns false if the connection must be closed.
bool Session::read_frames() {
  while (const auto frame = frames_.next(is_logged_in_)) {
    if (is_logged_in_) {
      pending_messages_.emplace_back(frame->type, std::string(frame->body));
    } else if (!on_startup(frame->body)) {
      return false;
    }
  }
  return !frames_.bad();
}

/// Returns false if the connection must be closed.
bool Session::on_startup(std::string_view body) {
  const auto message = pg::parse_startup(body);
  if (!message) return false;
  if (message->code == pg::ssl_code || message->code == pg::gss_code) {
    output_.push_back('N');
    return true;
  }
  if (message->code == pg::cancel_code) {
    const auto target = engine_->find_session(message->key.process);
    if (target && target->cancel_key() == message->key) target->cancel();
    return false;
  }
  for (const auto& [name, value] : message->parameters) {
    if (name == "application_name") manager_name_ = value;
  }
  if (engine_->faults.draining) {
    reject_session();
  } else {
    accept_session();
  }
  return true;
}

void Session::reject_session() {
  auto fields = pg::error(sqlstate::cannot_connect_now, "the engine is draining");
  fields.severity = "FATAL";
  pg::put_error(output_, fields);
  is_closed_ = true;
}

void Session::accept_session() {
  pg::put_authentication(output_, 0);
  pg::put_parameter(output_, "server_version", "15.0 (stand-in)");
  pg::put_parameter(output_, "client_encoding", "UTF8");
  pg::put_key(output_, cancel_key_);
  pg::put_ready(output_, 'I');
  is_logged_in_ = true;
}

asio::awaitable<bool> Session::flush() {
  // Only one coroutine writes at a time. It also writes output that is added while it runs.
  if (is_writing_ || engine_->faults.hang) co_return true;
  error_code error;
  is_writing_ = true;
  while (!output_.empty() && !error) {
    std::string bytes;
    bytes.swap(output_);
    co_await asio::async_write(socket_, asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, error));
  }
  is_writing_ = false;
  co_return !error;
}

// Stops at a query; the messages behind it are processed after the query has ended.
void Session::process_messages() {
  while (!pending_messages_.empty() && !is_closed_ && !has_query_) {
    const auto [type, body] = std::move(pending_messages_.front());
    pending_messages_.pop_front();
    const bool ends_skipping = type == 'S' || type == 'X';
    if (!skips_to_sync_ || ends_skipping) process_message(type, body);
  }
}

void Session::process_message(char type, const std::string& body) {
  switch (type) {
    case 'X': is_closed_ = true; break;
    case 'Q':
      // NOLINTNEXTLINE(readability-redundant-string-cstr): the statement ends at the NUL byte
      on_simple_query(body.c_str());
      break;
    case 'P':
      if (const auto message = pg::parse_parse(body)) {
        statement_ = std::string(message->query);
        pg::put_empty(output_, '1');
      }
      break;
    case 'B': pg::put_empty(output_, '2'); break;
    case 'D': on_describe(body); break;
    case 'C': pg::put_empty(output_, '3'); break;
    case 'E': begin_query(statement_, QueryProtocol::extended); break;
    case 'S':
      skips_to_sync_ = false;
      put_ready();
      break;
    default: break;
  }
}

void Session::on_simple_query(const std::string& statement) {
  if (execute_setting(statement)) {
    put_ready();
  } else {
    begin_query(statement, QueryProtocol::simple);
  }
}

void Session::on_describe(const std::string& body) {
  if (body[0] == 'S') {
    std::string no_parameters;
    pg::Writer(no_parameters).u16(0);
    pg::put_raw(output_, 't', no_parameters);
  }
  put_description();
}

void Session::on_closed() {
  if (has_query_) engine_->log.write(log_event::connection_closed, query_profile_.id);
  if (job_id_ != 0) {
    engine_->jobs.cancel(job_id_);
    job_id_ = 0;
  }
  is_closed_ = true;
  query_end_event_.cancel();
}

}  // namespace paddlestand::test_engine

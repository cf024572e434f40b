#include "client.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <set>

#include "client_registry.hpp"
#include "platform_host.hpp"
#include "request_handler.hpp"
#include "server_lifecycle.hpp"
#include "service/resume_monitor.hpp"
#include "service/spawn.hpp"

namespace paddlestand::platform {
namespace asio = boost::asio;
using service::IoResult;
using service::IoStatus;
using LineKind = OutputBuffer::LineKind;
using namespace std::chrono_literals;

namespace {

constexpr auto first_message_timeout = 2s;
constexpr auto idle_timeout = 6s;  // clients close their connections after 4 s without an open request
constexpr auto write_timeout = 4s;  // since the last progress
constexpr auto linger_timeout = 1s;  // for the client to close after this side has shut down

}  // namespace

Client::Client(const ClientContext& context, tcp::socket socket, std::uint64_t number, Duration accept_delay)
    : context_(context),
      host_(context.host),
      socket_(std::move(socket)),
      number_(number),
      lines_(max_message_bytes),
      last_received_(host_.now()),
      last_used_(last_received_),
      last_write_progress_(last_received_),
      input_times_(accept_delay),
      charge_(context.registry.input_account()) {}

void Client::start() {
  is_read_loop_running_ = true;
  service::spawn_with(host_.io(), [self = shared_from_this()] { return self->read_loop(); });
}

// ---- Closing ----

void Client::close(std::string_view reason) {
  if (is_closed()) return;
  context_.registry.log_close(*this, reason, open_requests_.size());
  phase_ = Phase::closed;
  socket_.close();
  std::map<std::int64_t, core::SessionId> open;
  open.swap(open_requests_);
  pending_messages_.clear();
  postponed_.reset();
  lines_.discard();
  update_charge();
  for (const auto& [id, session] : open) context_.requests.abandon(session);
  context_.registry.remove(*this);
}

void Client::finish() {
  if (!is_open()) return;
  phase_ = Phase::ending;
  ending_since_ = host_.now();
  if (output_.is_empty()) linger();
}

core::CloseFacts Client::close_facts() {
  const std::size_t pending_requests = pending_messages_.is_empty() ? 0 : 1;
  return {open_requests_.size() + pending_requests, unwritten_bytes(), !may_have_input(),
          partial_message_.exists()};
}

// A request that has already arrived is read and answered first; otherwise it would never get an answer. If
// the process was stopped and resumed after the check, a request may have arrived in between, so the check is
// repeated.
void Client::finish_if_idle() {
  auto result = service::GuardedShutdown::outdated;
  while (result == service::GuardedShutdown::outdated) {
    if (!is_open()) return;
    const service::ResumeCount facts_as_of = service::ResumeMonitor::count();
    if (may_have_input()) read_pending_input();
    if (!is_open() || core::may_close(close_facts()) != core::CloseDecision::close) return;
    result = socket_.shut_down_unless_resumed(facts_as_of);
  }
  if (result == service::GuardedShutdown::broken) {
    close("connection lost");
    return;
  }
  phase_ = Phase::lingering;
  ending_since_ = host_.now();
}

// Closing the socket with unread input would reset the connection and could lose the last answer, so only the
// sending side is shut down.
void Client::linger() {
  phase_ = Phase::lingering;
  ending_since_ = host_.now();
  if (!socket_.shut_down_sending()) close("connection lost");
}

bool Client::may_have_input() { return !is_closed() && !socket_.is_receive_buffer_empty(); }

void Client::check_timeouts(TimePoint now) {
  if (is_closed()) return;
  if (phase_ == Phase::lingering) {
    if (now - ending_since_ > linger_timeout) close("client did not close in time");
    return;
  }
  if (unwritten_bytes() > 0 && now - last_write_progress_ > write_timeout) {
    close("client does not read its answers");
    return;
  }
  if (!is_open() || in_backlog_since_) return;
  if (partial_message_.is_overdue(now)) read_until_drained();  // the missing bytes may have arrived unread
  if (!is_open()) return;
  if (partial_message_.is_overdue(now)) {
    reject({}, {std::nullopt, jsonrpc::ErrorCode::parse_error, "incomplete message: timed out"});
    return;
  }
  const bool is_silent = !has_sent_message_ && now - last_received_ > first_message_timeout;
  if (is_silent || now - last_used_ > idle_timeout) finish_if_idle();
}

// ---- Messages ----

ConnectionLoad Client::load() const {
  ConnectionLoad load;
  for (const auto& [id, session] : open_requests_)
    load.open_requests.emplace(id, context_.requests.trace_of(session).value_or(0));
  load.last_id = last_id_;
  load.unwritten_answers = output_.unwritten_answers();
  load.unwritten_lines = output_.unwritten_lines();
  pending_messages_.add_to(load);
  return load;
}

void Client::accept(MessageBatch batch) {
  last_used_ = host_.now();
  if (!batch.problem() && !batch.contested_traces().empty()) {
    postpone(std::move(batch));
  } else {
    complete(std::move(batch));
  }
}

void Client::complete(MessageBatch batch) {
  const bool has_to_wait = is_processing_messages_;
  if (batch.problem()) {
    reject(batch.messages(), *batch.problem());
  } else if (has_to_wait && !context_.registry.input_account()->has_room_for(batch.allocated_bytes())) {
    reject(batch.messages(), memory_problem());
  } else {
    enqueue(batch.take_messages());
  }
}

jsonrpc::Problem Client::memory_problem() {
  return {std::nullopt, jsonrpc::ErrorCode::rejected, "too much input of all clients"};
}

// Whether the trace ids are still in use is known only once the clients that used them have been read. They
// are read in a turn of its own, since their input may in turn depend on other clients.
void Client::postpone(MessageBatch batch) {
  if (!context_.registry.input_account()->has_room_for(batch.allocated_bytes())) {
    reject(batch.messages(), memory_problem());
    return;
  }
  postponed_.emplace(std::move(batch));
  update_charge();
  asio::post(host_.io(), [self = shared_from_this()] { self->resume_postponed(); });
}

void Client::resume_postponed() {
  if (!is_open()) postponed_.reset();
  if (!postponed_) return;
  for (const std::uint64_t trace : postponed_->contested_traces()) {
    const auto holder = context_.requests.client_of_trace(trace);
    if (holder != nullptr) holder->read_until_drained();
  }
  if (!is_open() || !postponed_) return;
  MessageBatch batch = std::move(*postponed_);
  postponed_.reset();
  update_charge();
  batch.resolve_contested();
  complete(std::move(batch));
  process_pending_messages();
  if (!is_closed()) wait_in_backlog();
}

void Client::enqueue(std::vector<jsonrpc::Message> messages) {
  has_sent_message_ = true;
  for (jsonrpc::Message& message : messages) {
    const auto* cancellation = std::get_if<jsonrpc::CancelRequest>(&message);
    if (cancellation != nullptr) withdraw_pending(*cancellation);
    if (const auto* query = std::get_if<jsonrpc::Query>(&message)) last_id_ = std::max(last_id_, query->id);
    if (cancellation != nullptr && is_processing_messages_) {
      process(*cancellation);  // an attempt of the cancelled request may be about to start
    } else {
      pending_messages_.push(std::move(message), input_times_.arrived());
    }
  }
  if (is_processing_messages_) update_charge();
}

void Client::withdraw_pending(const jsonrpc::CancelRequest& cancellation) {
  for (const jsonrpc::Query& query : pending_messages_.extract(cancellation)) {
    jsonrpc::put_error(output_.text(), query.id, jsonrpc::ErrorCode::rejected,
                       "cancelled before it was started");
    output_.append_finished(LineKind::notice);
  }
}

void Client::process(PendingMessages::Entry entry) {
  if (auto* query = std::get_if<jsonrpc::Query>(&entry.message)) {
    process(std::move(*query), entry.received);
  } else if (const auto* cancellation = std::get_if<jsonrpc::CancelRequest>(&entry.message)) {
    process(*cancellation);
  } else if (const auto* health_check = std::get_if<jsonrpc::HealthCheck>(&entry.message)) {
    process(*health_check);
  }
}

// A shortage of memory is no fault of the client: its connection and its other requests go on.
void Client::process(jsonrpc::Query query, TimePoint received) {
  if (ends_when_answered_) {
    put_error(query, jsonrpc::ErrorCode::rejected, "the connection ends: an incomplete message was refused");
    return;
  }
  // Not a refusal, which would promise that the request has had no effect.
  if (context_.requests.may_have_run_before(query)) {
    put_error(query, jsonrpc::ErrorCode::failed, "trace: a request with this id may already have run");
    return;
  }
  if (!context_.requests.has_capacity_for(query.statement.size(), !open_requests_.empty())) {
    put_error(query, jsonrpc::ErrorCode::rejected, "too many bytes in statements of open requests");
    return;
  }
  const core::SessionId session = context_.requests.next_session();
  open_requests_.emplace(query.id, session);
  context_.requests.submit(shared_from_this(), session, std::move(query), received);
}

void Client::put_error(const jsonrpc::Query& query, jsonrpc::ErrorCode code, std::string_view reason) {
  jsonrpc::put_error(output_.text(), query.id, code, reason);
  output_.append_finished(LineKind::answer);
}

void Client::put_notice(const jsonrpc::Problem& problem) {
  jsonrpc::put_error(output_.text(), problem.id, problem.code, problem.text);
  output_.append_finished(LineKind::notice);
}

void Client::process(const jsonrpc::CancelRequest& cancellation) {
  // Abandoning a request may cause others to be answered immediately, which changes open_requests_, so the
  // cancelled requests are removed first.
  std::vector<core::SessionId> cancelled;
  std::erase_if(open_requests_, [&](const auto& request) {
    const auto& [id, session] = request;
    const bool is_cancelled = cancellation.matches(id, context_.requests.trace_of(session).value_or(0));
    if (is_cancelled) cancelled.push_back(session);
    return is_cancelled;
  });
  context_.requests.log_cancellation(cancelled.size());
  for (const core::SessionId session : cancelled) context_.requests.abandon(session);
  if (!cancellation.id) return;
  jsonrpc::put_empty_result(output_.text(), *cancellation.id);
  output_.append_finished(LineKind::notice);
}

void Client::process(const jsonrpc::HealthCheck& health_check) {
  jsonrpc::put_health(output_.text(), health_check.id, context_.lifecycle.is_ready());
  output_.append_finished(LineKind::notice);
}

void Client::turn_away(const std::string& reason) {
  if (is_open()) reject({}, {std::nullopt, jsonrpc::ErrorCode::rejected, reason});
}

// Writes one error for each request that is open or was just received, then ends the connection.
void Client::reject(const std::vector<jsonrpc::Message>& messages, const jsonrpc::Problem& problem) {
  context_.registry.log_rejection(*this, problem);
  phase_ = Phase::ending;
  ending_since_ = host_.now();
  lines_.discard();
  partial_message_ = {};
  std::map<std::int64_t, core::SessionId> open;
  open.swap(open_requests_);
  std::set<std::int64_t> answered;
  const auto put_error = [&](std::optional<std::int64_t> id, jsonrpc::ErrorCode code,
                             const std::string& text) {
    if (id && !answered.insert(*id).second) return;
    jsonrpc::put_error(output_.text(), id, code, text);
  };
  put_error(problem.id, problem.code, problem.text);
  for (const auto& [id, session] : open) {
    put_error(id, jsonrpc::ErrorCode::failed, "connection closed: " + problem.text);
    context_.requests.abandon(session);
  }
  const auto put_errors = [&](const std::vector<jsonrpc::Message>& unprocessed) {
    for (const jsonrpc::Message& message : unprocessed) {
      if (const auto* query = std::get_if<jsonrpc::Query>(&message))
        put_error(query->id, jsonrpc::ErrorCode::rejected, "connection closed: " + problem.text);
    }
  };
  put_errors(pending_messages_.extract_all());
  if (postponed_) put_errors(postponed_->take_messages());
  postponed_.reset();
  put_errors(messages);
  update_charge();
  flush();
}

// ---- Output ----

void Client::answer(std::int64_t request, std::string line) {
  if (is_closed() || open_requests_.erase(request) == 0) return;
  last_used_ = host_.now();
  if (!output_.is_empty() && !context_.registry.has_capacity_for_output(line.size())) {
    line.clear();
    jsonrpc::put_error(line, request, jsonrpc::ErrorCode::failed,
                       "result discarded: earlier answers are not read");
  }
  output_.append(std::move(line), LineKind::answer);
  flush();
}

// Writes pending output. Returns `progress` if all of it was written, `ended` if the connection has failed,
// and otherwise why writing has to wait.
IoStatus Client::write_pending() {
  while (!output_.is_empty()) {
    const IoResult sent = socket_.send(output_.unwritten());
    if (sent.status == IoStatus::ended) close("send: " + sent.error.message());
    if (sent.status != IoStatus::progress) return sent.status;
    output_.consume(sent.bytes);
    last_write_progress_ = host_.now();
  }
  output_.release_all();
  return IoStatus::progress;
}

void Client::flush() {
  if (is_closed() || is_write_loop_running_) return;
  const IoStatus status = write_pending();
  if (is_closed()) return;
  if (status == IoStatus::progress) {
    if (ends_when_answered_ && is_open() && is_idle()) phase_ = Phase::ending;
    if (phase_ == Phase::ending) linger();
    return;
  }
  is_write_loop_running_ = true;
  last_write_progress_ = host_.now();  // the time limit starts with the output
  service::spawn_with(host_.io(), [self = shared_from_this()] { return self->write_loop(); });
}

asio::awaitable<void> Client::write_loop() {
  const auto self = shared_from_this();
  IoStatus last = IoStatus::would_block;
  while (!is_closed() && last != IoStatus::progress) {
    co_await socket_.wait_to_send(last);
    if (is_closed()) co_return;
    last = write_pending();
    output_.release_written(max_message_bytes);
  }
  is_write_loop_running_ = false;
  if (!is_closed()) flush();
}

}  // namespace paddlestand::platform

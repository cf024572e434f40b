// Client: reading its input, and the memory that incomplete messages and those that wait take.
#include <algorithm>
#include <boost/asio/post.hpp>

#include "client.hpp"
#include "client_registry.hpp"
#include "platform_host.hpp"

namespace paddlestand::platform {
namespace asio = boost::asio;
using service::IoResult;
using service::IoStatus;

namespace {

constexpr std::size_t max_bytes_per_read = std::size_t{64} * 1024;  // per client and turn of the event loop
constexpr std::size_t max_bytes_per_call = std::size_t{16} * 1024;
constexpr Duration max_read_time = std::chrono::milliseconds(1);  // per client and turn of the event loop
// What a client with 32 open requests may have unread, and a number of other messages.
constexpr std::size_t max_unread_bytes = 33 * max_message_bytes;
constexpr std::size_t max_unread_messages = 1024;
constexpr std::size_t max_dropped_bytes =
    std::size_t{256} * 1024;  // received after the connection began to end

ReadOutcome read_outcome_of(IoStatus last) {
  switch (last) {
    case IoStatus::would_block: return ReadOutcome::drained;
    case IoStatus::retry_later: return ReadOutcome::failing;
    default: return ReadOutcome::more_possible;
  }
}

}  // namespace

// ---- Reading ----

// After each read that leaves input, the client waits in the backlog, so that one that sends continuously
// delays no other.
asio::awaitable<void> Client::read_loop() {
  const auto self = shared_from_this();
  while (!is_closed()) {
    co_await socket_.wait_to_receive(last_receive_);
    if (is_closed()) co_return;
    const InputStatus status = read_input();
    if (status == InputStatus::paused) break;
    if (status == InputStatus::more_available) {
      wait_in_backlog();
      break;
    }
  }
  is_read_loop_running_ = false;
}

void Client::wait_in_backlog() {
  if (in_backlog_since_) return;
  in_backlog_since_ = host_.now();
  input_times_.record_pause(*in_backlog_since_, Duration{});
  context_.registry.add_to_backlog(shared_from_this());
}

void Client::read_from_backlog() {
  if (is_closed()) return;
  partial_message_.record_pause(*in_backlog_since_, host_.now());
  in_backlog_since_.reset();
  const InputStatus status = read_input();
  if (is_closed() || status == InputStatus::paused) return;
  if (status == InputStatus::more_available) {
    wait_in_backlog();
  } else if (!is_read_loop_running_) {
    start();
  }
}

void Client::read_pending_input() {
  if (is_closed()) return;
  const auto self = shared_from_this();
  read_input();
}

void Client::read_until_drained() {
  const auto self = shared_from_this();
  const ReceivedTotals before = received_;
  while (!is_closed() && !postponed_) {
    read_input();
    if (last_receive_ != IoStatus::progress) return;
    if (received_.bytes - before.bytes < max_unread_bytes &&
        received_.messages - before.messages < max_unread_messages) {
      continue;
    }
    turn_away("too much unread input");
    return;
  }
}

void Client::finish_unread_input() {
  if (!in_backlog_since_) return;
  read_until_drained();
  if (partial_message_.exists()) turn_away("the workload manager is shutting down");
}

// Reads all available input, up to a limit, before processing any of it, so that no work starts for a client
// that sends a lot and disconnects, or that sends an invalid message right after valid ones.
Client::InputStatus Client::read_input() {
  if (postponed_) return InputStatus::paused;  // resume_postponed() continues
  const TimePoint began = host_.now();
  ReadProgress progress{.ends_at = began + max_read_time};
  const IoResult last = receive_available(progress);
  if (is_closed()) return InputStatus::ended;
  last_receive_ = last.status;
  if (last.status == IoStatus::end_of_input || last.status == IoStatus::ended) {
    close(last.status == IoStatus::end_of_input ? "closed by the client"
                                                : "receive: " + last.error.message());
    return InputStatus::ended;
  }
  input_times_.record_read(read_outcome_of(last.status), began, host_.now(), host_.event_loop_lag());
  if (progress.bytes == 0) return InputStatus::drained;
  if (is_open() && progress.batch) accept(std::move(*progress.batch));
  process_pending_messages();
  if (is_closed()) return InputStatus::ended;
  // After less than was asked for, nothing is left as a rule, and what is left is reported by the next wait.
  const bool is_filled = last.status == IoStatus::progress && last.bytes == max_bytes_per_call;
  return is_filled ? InputStatus::more_available : InputStatus::drained;
}

IoResult Client::receive_available(ReadProgress& progress) {
  IoResult last;
  do {
    const auto scratch = host_.scratch().first(max_bytes_per_call);
    last = socket_.receive(scratch);
    if (last.status != IoStatus::progress) break;
    progress.bytes += last.bytes;
    received_.bytes += last.bytes;
    last_received_ = host_.now();
    if (!is_open()) {
      drop_input(last.bytes);
    } else if (!take_lines({scratch.data(), last.bytes}, progress.batch)) {
      break;
    }
  } while (progress.bytes < max_bytes_per_read && !is_closed() && last_received_ < progress.ends_at);
  return last;
}

// Parses no line after the first invalid message. Returns whether all messages are valid.
bool Client::take_lines(std::string_view bytes, std::optional<MessageBatch>& batch) {
  const auto add = [&](jsonrpc::Message message) {
    if (!batch) batch.emplace(context_.requests, *this, load());
    ++received_.messages;
    return batch->add(std::move(message));
  };
  const std::uint64_t messages_before = received_.messages;
  lines_.feed(bytes);
  while (const auto line = lines_.next()) {
    if (add(context_.calls.read(*line))) continue;
    lines_.discard();
    return false;
  }
  if (lines_.too_long()) {
    return add(jsonrpc::Problem{std::nullopt, jsonrpc::ErrorCode::invalid_request, "message is too long"});
  }
  partial_message_.record_input(lines_.buffered_bytes(), received_.messages > messages_before,
                                last_received_);
  update_charge();
  context_.registry.make_room_for_input();
  return true;
}

// ---- Memory ----

void Client::update_charge() {
  const std::size_t postponed_bytes = postponed_ ? postponed_->allocated_bytes() : 0;
  charge_.set(lines_.allocated_bytes() + pending_messages_.allocated_bytes() + postponed_bytes);
}

HeldMessage Client::held_message(TimePoint now) const {
  return {.bytes = lines_.allocated_bytes(),
          .bytes_per_second = partial_message_.bytes_per_second(now),
          .silence = in_backlog_since_ ? Duration{} : now - last_received_,
          .is_from_known_client = has_sent_message_};
}

// Uses a part of the shared buffer that reads do not use, since it may be called during one.
bool Client::has_unread_line_end() {
  const std::span<char> bytes = host_.scratch().subspan(max_bytes_per_call, max_message_bytes);
  const IoResult unread = socket_.peek(bytes);
  return unread.status == IoStatus::progress &&
         std::string_view(bytes.data(), unread.bytes).find('\n') != std::string_view::npos;
}

// Its memory is released at once. The client is told in a turn of its own, since that may lead to any action
// of the core, and this may be called while another client is read.
void Client::refuse_partial_message() {
  lines_.skip_line();
  partial_message_ = {};
  update_charge();
  asio::post(host_.io(), [self = shared_from_this()] { self->finish_refusal(); });
}

void Client::finish_refusal() {
  if (!is_open() || ends_when_answered_) return;
  const jsonrpc::Problem problem{std::nullopt, jsonrpc::ErrorCode::rejected,
                                 "incomplete message refused: too much input of all clients"};
  if (!is_owed_answers()) {
    reject({}, problem);
    return;
  }
  context_.registry.log_rejection(*this, problem);
  ends_when_answered_ = true;
  put_notice(problem);
  flush();
}

void Client::drop_input(std::size_t bytes) {
  dropped_bytes_ += bytes;
  context_.registry.count_dropped(bytes);
  if (dropped_bytes_ > max_dropped_bytes) close("client keeps writing after the end of its connection");
}

// Not re-entered: input that is read while a message is being processed is left to the running loop.
void Client::process_pending_messages() {
  if (is_processing_messages_ || pending_messages_.is_empty()) return;
  is_processing_messages_ = true;
  while (is_open()) {
    auto next = pending_messages_.pop();
    if (!next) break;
    process(std::move(*next));
  }
  is_processing_messages_ = false;
  update_charge();
  flush();
}

}  // namespace paddlestand::platform

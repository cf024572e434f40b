// Client: reading its input, and the input slots that bound the memory of incomplete messages.
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

constexpr std::size_t max_bytes_without_slot = std::size_t{2} * 1024;
constexpr std::size_t max_bytes_per_read = std::size_t{64} * 1024;  // per client and turn of the event loop
constexpr std::size_t max_bytes_per_call = std::size_t{16} * 1024;
constexpr Duration max_read_time = std::chrono::milliseconds(1);  // per client and turn of the event loop
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
  if (is_in_backlog_) return;
  is_in_backlog_ = true;
  input_times_.record_pause(host_.now(), Duration{});
  context_.registry.add_to_backlog(shared_from_this());
}

void Client::read_from_backlog() {
  is_in_backlog_ = false;
  if (is_closed()) return;
  const InputStatus status = read_input();
  if (is_closed() || status == InputStatus::paused) return;
  if (status == InputStatus::more_available) {
    wait_in_backlog();
  } else if (!is_read_loop_running_) {
    start();
  }
}

void Client::read_pending_input() {
  if (is_closed() || postponed_ || paused_since_) return;
  const auto self = shared_from_this();
  read_input();
}

void Client::read_pending_input_beyond_limit() {
  if (is_closed() || postponed_) return;
  if (is_open() && !slot_) {
    context_.registry.input_budget().acquire_beyond_limit(input_priority());
    resume_reading(input_priority());
  }
  read_pending_input();
}

// ---- Input slots ----

InputBudget::Priority Client::input_priority() const {
  if (is_owed_answers()) return InputBudget::Priority::has_open_requests;
  return has_sent_message_ ? InputBudget::Priority::known : InputBudget::Priority::unknown;
}

// How many bytes may be read now. Input that is dropped requires no memory.
std::size_t Client::readable_bytes() {
  if (!is_open() || slot_) return max_bytes_per_read;
  const InputBudget::Priority priority = input_priority();
  if (!paused_since_ && context_.registry.input_budget().try_acquire(priority)) {
    slot_ = priority;
    return max_bytes_per_read;
  }
  return max_bytes_without_slot - std::min(max_bytes_without_slot, lines_.buffered_bytes());
}

void Client::pause_reading() {
  if (paused_since_) return;
  paused_since_ = host_.now();
  input_times_.record_pause(*paused_since_, host_.event_loop_lag());
  context_.registry.wait_for_slot(*this, input_priority());
}

void Client::end_pause() {
  if (!paused_since_) return;
  context_.registry.input_budget().remove(number_);
  const TimePoint now = host_.now();
  partial_message_.record_pause(*paused_since_, now);
  last_received_ = now;
  paused_since_.reset();
}

// Reads on while the message is incomplete and more input is available. Ends at the limit of a message at the
// latest.
void Client::finish_waiting_input() {
  if (!paused_since_) return;
  const auto self = shared_from_this();
  do { read_pending_input_beyond_limit(); } while (is_open() && slot_ && last_receive_ == IoStatus::progress);
  if (partial_message_.exists()) turn_away("the workload manager is shutting down");
}

void Client::resume_reading(InputBudget::Priority slot) {
  end_pause();
  slot_ = slot;
  if (is_read_loop_running_) return;
  is_read_loop_running_ = true;
  asio::post(host_.io(), [self = shared_from_this()] { self->start(); });
}

void Client::release_slot() {
  end_pause();
  if (!slot_) return;
  context_.registry.input_budget().release(*slot_);
  slot_.reset();
  context_.registry.grant_slots();
}

void Client::release_slot_if_unused() {
  if (slot_ && lines_.buffered_bytes() <= max_bytes_without_slot) release_slot();
}

// Reads all available input, up to a limit, before processing any of it, so that no work starts for a client
// that sends a lot and disconnects, or that sends an invalid message right after valid ones.
Client::InputStatus Client::read_input() {
  if (postponed_) return InputStatus::paused;  // resume_postponed() continues
  const TimePoint began = host_.now();
  const std::size_t limit = readable_bytes();
  if (limit == 0) {
    pause_reading();
    return paused_since_ ? InputStatus::paused : InputStatus::more_available;
  }
  ReadProgress progress{.bytes_left = limit, .ends_at = began + max_read_time};
  const IoResult last = receive_available(progress);
  if (is_closed()) return InputStatus::ended;
  last_receive_ = last.status;
  if (last.status == IoStatus::end_of_input || last.status == IoStatus::ended) {
    close(last.status == IoStatus::end_of_input ? "closed by the client"
                                                : "receive: " + last.error.message());
    return InputStatus::ended;
  }
  input_times_.record_read(read_outcome_of(last.status), began, host_.now(), host_.event_loop_lag());
  if (progress.bytes_left == limit) {
    release_slot_if_unused();
    return InputStatus::drained;
  }
  last_received_ = host_.now();
  if (is_open()) accept_received(std::move(progress.batch));
  release_slot_if_unused();
  process_pending_messages();
  if (is_closed()) return InputStatus::ended;
  return last.status == IoStatus::progress ? InputStatus::more_available : InputStatus::drained;
}

IoResult Client::receive_available(ReadProgress& progress) {
  IoResult last;
  do {
    const auto scratch = host_.scratch().first(std::min(progress.bytes_left, max_bytes_per_call));
    last = socket_.receive(scratch);
    if (last.status != IoStatus::progress) break;
    progress.bytes_left -= last.bytes;
    if (!is_open()) {
      drop_input(last.bytes);
    } else if (!take_lines({scratch.data(), last.bytes}, progress.batch)) {
      break;
    }
  } while (progress.bytes_left > 0 && !is_closed() && host_.now() < progress.ends_at);
  return last;
}

// Parses no line after the first invalid message. Returns whether all messages are valid.
bool Client::take_lines(std::string_view bytes, std::optional<MessageBatch>& batch) {
  lines_.feed(bytes);
  while (const auto line = lines_.next()) {
    if (!batch) batch.emplace(context_.requests, *this, load());
    if (batch->add(context_.calls.read(*line))) continue;
    lines_.discard();
    return false;
  }
  if (!lines_.too_long()) return true;
  if (!batch) batch.emplace(context_.requests, *this, load());
  return batch->add(
      jsonrpc::Problem{std::nullopt, jsonrpc::ErrorCode::invalid_request, "message is too long"});
}

void Client::drop_input(std::size_t bytes) {
  dropped_bytes_ += bytes;
  context_.registry.count_dropped(bytes);
  if (dropped_bytes_ > max_dropped_bytes) close("client keeps writing after the end of its connection");
}

void Client::accept_received(std::optional<MessageBatch> batch) {
  partial_message_.record_input(lines_.has_partial_line(), batch.has_value(), last_received_);
  if (batch) accept(std::move(*batch));
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
  flush();
}

}  // namespace paddlestand::platform

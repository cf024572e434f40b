#include "engine_connection.hpp"

#include <utility>

#include "core/connection_policy.hpp"
#include "platform_host.hpp"
#include "service/spawn.hpp"

namespace paddlestand::platform {
namespace asio = boost::asio;
using boost::system::error_code;
using service::IoResult;
using service::IoStatus;

namespace {

constexpr std::size_t max_bytes_per_read = std::size_t{64} * 1024;

}  // namespace

EngineConnection::EngineConnection(PlatformHost& host, EngineConnectionListener& listener,
                                   EngineConnectionTarget target)
    : host_(host),
      listener_(listener),
      target_(std::move(target)),
      socket_(host.io()),
      reader_(engine_frames::Side::engine),
      opened_at_(host.now()),
      last_received_(opened_at_),
      last_used_(opened_at_) {}

void EngineConnection::start() {
  service::spawn_with(host_.io(), [self = shared_from_this()] { return self->run(); });
}

// A graceful close is transmitted after the bytes still in the socket's buffer. An engine that does not read
// would never receive it, and would go on with its attempts while their requests are sent elsewhere. A reset
// is not delayed.
void EngineConnection::close() {
  is_closed_ = true;
  const bool everything_transmitted = queue_.is_empty() && socket_.unsent_bytes() == 0;
  if (everything_transmitted) {
    socket_.close();
  } else {
    socket_.reset();
  }
  queue_.clear();
}

void EngineConnection::report_loss(core::ChannelLossReason reason, const std::string& description) {
  if (is_closed_) return;
  listener_.on_lost(shared_from_this(), reason, description);
}

// Detects a close that was not read yet: a request written after it would be reset, with unknown outcome.
bool EngineConnection::is_closed_by_engine() {
  if (is_closed_ || !is_connected_) return is_closed_;
  char next{};
  const IoStatus status = socket_.peek({&next, 1}).status;
  return status == IoStatus::end_of_input || status == IoStatus::ended;
}

void EngineConnection::remove_stream(TimePoint now) {
  --stream_count_;
  last_used_ = now;
}

void EngineConnection::end_stream(core::StreamId stream) {
  stream_table_.close(stream);
  queue_.withdraw_commands(stream);
}

// ---- Connecting and reading ----

asio::awaitable<bool> EngineConnection::connect() {
  using ConnectRetry = EngineConnectionListener::ConnectRetry;
  const auto failure = co_await service::connect_before(
      socket_, target_.address, opened_at_ + target_.connect_timeout, [this] { return is_closed_; },
      [this](const service::ConnectFailure& why, bool again) {
        listener_.on_connect_failure(target_.engine, why.error, again ? ConnectRetry::yes : ConnectRetry::no);
      });
  if (failure && !is_closed_) report_loss(service::loss_reason_of(*failure), failure->error.message());
  co_return !failure && !is_closed_;
}

asio::awaitable<void> EngineConnection::run() {
  const auto self = shared_from_this();
  if (!co_await connect()) co_return;
  is_connected_ = true;
  last_received_ = host_.now();
  listener_.on_connected(self);
  IoStatus last = IoStatus::would_block;
  while (!is_closed_) {
    co_await socket_.wait_to_receive(last);
    if (is_closed_) co_return;
    last = receive_available();
  }
}

IoStatus EngineConnection::receive_available() {
  const auto scratch = host_.scratch().first(max_bytes_per_read);
  const IoResult received = socket_.receive(scratch);
  switch (received.status) {
    case IoStatus::progress: process({scratch.data(), received.bytes}); break;
    case IoStatus::end_of_input: report_loss(core::ChannelLossReason::closed, "closed by the engine"); break;
    case IoStatus::ended:
      report_loss(core::ChannelLossReason::closed, "receive: " + received.error.message());
      break;
    case IoStatus::outdated:
    case IoStatus::would_block:
    case IoStatus::retry_later: break;
  }
  return received.status;
}

void EngineConnection::process(std::string_view bytes) {
  last_received_ = host_.now();
  reader_.feed(bytes);
  while (!is_closed_) {
    auto next = reader_.next();
    if (std::holds_alternative<std::monostate>(next)) break;
    if (const auto error = process_next(std::move(next))) {
      report_loss(core::ChannelLossReason::protocol_error, error->description);
      return;
    }
  }
  if (is_closed_) return;
  if (!reader_.has_partial_frame()) {
    partial_frame_since_.reset();
  } else if (!partial_frame_since_) {
    partial_frame_since_ = last_received_;
  }
}

std::optional<ProtocolError> EngineConnection::process_next(NextFrame next) {
  if (const auto* malformed = std::get_if<engine_frames::ProtocolViolation>(&next))
    return ProtocolError{ProtocolError::Kind::malformed_frame, malformed->what};
  partial_frame_since_.reset();  // the time limit restarts with the next frame
  return process_frame(std::move(std::get<engine_frames::Frame>(next)));
}

std::optional<ProtocolError> EngineConnection::process_frame(engine_frames::Frame frame) {
  const auto channel = stream_table_.channel_of(frame.id);
  auto answer = engine_frames::read_answer(std::move(frame));
  if (const auto* malformed = std::get_if<engine_frames::ProtocolViolation>(&answer))
    return ProtocolError{ProtocolError::Kind::malformed_answer, malformed->what};
  if (!channel) {
    listener_.on_unmatched_frame(*this, std::get<engine_frames::Answer>(answer));
    return std::nullopt;
  }
  return listener_.on_answer(*this, *channel, std::move(std::get<engine_frames::Answer>(answer)));
}

// ---- Writing ----

core::WriteResult EngineConnection::send(core::ChannelId channel, core::StreamId stream, StreamFrame frame) {
  if (has_send_failed_) return core::WriteResult::failed;
  if (is_write_loop_running_) {
    // Encoded again when it is the first one (prepare_next_frame): a queue holds no copies of statements.
    queue_.push({channel, stream, false, {}});
    return core::WriteResult::partial;
  }
  queue_.push({channel, stream, false, std::move(frame)});
  channel_in_send_ = channel;
  const IoStatus status = write_pending();
  const bool was_withdrawn = !std::exchange(channel_in_send_, std::nullopt);
  if (was_withdrawn) return core::WriteResult::suppressed;
  if (status == IoStatus::progress) return core::WriteResult::complete;
  const bool is_started = queue_.is_front_started();
  if (status == IoStatus::ended) {
    fail_sending(send_error_);
    return is_started ? core::WriteResult::complete : core::WriteResult::failed;
  }
  start_write_loop();
  return is_started ? core::WriteResult::complete : core::WriteResult::partial;
}

void EngineConnection::send_command(core::StreamId stream, std::string frame) {
  push_command({0, stream, false, {std::move(frame), host_.now(), service::ResumeMonitor::count()}});
}

void EngineConnection::send_cancel(core::StreamId stream, std::string frame) {
  push_command({0, stream, true, {std::move(frame), host_.now(), service::ResumeMonitor::count()}});
}

void EngineConnection::push_command(FrameQueue::Frame frame) {
  if (is_closed_ || !is_connected_ || has_send_failed_) return;
  queue_.push(std::move(frame));
  if (is_write_loop_running_) return;
  const IoStatus status = write_pending();
  if (status == IoStatus::ended) {
    fail_sending(send_error_);
  } else if (status != IoStatus::progress) {
    start_write_loop();
  }
}

bool EngineConnection::is_cancel_transmitted(core::StreamId stream) {
  const auto end = cancel_ends_.find(stream);
  if (is_closed_) return true;
  if (end == cancel_ends_.end()) return false;
  return sent_bytes_ - socket_.unsent_bytes() >= end->second;
}

// Prepares the first frame for sending. Returns false if there is none. A frame that has waited, or was built
// before the process was stopped and resumed, is rebuilt: its deadline would grant the engine more time than
// its client has left, and the client may have disconnected.
bool EngineConnection::prepare_next_frame(service::ResumeCount facts_as_of) {
  while (!is_closed_ && !queue_.is_empty()) {
    if (queue_.is_front_started()) return !report_overdue_partial_frame();
    const FrameQueue::Frame& frame = queue_.front();
    const bool has_waited = host_.now() - frame.content.built_at > core::longest_frame_wait;
    if (frame.channel == 0 || (!has_waited && frame.content.facts_as_of == facts_as_of)) return true;
    const core::ChannelId channel = frame.channel;
    auto rebuilt = listener_.rebuild_frame(channel);
    // Rebuilding reads clients' input, which may change the queue.
    if (is_closed_ || queue_.is_empty() || queue_.front().channel != channel) continue;
    if (rebuilt) {
      queue_.front().content = std::move(*rebuilt);
      return true;
    }
    withdraw_front(channel);
  }
  return false;
}

void EngineConnection::withdraw_front(core::ChannelId channel) {
  queue_.drop_front();
  if (channel_in_send_ == channel) {
    channel_in_send_.reset();  // makes send() return `suppressed`
  } else {
    host_.dispatch(core::ChannelLost{channel, core::ChannelLossReason::local});
  }
}

// Writes queued frames. Returns `progress` if all of them were written, `ended` if the connection has failed,
// and otherwise why writing has to wait. Reports a frame to the core if its first byte is sent after its
// send() has returned.
IoStatus EngineConnection::write_pending() {
  for (;;) {
    const service::ResumeCount facts_as_of = service::ResumeMonitor::count();
    if (!prepare_next_frame(facts_as_of)) break;
    const bool is_first_byte = !queue_.is_front_started();
    const core::ChannelId channel = queue_.front().channel;
    const IoResult sent = socket_.send_unless_resumed(queue_.unsent(), facts_as_of);
    if (sent.status == IoStatus::outdated) continue;
    if (sent.status != IoStatus::progress) {
      send_error_ = sent.error;
      return sent.status;
    }
    record_sent(sent.bytes);
    if (is_first_byte && channel != 0 && is_write_loop_running_) host_.dispatch(core::QuerySent{channel});
    if (is_closed_) break;
  }
  return IoStatus::progress;
}

void EngineConnection::record_sent(std::size_t bytes) {
  sent_bytes_ += bytes;
  const auto complete = queue_.consume(bytes);
  if (complete && complete->is_cancel) cancel_ends_[complete->stream] = sent_bytes_;
}

void EngineConnection::start_write_loop() {
  is_write_loop_running_ = true;
  service::spawn_with(host_.io(), [self = shared_from_this()] { return self->write_loop(); });
}

bool EngineConnection::is_partial_frame_overdue() {
  if (queue_.is_empty() || !queue_.is_front_started() || queue_.front().channel == 0) return false;
  return host_.now() - queue_.front().content.built_at > core::longest_partial_frame;
}

// The attempt would start too late for the deadline in its frame, so the engine must never get the remaining
// bytes.
bool EngineConnection::report_overdue_partial_frame() {
  if (!is_partial_frame_overdue()) return false;
  report_loss(core::ChannelLossReason::closed, "request partially sent: timed out");
  return true;
}

asio::awaitable<void> EngineConnection::write_loop() {
  const auto self = shared_from_this();
  IoStatus last = IoStatus::would_block;
  while (!is_closed_) {
    co_await socket_.wait_to_send(last);
    if (is_closed_ || has_send_failed_) co_return;
    last = write_pending();
    if (is_closed_) co_return;
    if (last == IoStatus::ended) {
      fail_sending(send_error_);
      co_return;
    }
    if (last == IoStatus::progress) {
      is_write_loop_running_ = false;
      co_return;
    }
  }
}

// No more can be sent, but answers that have arrived are read before the loss is reported.
void EngineConnection::fail_sending(const error_code& error) {
  if (has_send_failed_) return;
  has_send_failed_ = true;
  retire();
  queue_.clear();
  service::spawn_with(host_.io(), [self = shared_from_this(), description = "send: " + error.message()] {
    return self->read_remaining_and_report_loss(description);
  });
}

asio::awaitable<void> EngineConnection::read_remaining_and_report_loss(std::string description) {
  while (!is_closed_ && receive_available() == IoStatus::progress) {}
  report_loss(core::ChannelLossReason::closed, description);
  co_return;
}

}  // namespace paddlestand::platform

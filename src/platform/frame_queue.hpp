/// Queue of the outgoing frames of a connection; the first frame may be partially sent. No I/O.
#pragma once

#include <algorithm>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "core/stream_table.hpp"
#include "engine_connection_listener.hpp"

namespace paddlestand::platform {

/// The outgoing frames of one connection. Its size is bounded by the number of streams, with a few frames
/// each.
class FrameQueue {
 public:
  struct Frame {
    core::ChannelId channel{};  ///< of a request or probe; zero for a command on an open stream
    core::StreamId stream{};
    bool is_cancel = false;  ///< whether it is a command that ends the stream at the engine
    StreamFrame content;
  };
  enum class WithdrawResult : std::uint8_t {
    not_queued,  ///< it was sent completely or was never queued
    withdrawn,  ///< it was removed before any byte of it was sent
    partially_sent  ///< it stays queued; the engine waits for the remaining bytes
  };

  void push(Frame frame) { frames_.push_back(std::move(frame)); }
  [[nodiscard]] bool is_empty() const { return frames_.empty(); }
  [[nodiscard]] Frame& front() { return frames_.front(); }
  /// Whether any byte of the first frame was sent.
  [[nodiscard]] bool is_front_started() const { return sent_bytes_ > 0; }
  /// The unsent bytes of the first frame.
  [[nodiscard]] std::string_view unsent() const {
    return std::string_view(frames_.front().content.bytes).substr(sent_bytes_);
  }
  /// Drops the first frame. Requires that no byte of it was sent.
  void drop_front() { frames_.pop_front(); }

  /// Records that `bytes` more of the first frame were sent. Removes and returns the frame when it is
  /// complete.
  std::optional<Frame> consume(std::size_t bytes) {
    sent_bytes_ += bytes;
    if (sent_bytes_ < frames_.front().content.bytes.size()) return std::nullopt;
    Frame complete = std::move(frames_.front());
    frames_.pop_front();
    sent_bytes_ = 0;
    return complete;
  }

  /// Removes the frame that opens a channel's stream, if no byte of it was sent.
  WithdrawResult withdraw(core::ChannelId channel) {
    for (auto frame = frames_.begin(); frame != frames_.end(); ++frame) {
      if (frame->channel != channel) continue;
      if (frame == frames_.begin() && is_front_started()) return WithdrawResult::partially_sent;
      frames_.erase(frame);
      return WithdrawResult::withdrawn;
    }
    return WithdrawResult::not_queued;
  }

  /// Removes the queued commands for a stream, except one that is partially sent.
  void withdraw_commands(core::StreamId stream) {
    const auto first_unsent = frames_.begin() + (is_front_started() ? 1 : 0);
    const auto is_command = [&](const Frame& frame) { return frame.channel == 0 && frame.stream == stream; };
    frames_.erase(std::remove_if(first_unsent, frames_.end(), is_command), frames_.end());
  }

  void clear() {
    frames_.clear();
    sent_bytes_ = 0;
  }

 private:
  std::deque<Frame> frames_;
  std::size_t sent_bytes_ = 0;  // of the first frame
};

}  // namespace paddlestand::platform

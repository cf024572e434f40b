/// Frames on their way out of one connection, in order; the first may be half written. No I/O.
#pragma once

#include <algorithm>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "core/stream_table.hpp"

namespace paddlestand::platform {

class FrameQueue {
 public:
  struct Frame {
    core::ChannelId channel{};  ///< of a request or a probe; zero: a command about a stream that was opened
    core::StreamId stream{};
    bool cancels = false;  ///< a command that ends its stream for the engine
    std::string bytes;
    TimePoint made{};  ///< when its deadline was reckoned
  };
  enum class Withdrawn : std::uint8_t {
    unknown,  ///< it went out whole, or was never here
    whole,  ///< no byte of it went out, and none will
    half  ///< part of it went out: the engine waits for the rest
  };

  void push(Frame frame) { frames_.push_back(std::move(frame)); }
  [[nodiscard]] bool empty() const { return frames_.empty(); }
  [[nodiscard]] Frame& front() { return frames_.front(); }
  /// Whether the first frame's first byte went out.
  [[nodiscard]] bool front_begun() const { return written_ > 0; }
  [[nodiscard]] std::string_view unwritten() const {
    return std::string_view(frames_.front().bytes).substr(written_);
  }
  /// Drops the first frame, of which nothing was written.
  void drop_front() { frames_.pop_front(); }
  /// So much of the first frame went out. Once it is whole it leaves the queue, and is returned.
  std::optional<Frame> wrote(std::size_t bytes) {
    written_ += bytes;
    if (written_ < frames_.front().bytes.size()) return std::nullopt;
    Frame whole = std::move(frames_.front());
    frames_.pop_front();
    written_ = 0;
    return whole;
  }
  Withdrawn withdraw(core::ChannelId channel) {
    for (auto frame = frames_.begin(); frame != frames_.end(); ++frame) {
      if (frame->channel != channel) continue;
      if (frame == frames_.begin() && front_begun()) return Withdrawn::half;
      frames_.erase(frame);
      return Withdrawn::whole;
    }
    return Withdrawn::unknown;
  }
  /// Drops the commands about a stream of which nothing went out: behind its end they would speak of
  /// something that is over.
  void withdraw_commands(core::StreamId stream) {
    const auto begun = frames_.begin() + (front_begun() ? 1 : 0);
    frames_.erase(std::remove_if(begun, frames_.end(),
                                 [&](const Frame& one) { return one.channel == 0 && one.stream == stream; }),
                  frames_.end());
  }
  /// Whether a command that ends this stream for the engine waits here.
  [[nodiscard]] bool cancels(core::StreamId stream) const {
    return std::any_of(frames_.begin(), frames_.end(),
                       [&](const Frame& one) { return one.cancels && one.stream == stream; });
  }
  void clear() {
    frames_.clear();
    written_ = 0;
  }

 private:
  std::deque<Frame> frames_;  // bounded by the streams, a few frames each
  std::size_t written_ = 0;  // of the first
};

}  // namespace paddlestand::platform

/// Time limits and speed of a partially received message. No I/O, no clock.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>

#include "core/types.hpp"

namespace paddlestand::platform {

/// The incomplete message at the end of a connection's input, if there is one.
class PartialMessage {
 public:
  /// Records input received at `received`, of which `bytes` belong to a message that is not complete.
  /// `completed_messages`: whether it completed other messages, which restarts the limits.
  void record_input(std::size_t bytes, bool completed_messages, TimePoint received) {
    last_received_ = received;
    if (received - resumed_ > backlog_read_time) idle_limit_ = idle_timeout;
    if (bytes == 0) {
      since_.reset();
    } else if (!since_ || completed_messages) {
      since_ = received;
    }
    bytes_ = bytes;
    if (since_ && received - *since_ <= first_bytes_time) first_bytes_ = bytes;
  }
  /// Records that the connection was not read from `since` until `now`. The sender had that time to complete
  /// the message; unless it proves to be still sending, the remainder is due sooner.
  void record_pause(TimePoint since, TimePoint now) {
    const Duration paused = now - since;
    if (since_) *since_ += paused;
    last_received_ = now;
    resumed_ = now;
    idle_limit_ = std::max<Duration>(min_idle_limit, idle_timeout - paused);
  }
  [[nodiscard]] bool exists() const { return since_.has_value(); }
  /// How fast the message has gone on after what was sent at once at its beginning.
  [[nodiscard]] double bytes_per_second(TimePoint now) const {
    if (!since_ || bytes_ <= first_bytes_) return 0;
    const Duration age = std::max<Duration>(now - *since_, first_bytes_time);
    return static_cast<double>(bytes_ - first_bytes_) / std::chrono::duration<double>(age).count();
  }
  /// When input was last received.
  [[nodiscard]] TimePoint last_received() const { return last_received_; }
  /// Whether the remainder is overdue: no input has arrived for a while, or the message takes too long in
  /// total.
  [[nodiscard]] bool is_overdue(TimePoint now) const {
    return since_ && (now - last_received_ > idle_limit_ || now - *since_ > timeout);
  }

 private:
  static constexpr auto idle_timeout = std::chrono::seconds(2);
  static constexpr auto timeout = std::chrono::seconds(6);  // a slow sender gets more time than a silent one

  static constexpr auto min_idle_limit = std::chrono::milliseconds(250);
  static constexpr auto backlog_read_time = std::chrono::milliseconds(50);  // of what was sent during a pause

  static constexpr auto first_bytes_time = std::chrono::milliseconds(20);

  std::size_t bytes_ = 0;
  std::size_t first_bytes_ = 0;  // received at once at the beginning
  std::optional<TimePoint> since_;
  Duration idle_limit_ = idle_timeout;
  TimePoint resumed_{};  // after the last pause
  TimePoint last_received_{};
};

}  // namespace paddlestand::platform

/// Time limits for a partially received message. No I/O, no clock.
#pragma once

#include <chrono>
#include <optional>

#include "core/types.hpp"

namespace paddlestand::platform {

/// The incomplete message at the end of a connection's input, if there is one.
class PartialMessage {
 public:
  /// Records input received at `received`. `ends_inside`: whether it ends within a message.
  /// `completed_messages`: whether it completed other messages, which restarts the limits.
  void record_input(bool ends_inside, bool completed_messages, TimePoint received) {
    last_received_ = received;
    if (!ends_inside) {
      since_.reset();
    } else if (!since_ || completed_messages) {
      since_ = received;
    }
  }
  [[nodiscard]] bool exists() const { return since_.has_value(); }
  /// Whether the remainder is overdue: no input has arrived for a while, or the message takes too long in
  /// total.
  [[nodiscard]] bool is_overdue(TimePoint now) const {
    return since_ && (now - last_received_ > idle_timeout || now - *since_ > timeout);
  }

 private:
  static constexpr auto idle_timeout = std::chrono::seconds(2);
  static constexpr auto timeout = std::chrono::seconds(6);  // a slow sender gets more time than a silent one

  std::optional<TimePoint> since_;
  TimePoint last_received_{};
};

}  // namespace paddlestand::platform

/// Time limits of a message of which only a part has arrived. Without I/O or clock.
#pragma once

#include <chrono>
#include <optional>

#include "core/types.hpp"

namespace paddlestand::platform {

/// The message that a connection's input ends in the middle of, if it does.
class PartialMessage {
 public:
  /// Records input that was received at `received`. `is_inside`: it ends within a message;
  /// `completed_messages`: it completed others, after which the limits start anew.
  void record_input(bool is_inside, bool completed_messages, TimePoint received) {
    last_received_ = received;
    if (!is_inside) {
      since_.reset();
    } else if (!since_ || completed_messages) {
      since_ = received;
    }
  }
  [[nodiscard]] bool exists() const { return since_.has_value(); }
  /// Whether its rest is overdue: nothing of it has arrived for a while, or it takes too long as a whole.
  [[nodiscard]] bool is_overdue(TimePoint now) const {
    return since_ && (now - last_received_ > idle_timeout || now - *since_ > timeout);
  }

 private:
  static constexpr auto idle_timeout = std::chrono::seconds(2);
  static constexpr auto timeout = std::chrono::seconds(6);  // slow is not silent

  std::optional<TimePoint> since_;
  TimePoint last_received_{};
};

}  // namespace paddlestand::platform

/// Estimates when the input of a connection arrived. Accepting, reading and the event loop may each have been
/// late, so the time of a read alone would not account for a stall before it. No I/O, no clock.
#pragma once

#include <cstdint>
#include <optional>

#include "core/types.hpp"

namespace paddlestand::platform {

/// Why a read of the available input stopped.
enum class ReadOutcome : std::uint8_t {
  drained,  ///< no input was left
  more_possible,  ///< the read reached its size limit, or the connection ended
  failing  ///< a system call failed temporarily; input may be unread
};

/// The times of one connection's input.
class InputTimes {
 public:
  /// `accept_delay`: how long the connection may have waited to be accepted.
  explicit InputTimes(Duration accept_delay) : accept_delay_(accept_delay) {}

  /// Records a read from `began` to `now`, in a turn of an event loop with the given lag.
  void record_read(ReadOutcome outcome, TimePoint began, TimePoint now, Duration event_loop_lag);

  /// Records that the connection is not read from now on, until the next read that leaves no input.
  void record_pause(TimePoint now, Duration event_loop_lag);

  /// The earliest time that the last input read may have arrived.
  [[nodiscard]] TimePoint arrived() const { return arrived_; }
  /// When the input was last read until none was left.
  [[nodiscard]] TimePoint drained_at() const { return drained_at_; }

 private:
  Duration accept_delay_;
  TimePoint arrived_{};
  TimePoint drained_at_{};
  std::optional<TimePoint> unread_since_;  // input may have been left unread since then
};

}  // namespace paddlestand::platform

/// When input of a connection arrived, as far as the reads of it can tell. Accepting, reading and the event
/// loop may each have been late; the time of a read alone would miss a stall before it. Without I/O or clock.
#pragma once

#include <cstdint>
#include <optional>

#include "core/types.hpp"

namespace paddlestand::platform {

/// How a read of what was there came to its end.
enum class ReadEnd : std::uint8_t {
  drained,  ///< nothing is left
  bounded,  ///< there may be more: a read is bounded, or the connection ended
  failing  ///< a call failed for now, and input may wait
};

/// The times of one connection's input.
class InputTimes {
 public:
  /// `accept_delay`: how long the connection may have waited to be accepted.
  explicit InputTimes(Duration accept_delay) : accept_delay_(accept_delay) {}

  /// Records a read that began at `began` and ended now, in a turn of an event loop that lags by so much.
  void record_read(ReadEnd end, TimePoint began, TimePoint now, Duration event_loop_lag);

  /// When the input that was read last may have arrived at the earliest.
  [[nodiscard]] TimePoint arrived() const { return arrived_; }
  /// When the input was last read to its end.
  [[nodiscard]] TimePoint drained_at() const { return drained_at_; }

 private:
  Duration accept_delay_;
  TimePoint arrived_{};
  TimePoint drained_at_{};
  std::optional<TimePoint> failing_since_;
};

}  // namespace paddlestand::platform

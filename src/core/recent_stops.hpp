/// Records stops of this process (SIGSTOP), to bound how long input may have been waiting when it is read. No
/// I/O, no clock.
///
/// Input that arrived during a stop is read in the iterations of the event loop right after it. If the
/// process is stopped again in one of these, the input has been waiting since the first stop.
#pragma once

#include <algorithm>

#include "paddlestand/workload_manager.hpp"

namespace paddlestand::core {

class RecentStops {
 public:
  /// The process was stopped between these two readings of the clock: the last before the stop, and the first
  /// after it.
  void add(TimePoint last_before, TimePoint first_after) {
    if (last_before > ended_ + input_drain_time) began_ = last_before;
    ended_ = first_after;
  }

  /// How long before `now` input that is read now may have arrived.
  [[nodiscard]] Duration delay(TimePoint now) const {
    return now < ended_ + input_drain_time ? now - began_ : Duration{0};
  }

 private:
  /// Within this time after a stop, all input that arrived during it has been read.
  static constexpr Duration input_drain_time = std::chrono::milliseconds(50);

  TimePoint began_{};  // of the first of several stops in a row
  TimePoint ended_ = -input_drain_time;  // of the last one
};

}  // namespace paddlestand::core

/// The stops of this process (SIGSTOP) that input which is read now may have waited through. No I/O, no
/// clock.
///
/// What arrived during a stop is read in the turns of the event loop right after it. Where the process is
/// stopped again in one of these turns, it has waited since the first stop.
#pragma once

#include <algorithm>

#include "paddlestand/workload_manager.hpp"

namespace paddlestand::core {

class RecentStops {
 public:
  /// The process was stopped at some time between these two, the last look at the clock before the stop and
  /// the first one after it.
  void add(TimePoint last_before, TimePoint first_after) {
    if (last_before > ended_ + memory) began_ = last_before;
    ended_ = first_after;
  }

  /// By how much earlier than `now` input that is read now may have arrived.
  [[nodiscard]] Duration delay(TimePoint now) const {
    return now < ended_ + memory ? now - began_ : Duration{0};
  }

 private:
  /// Within this time after a stop, everything that arrived during it has been read.
  static constexpr Duration memory = std::chrono::milliseconds(50);

  TimePoint began_{};  // the first of several stops in a row
  TimePoint ended_ = -memory;  // the last of them
};

}  // namespace paddlestand::core

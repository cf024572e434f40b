/// Converts the start times of engines to the caller's clock. The platform reports them as wall-clock times.
/// This machine's wall clock may be wrong or may jump, so it is not read: start times are only compared with
/// each other. No I/O; not thread-safe.
#pragma once

#include <map>
#include <span>

#include "paddlestand/workload_manager.hpp"

namespace paddlestand::core {

class EngineStarts {
 public:
  /// Replaces the start times of these entries, which count from 1970, by times of the caller's clock. The
  /// age of the first list is unknown: its newest start time maps to now, and the others keep their distance
  /// to it. In later lists a new start time maps to now, so that the engine's slow start takes its full
  /// duration from the time of the report.
  void map(TimePoint now, std::span<EngineEntry> entries);
  /// Ends the treatment of lists as the first list.
  void first_list_ends() { first_list_ = false; }

 private:
  struct Start {
    Duration since_1970{};
    TimePoint at{};  // on the caller's clock
    TimePoint last_listed{};
  };
  void remove_unlisted(TimePoint now);

  std::map<EngineId, Start> starts_;
  bool first_list_ = true;
};

}  // namespace paddlestand::core

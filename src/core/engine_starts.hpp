/// When engines started, on the caller's own clock. The platform reports starts as wall-clock times. The wall
/// clock of this machine may be off or stepped, so it is not read: starts are only compared with each other.
/// No I/O, not thread-safe.
#pragma once

#include <map>
#include <span>

#include "paddlestand/workload_manager.hpp"

namespace paddlestand::core {

class EngineStarts {
 public:
  /// Replaces the starts of these entries, which count from 1970, by readings of the caller's clock. The
  /// first list is of unknown age: its newest start counts as now, the others as earlier by their distance
  /// from it. Later a start that was not known before counts as now: the engine's slow start lasts its full
  /// time from when it is reported, never less.
  void map(TimePoint now, std::span<EngineEntry> entries);
  /// From here on no list is the first.
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

/// The schedule of the actions of a fault run.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "monotonic_clock.hpp"

namespace paddlestand::faults {

/// Runs actions in the order of their times; actions with equal times run in the order in which they were
/// added. An action may schedule further actions. Single-threaded.
class ActionSchedule {
 public:
  using Action = std::function<void()>;

  /// Schedules `action` at `time` on the monotonic clock.
  void at(std::int64_t time, Action action) { actions_.emplace(time, std::move(action)); }
  /// Schedules `action` to run `delay` nanoseconds from now.
  void after(std::int64_t delay, Action action) { at(monotonic_now() + delay, std::move(action)); }

  /// Runs every action that is due.
  void run_due() {
    while (!actions_.empty() && actions_.begin()->first <= monotonic_now()) {
      const Action action = std::move(actions_.begin()->second);
      actions_.erase(actions_.begin());
      action();
    }
  }
  /// Discards all pending actions.
  void clear() { actions_.clear(); }

 private:
  std::multimap<std::int64_t, Action> actions_;
};

}  // namespace paddlestand::faults

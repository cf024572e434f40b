/// Actions of a fault run that wait for their time.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "monotonic_clock.hpp"

namespace paddlestand::faults {

/// Runs actions in the order of their times, actions of one time in the order in which they were added. An
/// action may add further ones. Single-threaded.
class ActionSchedule {
 public:
  using Action = std::function<void()>;

  /// Runs `action` at `time`, on the monotonic clock.
  void at(std::int64_t time, Action action) { actions_.emplace(time, std::move(action)); }
  /// Runs `action` once `delay` has passed, in nanoseconds.
  void after(std::int64_t delay, Action action) { at(monotonic_now() + delay, std::move(action)); }

  /// Runs every action whose time has come.
  void run_due() {
    while (!actions_.empty() && actions_.begin()->first <= monotonic_now()) {
      const Action action = std::move(actions_.begin()->second);
      actions_.erase(actions_.begin());
      action();
    }
  }
  /// Drops what has not run yet.
  void clear() { actions_.clear(); }

 private:
  std::multimap<std::int64_t, Action> actions_;
};

}  // namespace paddlestand::faults

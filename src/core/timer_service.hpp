/// The timers of the query coordinator: its own, and those that the decision module set. No clock; not
/// thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <variant>

#include "timer_queue.hpp"

namespace paddlestand::core {

/// A timer of the decision module, which receives the token when the timer expires.
struct ModuleTimer {
  std::uint32_t token{};
};

using ExpiredTimer = std::variant<ModuleTimer, Timer>;

class TimerService {
 public:
  using Handle = TimerQueue::Handle;

  /// `module_clock_step`: the resolution of the module's timers.
  explicit TimerService(Duration module_clock_step);

  Handle arm(TimePoint at, Timer timer) { return own_.arm(at, timer); }
  void disarm(std::optional<Handle>& handle) { own_.disarm(handle); }

  /// Arms a timer of the module, due at the first multiple of the clock step that is not before `at`. Timers
  /// with equal token and step are merged, so that the steps in the longest timeout bound their number.
  void arm_for_module(TimePoint at, std::uint32_t token);

  /// When the first timer of either kind is due.
  [[nodiscard]] std::optional<TimePoint> next_due() const;
  /// Removes and returns the first timer that is due at `now`. The module's timers precede others with the
  /// same due time.
  std::optional<ExpiredTimer> pop_due(TimePoint now);

  [[nodiscard]] std::size_t size() const { return own_.size() + for_module_.size(); }
  [[nodiscard]] std::size_t own_size() const { return own_.size(); }

  [[nodiscard]] const TimerQueue& own() const { return own_; }
  /// Due times and tokens.
  [[nodiscard]] const std::set<std::pair<TimePoint, std::uint32_t>>& for_module() const {
    return for_module_;
  }

 private:
  Duration module_clock_step_;
  TimerQueue own_;
  std::set<std::pair<TimePoint, std::uint32_t>> for_module_;
};

}  // namespace paddlestand::core

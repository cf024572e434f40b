#include "timer_service.hpp"

#include <algorithm>

namespace paddlestand::core {

TimerService::TimerService(Duration module_clock_step)
    : module_clock_step_(std::max(module_clock_step, Duration{1})) {}

void TimerService::arm_for_module(TimePoint at, std::uint32_t token) {
  const auto steps = (at + module_clock_step_ - Duration{1}) / module_clock_step_;
  for_module_.emplace(steps * module_clock_step_, token);
}

std::optional<TimePoint> TimerService::next_due() const {
  const std::optional<TimePoint> own_due = own_.next_due();
  if (for_module_.empty()) return own_due;
  const TimePoint module_due = for_module_.begin()->first;
  return own_due ? std::min(*own_due, module_due) : module_due;
}

std::optional<ExpiredTimer> TimerService::pop_due(TimePoint now) {
  const std::optional<TimePoint> own_due = own_.next_due();
  const auto first = for_module_.begin();
  if (first != for_module_.end() && (!own_due || first->first <= *own_due)) {
    if (first->first > now) return std::nullopt;
    const ModuleTimer timer{first->second};
    for_module_.erase(first);
    return timer;
  }
  if (const std::optional<Timer> timer = own_.pop_due(now)) return *timer;
  return std::nullopt;
}

}  // namespace paddlestand::core

/// \file
/// Conversions between the interface's durations and the seconds that the decision module uses, and values
/// derived from the settings alone.
#pragma once

#include <algorithm>
#include <cmath>

#include "paddlestand/workload_manager.hpp"

namespace paddlestand::decision {

/// Longest duration of an action, in seconds. Timers of the hosts last 71 minutes at most.
inline constexpr double max_duration = 4000;

[[nodiscard]] inline double to_seconds(Duration duration) {
  return static_cast<double>(duration.count()) * 1e-9;
}

/// Rounds to nanoseconds and clamps to the range from zero to `max_duration`.
[[nodiscard]] inline Duration to_duration(double seconds) {
  return Duration{std::llround(std::clamp(seconds, 0.0, max_duration) * 1e9)};
}

/// `value` if it is finite and positive, otherwise `fallback`; for settings and estimates, which are
/// unchecked input.
[[nodiscard]] inline double positive_or(double value, double fallback) {
  return std::isfinite(value) && value > 0 ? value : fallback;
}

/// Number of managers in the deployment, at least one.
[[nodiscard]] inline double instance_count(const Settings& settings) {
  return std::max(1.0, static_cast<double>(settings.instances));
}

/// Number of clock steps before a client's deadline by which its request is answered.
inline constexpr double answer_margin_steps = 3;

/// Time before a client's deadline by which its request is answered, in seconds.
[[nodiscard]] inline double answer_margin(const Settings& settings) {
  return answer_margin_steps * std::max(to_seconds(settings.clock_step), 1e-3);
}

}  // namespace paddlestand::decision

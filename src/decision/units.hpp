/// \file
/// Conversions between the interface's durations and the seconds in which the decision module computes, and
/// figures that follow from the settings alone.
#pragma once

#include <algorithm>
#include <cmath>

#include "paddlestand/workload_manager.hpp"

namespace paddlestand::decision {

/// Longest duration that an action may carry: timers of the hosts last 71 minutes at most.
inline constexpr double max_duration = 4000;  // s

[[nodiscard]] inline double to_seconds(Duration duration) {
  return static_cast<double>(duration.count()) * 1e-9;
}

/// Rounds to nanoseconds; negative values become zero, long ones `max_duration`.
[[nodiscard]] inline Duration to_duration(double seconds) {
  return Duration{std::llround(std::clamp(seconds, 0.0, max_duration) * 1e9)};
}

/// `value` where it is finite and positive, else `fallback`: settings and estimates come from outside.
[[nodiscard]] inline double positive_or(double value, double fallback) {
  return std::isfinite(value) && value > 0 ? value : fallback;
}

/// Number of managers in the deployment, at least one.
[[nodiscard]] inline double instance_count(const Settings& settings) {
  return std::max(1.0, static_cast<double>(settings.instances));
}

/// Clock steps before a client's deadline at which its request is answered at the latest.
inline constexpr double answer_margin_steps = 3;

/// Time before a client's deadline, in seconds, at which its request is answered at the latest.
[[nodiscard]] inline double answer_margin(const Settings& settings) {
  return answer_margin_steps * std::max(to_seconds(settings.clock_step), 1e-3);
}

}  // namespace paddlestand::decision

/// The monotonic clock that all processes of a fault run share. Times are in nanoseconds.
#pragma once

#include <cstdint>
#include <ctime>

namespace paddlestand::faults {

constexpr std::int64_t millisecond = 1'000'000;  // ns
constexpr std::int64_t second = 1'000'000'000;  // ns

/// CLOCK_MONOTONIC in nanoseconds: the same for all processes of a machine, and never stepped.
inline std::int64_t monotonic_now() {
  timespec now{};
  ::clock_gettime(CLOCK_MONOTONIC, &now);
  return static_cast<std::int64_t>(now.tv_sec) * second + now.tv_nsec;
}

/// Converts a duration from seconds to nanoseconds.
constexpr std::int64_t from_seconds(double seconds) { return static_cast<std::int64_t>(seconds * 1e9); }

}  // namespace paddlestand::faults

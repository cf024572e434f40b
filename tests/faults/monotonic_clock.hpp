/// The monotonic clock that all processes of a fault run share. Times are in nanoseconds.
#pragma once

#include <cstdint>
#include <ctime>

namespace paddlestand::faults {

constexpr std::int64_t ns_per_millisecond = 1'000'000;
constexpr std::int64_t ns_per_second = 1'000'000'000;

/// CLOCK_MONOTONIC in nanoseconds: the same for all processes of a machine, and never stepped.
inline std::int64_t monotonic_now() {
  timespec now{};
  ::clock_gettime(CLOCK_MONOTONIC, &now);
  return static_cast<std::int64_t>(now.tv_sec) * ns_per_second + now.tv_nsec;
}

/// Converts a duration from seconds to nanoseconds.
constexpr std::int64_t from_seconds(double seconds) { return static_cast<std::int64_t>(seconds * 1e9); }

}  // namespace paddlestand::faults

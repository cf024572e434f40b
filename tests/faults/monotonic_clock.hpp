/// The clock that all processes of a fault run share, and the unit of its times: nanoseconds.
#pragma once

#include <cstdint>
#include <ctime>

namespace paddlestand::faults {

constexpr std::int64_t millisecond = 1'000'000;  // ns
constexpr std::int64_t second = 1'000'000'000;  // ns

/// Nanoseconds on CLOCK_MONOTONIC, which is the same for all processes of a machine and is never stepped.
inline std::int64_t monotonic_now() {
  timespec now{};
  ::clock_gettime(CLOCK_MONOTONIC, &now);
  return static_cast<std::int64_t>(now.tv_sec) * second + now.tv_nsec;
}

/// A duration in seconds as nanoseconds.
constexpr std::int64_t from_seconds(double seconds) { return static_cast<std::int64_t>(seconds * 1e9); }

}  // namespace paddlestand::faults

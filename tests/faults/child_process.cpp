#include "child_process.hpp"

#include <unistd.h>

#include "monotonic_clock.hpp"

namespace paddlestand::faults {

bool ends_within(boost::process::child& process, std::int64_t limit) {
  constexpr unsigned poll_interval_us = 5000;
  const std::int64_t end = monotonic_now() + limit;
  std::error_code ignored;
  while (process.running(ignored)) {
    if (monotonic_now() > end) return false;
    ::usleep(poll_interval_us);
  }
  return true;
}

}  // namespace paddlestand::faults

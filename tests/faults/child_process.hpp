/// Helpers for the child processes of a fault run.
#pragma once

#include <boost/process.hpp>
#include <cstdint>

namespace paddlestand::faults {

/// Waits at most `limit` nanoseconds for `process` to exit. Returns false if it is still running.
bool ends_within(boost::process::child& process, std::int64_t limit);

}  // namespace paddlestand::faults

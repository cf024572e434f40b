/// Child processes of a fault run.
#pragma once

#include <boost/process.hpp>
#include <cstdint>

namespace paddlestand::faults {

/// Waits until `process` has ended, for at most `limit` nanoseconds. False: it still runs.
bool ends_within(boost::process::child& process, std::int64_t limit);

}  // namespace paddlestand::faults

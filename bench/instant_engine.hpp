/// An engine that answers each query immediately from a buffer, so that its cost does not dominate a
/// measurement.
#pragma once

namespace paddlestand::bench {

/// Listens on a port chosen by the system, prints it, and serves until the process ends.
void run_instant_engine();

}  // namespace paddlestand::bench

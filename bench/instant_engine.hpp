/// An engine that answers each query at once from a buffer, so that a measurement is not of the engine.
#pragma once

namespace paddlestand::bench {

/// Serves on a port of its own, which it prints, until the process ends.
void run_instant_engine();

}  // namespace paddlestand::bench

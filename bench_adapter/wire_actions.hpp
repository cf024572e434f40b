/// Writes the actions of workload managers as records of a reply frame.
#pragma once

#include <cstdint>

#include "paddlestand/workload_manager.hpp"
#include "wire_io.hpp"

namespace paddlestand::bench_adapter {

/// Appends the record of an action that `instance` takes.
void write_action(WireWriter& out, std::uint16_t instance, const Action& action);

}  // namespace paddlestand::bench_adapter

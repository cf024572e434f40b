/// Division of the descriptors and the memory granted by the platform. No I/O.
#pragma once

#include <cstddef>

#include "config.hpp"

namespace paddlestand::platform {

struct ResourceLimits {
  std::size_t max_clients = 0;  ///< client connections
  std::size_t max_engine_connections = 0;
  std::size_t max_buffered_bytes = 0;  ///< of clients' input and output; open statements get the same limit
};

/// Divides the granted limits, using defaults for those that are not set.
[[nodiscard]] ResourceLimits divide_limits(const Limits& granted);

}  // namespace paddlestand::platform

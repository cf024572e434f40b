/// How the descriptors and the memory that the platform grants are divided. No I/O.
#pragma once

#include <cstddef>

#include "config.hpp"

namespace paddlestand::platform {

struct ResourceLimits {
  std::size_t max_clients = 0;  ///< connections
  std::size_t max_engine_connections = 0;
  std::size_t max_buffered_bytes = 0;  ///< of clients' input and output; as much again of open statements
};

/// Divides what the platform grants; a default replaces a limit that it does not name.
[[nodiscard]] ResourceLimits divide(const Limits& granted);

}  // namespace paddlestand::platform

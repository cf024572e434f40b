/// Division of the descriptors and the memory granted by the platform. No I/O.
#pragma once

#include <cstddef>

#include "config.hpp"

namespace paddlestand::platform {

struct ResourceLimits {
  std::size_t max_clients = 0;  ///< client connections
  std::size_t max_engine_connections = 0;
  std::size_t max_input_bytes = 0;  ///< of clients' incomplete messages, and of messages that wait
  std::size_t max_statement_bytes = 0;  ///< of all open requests
  std::size_t max_answer_bytes = 0;  ///< of answers that engines deliver in several pages
  std::size_t max_unwritten_bytes = 0;  ///< of lines that clients have not read
};

/// Divides the granted limits, using defaults for those that are not set.
[[nodiscard]] ResourceLimits divide_limits(const Limits& granted);

}  // namespace paddlestand::platform

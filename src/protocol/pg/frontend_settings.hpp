/// Limits of the memory that one client's session may use.
#pragma once

#include <cstddef>

namespace paddlestand::pg {

struct FrontendSettings {
  std::size_t max_message = std::size_t{16} * 1024 * 1024;  ///< bytes of one message, after the login
  std::size_t max_batch = std::size_t{32} * 1024 * 1024;  ///< bytes of the extended messages before a Sync
  std::size_t max_statements = 1000;  ///< prepared ones
  std::size_t max_statement_bytes = std::size_t{16} * 1024 * 1024;  ///< of their texts together
};

}  // namespace paddlestand::pg

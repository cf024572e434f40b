/// Memory limits of one client's session.
#pragma once

#include <cstddef>

namespace paddlestand::pg {

struct FrontendSettings {
  std::size_t max_message = std::size_t{16} * 1024 * 1024;  ///< bytes of one message after the login
  std::size_t max_batch =
      std::size_t{32} * 1024 * 1024;  ///< bytes of extended messages before a Sync or Flush
  std::size_t max_statements = 1000;  ///< number of prepared statements
  std::size_t max_statement_bytes = std::size_t{16} * 1024 * 1024;  ///< total bytes of their texts
};

}  // namespace paddlestand::pg

/// A manager's log settings: the `log` element of the settings file.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace paddlestand::observe {

struct LogConfig {
  std::string level = "info";  ///< debug, info, warning or error
  std::string file = "-";  ///< path, or "-" for standard error
  std::string format = "json";  ///< json or console
  std::size_t max_bytes = 64U << 20U;  ///< size at which a file is rotated
  std::uint32_t files = 4;  ///< number of rotated files kept
  bool answers = true;  ///< whether each final answer is logged
};

}  // namespace paddlestand::observe

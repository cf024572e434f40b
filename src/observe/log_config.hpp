/// How a manager logs: the settings' `log` element.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace paddlestand::observe {

struct LogConfig {
  std::string level = "info";  ///< debug, info, warning or error
  std::string file = "-";  ///< a path; "-" is standard error
  std::string format = "json";  ///< json or console
  std::size_t max_bytes = 64U << 20U;  ///< of a file before it is rotated
  std::uint32_t files = 4;  ///< kept after rotation
  bool answers = true;  ///< whether each final answer is logged
};

}  // namespace paddlestand::observe

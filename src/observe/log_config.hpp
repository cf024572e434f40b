// How a manager logs.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace paddlestand::observe {

struct LogConfig {
  std::string level = "info", file = "-", format = "json";
  std::size_t most_bytes = 64U << 20U;
  std::uint32_t files = 4;
  bool answers = true;
};

}  // namespace paddlestand::observe

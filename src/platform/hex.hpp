/// Ids as they are written in logs and messages.
#pragma once

#include <cstdint>
#include <cstdio>
#include <string>

namespace paddlestand::platform {

/// 16 hex digits.
inline std::string hex_of(std::uint64_t value) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(value));
  return text;
}

}  // namespace paddlestand::platform

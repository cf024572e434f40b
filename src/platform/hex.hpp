/// Ids as they are written in logs and messages.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <string>

namespace paddlestand::platform {

/// 16 hex digits.
inline std::string hex_of(std::uint64_t value) {
  constexpr std::size_t digits = 16;
  std::array<char, digits + 1> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
  return text.data();
}

}  // namespace paddlestand::platform

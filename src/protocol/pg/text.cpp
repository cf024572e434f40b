#include "text.hpp"

#include <algorithm>
#include <cctype>
#include <optional>

namespace paddlestand::pg {
namespace {

/// The number of continuation bytes after this first byte of a character; nothing if it is invalid as a
/// first byte.
std::optional<std::size_t> continuation_count(unsigned char lead) {
  if (lead < 0x80) return 0;
  if (lead >= 0xc2 && lead < 0xe0) return 1;
  if (lead >= 0xe0 && lead < 0xf0) return 2;
  if (lead >= 0xf0 && lead < 0xf5) return 3;
  return std::nullopt;
}

bool are_continuations(std::string_view bytes) {
  return std::all_of(bytes.begin(), bytes.end(),
                     [](char byte) { return (static_cast<unsigned char>(byte) & 0xc0U) == 0x80; });
}

/// Whether these two bytes may begin a multi-byte character.
bool is_allowed_start(unsigned char lead, unsigned char second) {
  switch (lead) {
    case 0xe0: return second >= 0xa0;  // otherwise overlong
    case 0xed: return second < 0xa0;  // otherwise a surrogate
    case 0xf0: return second >= 0x90;  // otherwise overlong
    case 0xf4: return second < 0x90;  // otherwise above U+10FFFF
    default: return true;
  }
}

}  // namespace

std::string to_lower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return lower;
}

bool is_utf8(std::string_view text) {
  while (!text.empty()) {
    const auto lead = static_cast<unsigned char>(text[0]);
    const auto count = continuation_count(lead);
    if (!count || *count >= text.size()) return false;
    if (!are_continuations(text.substr(1, *count))) return false;
    if (*count > 0 && !is_allowed_start(lead, static_cast<unsigned char>(text[1]))) return false;
    text.remove_prefix(*count + 1);
  }
  return true;
}

}  // namespace paddlestand::pg

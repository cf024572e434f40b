// Base64 with the standard alphabet and padding (RFC 4648, section 4).
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace paddlestand {

std::string base64(std::string_view bytes);
void put_base64(std::string& out, std::string_view bytes);
// Strict decoding: std::nullopt for white space, characters outside the alphabet, or missing padding.
std::optional<std::string> from_base64(std::string_view text);

}  // namespace paddlestand

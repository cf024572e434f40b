#include "base64.hpp"

#include <openssl/evp.h>

#include <algorithm>

namespace paddlestand {
namespace {

bool is_base64_digit(char c) {
  return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '+' || c == '/';
}

}  // namespace

void put_base64(std::string& out, std::string_view bytes) {
  const std::size_t from = out.size(), length = (bytes.size() + 2) / 3 * 4;
  out.resize(from + length + 1);  // the library appends a null byte
  EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data() + from),
                  reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
  out.resize(from + length);
}

std::string base64(std::string_view bytes) {
  std::string out;
  put_base64(out, bytes);
  return out;
}

std::optional<std::string> from_base64(std::string_view text) {
  if (text.size() % 4 != 0) return std::nullopt;
  if (text.empty()) return std::string{};
  const std::size_t padding = text.ends_with("==") ? 2 : text.ends_with('=') ? 1 : 0;
  const std::string_view digits = text.substr(0, text.size() - padding);
  // EVP_DecodeBlock() ignores white space at both ends, so the characters are checked here.
  if (!std::all_of(digits.begin(), digits.end(), is_base64_digit)) return std::nullopt;
  std::string out(text.size() / 4 * 3, '\0');
  const int decoded_bytes =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
  if (decoded_bytes < 0) return std::nullopt;
  out.resize(out.size() - padding);
  return out;
}

}  // namespace paddlestand

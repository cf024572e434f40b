#include "tags.hpp"

#include <optional>

namespace paddlestand::sql {
namespace {

std::string_view trim(std::string_view text) {
  const auto blank = " \t\r\n";
  const auto from = text.find_first_not_of(blank);
  if (from == std::string_view::npos) return {};
  return text.substr(from, text.find_last_not_of(blank) + 1 - from);
}

int hex_digit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

std::string decode(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size() && hex_digit(text[i + 1]) >= 0 && hex_digit(text[i + 2]) >= 0) {
      out.push_back(static_cast<char>(hex_digit(text[i + 1]) * 16 + hex_digit(text[i + 2])));
      i += 2;
    } else if (text[i] == '\\' && i + 1 < text.size()) {
      out.push_back(text[++i]);
    } else {
      out.push_back(text[i]);
    }
  }
  return out;
}

}  // namespace

Tags read_tags(std::string_view comment) {
  Tags tags;
  std::string_view unread = trim(comment.substr(0, max_tag_bytes));
  while (!unread.empty()) {
    const auto equals = unread.find('=');
    if (equals == std::string_view::npos || equals + 1 >= unread.size() || unread[equals + 1] != '\'')
      return {};
    const std::string_view key = trim(unread.substr(0, equals));
    if (key.empty() || key.find_first_of(" '\"") != std::string_view::npos) return {};
    std::size_t end = equals + 2;
    while (end < unread.size() && unread[end] != '\'') end += unread[end] == '\\' ? 2 : 1;
    if (end >= unread.size()) return {};
    tags.emplace_back(decode(key), decode(unread.substr(equals + 2, end - equals - 2)));
    if (tags.size() > max_tags) return {};
    unread = trim(unread.substr(end + 1));
    if (unread.empty()) break;
    if (unread.front() != ',') return {};
    unread = trim(unread.substr(1));
  }
  return tags;
}

}  // namespace paddlestand::sql

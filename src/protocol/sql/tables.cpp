#include "tables.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <string>

#include "scan.hpp"

namespace paddlestand::sql {
namespace {

constexpr std::size_t max_tokens = 4096;  // of a statement; tables are named near its beginning

std::optional<std::uint32_t> number_of(std::string_view schema) {
  if (schema.size() >= 2 && schema.front() == '"' && schema.back() == '"')
    schema = schema.substr(1, schema.size() - 2);
  const auto underscore = schema.rfind('_');
  if (underscore == std::string_view::npos)
    return std::nullopt;  // such as `staging`, which belongs to no group
  std::uint32_t number = 0;
  const char* const last = schema.data() + schema.size();
  const auto [end, error] = std::from_chars(schema.data() + underscore + 1, last, number);
  if (error != std::errc{} || end != last) return std::nullopt;
  return number;
}

bool is_name(const std::string& token) {
  const char c = token.front();
  return c == '"' || c == '_' || (c >= 'a' && c <= 'z') || static_cast<unsigned char>(c) >= 128;
}

}  // namespace

// A schema that follows FROM, JOIN, INTO, UPDATE, TABLE or USING belongs to a table. Any other qualified name
// may be an alias and its column, and counts only if no table was found.
std::optional<std::uint32_t> table_group(std::string_view statement) {
  constexpr std::array<std::string_view, 6> table_keywords{"from",   "join",  "into",
                                                           "update", "table", "using"};
  std::optional<std::uint32_t> fallback;
  for (const Statement& parsed : scan(statement, max_tokens).statements) {
    const auto& tokens = parsed.tokens;
    for (std::size_t i = 0; i + 2 < tokens.size(); ++i) {
      if (tokens[i + 1] != "." || !is_name(tokens[i]) || !is_name(tokens[i + 2])) continue;
      if (i + 4 < tokens.size() && tokens[i + 3] == "." && is_name(tokens[i + 4]))
        continue;  // this name is a catalog
      const auto group = number_of(tokens[i]);
      if (!group) continue;
      std::size_t before = i;
      while (before >= 2 && tokens[before - 1] == ".") before -= 2;
      const bool is_table = before > 0 && std::find(table_keywords.begin(), table_keywords.end(),
                                                    tokens[before - 1]) != table_keywords.end();
      if (is_table) return group;
      if (!fallback) fallback = group;
    }
  }
  return fallback;
}

}  // namespace paddlestand::sql

#include "tables.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <string>

#include "scan.hpp"

namespace paddlestand::sql {
namespace {

constexpr std::size_t max_words = 4096;  // of a statement: tables are named early in it

std::optional<std::uint32_t> number_of(std::string_view schema) {
  if (schema.size() >= 2 && schema.front() == '"' && schema.back() == '"')
    schema = schema.substr(1, schema.size() - 2);
  const auto underscore = schema.rfind('_');
  if (underscore == std::string_view::npos) return std::nullopt;  // as `staging`, which is no group's
  std::uint32_t number = 0;
  const char* const last = schema.data() + schema.size();
  const auto [end, error] = std::from_chars(schema.data() + underscore + 1, last, number);
  if (error != std::errc{} || end != last) return std::nullopt;
  return number;
}

bool is_name(const std::string& word) {
  const char c = word.front();
  return c == '"' || c == '_' || (c >= 'a' && c <= 'z') || static_cast<unsigned char>(c) >= 128;
}

}  // namespace

// A table is named after FROM, JOIN, INTO, UPDATE or TABLE, or behind a comma there; an alias before a column
// may look like a schema, and counts only where no table was found.
std::optional<std::uint32_t> table_group(std::string_view statement) {
  constexpr std::array<std::string_view, 6> leads{"from", "join", "into", "update", "table", "using"};
  std::optional<std::uint32_t> other;
  for (const Statement& one : scan(statement, max_words).statements) {
    const auto& words = one.words;
    for (std::size_t i = 0; i + 2 < words.size(); ++i) {
      if (words[i + 1] != "." || !is_name(words[i]) || !is_name(words[i + 2])) continue;
      if (i + 4 < words.size() && words[i + 3] == "." && is_name(words[i + 4])) continue;  // a catalog
      const auto group = number_of(words[i]);
      if (!group) continue;
      std::size_t before = i;
      while (before >= 2 && words[before - 1] == ".") before -= 2;
      const bool table =
          before > 0 && std::find(leads.begin(), leads.end(), words[before - 1]) != leads.end();
      if (table) return group;
      if (!other) other = group;
    }
  }
  return other;
}

}  // namespace paddlestand::sql

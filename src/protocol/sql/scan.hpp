/// Lexical scanner for SQL text. Finds the ends of statements, their first tokens and the comments, with
/// PostgreSQL's rules for quotes, dollar quotes, escapes and nested comments (PostgreSQL manual,
/// section 4.1). No grammar, no I/O.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace paddlestand::sql {

/// One statement of a text.
struct Statement {
  /// The first tokens: names in lower case, numbers and operator characters; quoted names with their quotes;
  /// a literal as ' followed by the beginning of its contents.
  std::vector<std::string> tokens;
  std::string_view text;  ///< without the semicolon
};

/// The result of a scan. Views point into the scanned text.
struct Scanned {
  std::vector<Statement> statements;  ///< without empty statements
  std::vector<std::string_view> comments;  ///< the contents of block comments
  bool has_too_many_statements = false;  ///< more than max_statements; the others are not stored
};

inline constexpr std::size_t max_statements = 1000;
inline constexpr std::size_t default_max_tokens = 8;

/// Scans a text and stores at most `max_tokens` tokens of each statement.
Scanned scan(std::string_view text, std::size_t max_tokens = default_max_tokens);

}  // namespace paddlestand::sql

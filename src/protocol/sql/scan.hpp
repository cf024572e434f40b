/// A lexical scan of SQL text: where statements end, their first words, and the comments, with PostgreSQL's
/// rules for quotes, dollar quotes, escapes and nested comments (PostgreSQL manual, section 4.1). No grammar,
/// no I/O.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace paddlestand::sql {

/// One statement of a text.
struct Statement {
  /// The first few words: names in lower case, numbers, signs; a quoted name with its quotes, and a literal
  /// as ' and the beginning of its contents.
  std::vector<std::string> words;
  std::string_view text;  ///< without the semicolon
};

/// What was found. Views point into the text that was scanned.
struct Scanned {
  std::vector<Statement> statements;  ///< without empty ones
  std::vector<std::string_view> comments;  ///< the insides of block comments
  bool too_many = false;  ///< there are more statements than are scanned
};

inline constexpr std::size_t max_statements = 1000;
inline constexpr std::size_t default_max_words = 8;

/// Scans a text; keeps at most so many words of each statement.
Scanned scan(std::string_view text, std::size_t words = default_max_words);

}  // namespace paddlestand::sql

// A light reading of SQL text: where statements end, their first words, and the comments, with PostgreSQL's
// rules for quotes, dollar quotes, escapes and nested comments. No grammar.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace paddlestand::sql {

struct Statement {
  // The first few: names in lower case, numbers, signs; a quoted name with its quotes, and a literal as ' and
  // the first of what it holds.
  std::vector<std::string> words;
  std::string_view text;  // without the semicolon
};

struct Scanned {
  std::vector<Statement> statements;  // empty ones left out
  std::vector<std::string_view> comments;  // the insides of /* */ ones
  bool too_many = false;  // more statements than are looked at
};

inline constexpr std::size_t most_statements = 1000;
inline constexpr std::size_t most_words = 8;

Scanned scan(std::string_view text, std::size_t words = most_words);

}  // namespace paddlestand::sql

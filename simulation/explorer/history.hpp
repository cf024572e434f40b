/// Reads and writes histories as files, which hold a scope, a seeded defect or none, and the moves in order.
/// Also generates GoogleTest cases from them.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "model_state.hpp"

namespace paddlestand::explorer {

struct History {
  std::string scope;  ///< name; see find_scope()
  std::string defect = "none";  ///< the name of a core::Defect
  std::vector<Move> moves;
};

/// Where a text is not a valid history, and what was expected there.
struct HistoryError {
  std::size_t line = 0;  ///< counted from 1; 0 for an empty text
  std::string expected;

  /// For the user, as "LINE: expected EXPECTED".
  [[nodiscard]] std::string text() const;
};

/// The scope with this name, from all sizes, the scopes for defects, and the scope of random walks.
[[nodiscard]] std::optional<Scope> find_scope(const std::string& name);

/// The text of a history file, with comments that number and describe each move. parse_history() reads it.
[[nodiscard]] std::string text_of(const History& history, const std::vector<InvariantViolation>& violations);

[[nodiscard]] std::variant<History, HistoryError> parse_history(const std::string& text);

/// A GoogleTest case with this name that replays the history, for found_histories.inc.
[[nodiscard]] std::string test_case_of(const History& history, const std::string& name);

}  // namespace paddlestand::explorer

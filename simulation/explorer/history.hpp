/// Histories as files: a scope, a seeded defect or none, and the moves in order; and as GoogleTest cases.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "model_state.hpp"

namespace paddlestand::explorer {

struct History {
  std::string scope;  ///< its name; see find_scope()
  std::string defect = "none";  ///< the name of a core::Defect
  std::vector<Move> moves;
};

/// Where and why a text is no history.
struct HistoryError {
  std::size_t line = 0;  ///< counted from 1; 0 where there is none
  std::string expected;

  /// As for a user: "LINE: wanted: EXPECTED".
  [[nodiscard]] std::string text() const;
};

/// The scope of that name: one of any size, one for defects, or that of the random walks.
[[nodiscard]] std::optional<Scope> find_scope(const std::string& name);

/// The history with numbered comments that an engineer can follow. parse_history() reads it back.
[[nodiscard]] std::string text_of(const History& history, const std::vector<InvariantViolation>& violations);

[[nodiscard]] std::variant<History, HistoryError> parse_history(const std::string& text);

/// A GoogleTest case of that name which replays the history, for found_histories.inc.
[[nodiscard]] std::string test_of(const History& history, const std::string& name);

}  // namespace paddlestand::explorer

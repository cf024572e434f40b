/// Replays histories, and makes them shorter.
#pragma once

#include <string>
#include <vector>

#include "model_state.hpp"

namespace paddlestand::explorer {

/// Far more than all deadlines of a scope together need.
inline constexpr int max_fault_free_moves = 2000;

struct Replay {
  std::vector<InvariantViolation> violations;  ///< of the first move that violated any
  std::vector<Move> moves;  ///< those that were possible
  std::vector<std::string> lines;  ///< in words, from replay_in_words() alone
};

/// Makes the moves that are possible, skips the others, and ends at the first violation.
[[nodiscard]] Replay replay(const Scope& scope, const std::vector<Move>& moves);
[[nodiscard]] Replay replay_in_words(const Scope& scope, const std::vector<Move>& moves);

/// As replay(), and then without faults until everything has ended or should have.
[[nodiscard]] Replay replay_to_end(const Scope& scope, const std::vector<Move>& moves);

/// The violation of a system that makes more fault-free moves than any may need.
[[nodiscard]] InvariantViolation endless_violation();

/// A history that violates the same invariant, as short as leaving moves out makes it.
[[nodiscard]] std::vector<Move> shrink(const Scope& scope, std::vector<Move> moves, Invariant invariant);

}  // namespace paddlestand::explorer

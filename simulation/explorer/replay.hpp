/// Replays histories and shrinks them.
#pragma once

#include <string>
#include <vector>

#include "model_state.hpp"

namespace paddlestand::explorer {

/// Far more moves than all deadlines of a scope together require.
inline constexpr int max_fault_free_moves = 2000;

struct Replay {
  std::vector<InvariantViolation> violations;  ///< of the first move that violated an invariant
  std::vector<Move> moves;  ///< the moves that were possible
  std::vector<std::string> trace;  ///< a description of each move and action; only from replay_with_trace()
};

/// Makes the moves that are possible, skips the others, and stops at the first violation.
[[nodiscard]] Replay replay(const Scope& scope, const std::vector<Move>& moves);
[[nodiscard]] Replay replay_with_trace(const Scope& scope, const std::vector<Move>& moves);

/// Like replay(), followed by fault-free moves until the system settles or exceeds
/// max_fault_free_moves.
[[nodiscard]] Replay replay_to_end(const Scope& scope, const std::vector<Move>& moves);

/// The violation that is reported when a system exceeds max_fault_free_moves.
[[nodiscard]] InvariantViolation endless_violation();

/// A history that violates the same invariant and from which no single move can be removed.
[[nodiscard]] std::vector<Move> shrink(const Scope& scope, std::vector<Move> moves, Invariant invariant);

}  // namespace paddlestand::explorer

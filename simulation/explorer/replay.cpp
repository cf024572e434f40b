#include "replay.hpp"

#include <algorithm>
#include <memory>
#include <optional>

namespace paddlestand::explorer {
namespace {

enum class Tracing : std::uint8_t { off, on };

Replay replay(const Scope& scope, const std::vector<Move>& moves, Tracing tracing) {
  ModelState model(std::make_shared<const Scope>(scope));
  if (tracing == Tracing::on) model.enable_trace();
  Replay result;
  for (const Move& move : moves) {
    if (move.manager >= scope.managers || !model.is_possible(move)) continue;
    if (tracing == Tracing::on) result.trace.push_back(model.describe(move));
    result.moves.push_back(move);
    result.violations = model.apply(move);
    for (const std::string& line : model.trace()) result.trace.push_back("    -> " + line);
    if (!result.violations.empty()) break;
  }
  return result;
}

/// The moves that a replay of `moves` made, if it violated `invariant`.
std::optional<std::vector<Move>> moves_violating(const Scope& scope, const std::vector<Move>& moves,
                                                 Invariant invariant) {
  Replay result = invariant == Invariant::termination ? replay_to_end(scope, moves) : replay(scope, moves);
  const bool violates =
      std::any_of(result.violations.begin(), result.violations.end(),
                  [&](const InvariantViolation& violation) { return violation.invariant == invariant; });
  if (!violates) return std::nullopt;
  return std::move(result.moves);
}

/// Removes each chunk of `length` moves without which the violation still occurs. Starts at the end, where
/// moves are least likely to contribute. Returns whether any chunk was removed.
bool remove_chunks(const Scope& scope, std::vector<Move>& moves, std::size_t length, Invariant invariant) {
  bool has_removed = false;
  for (std::size_t end = moves.size(); end > 0;) {
    const std::size_t begin = end > length ? end - length : 0;
    std::vector<Move> remaining(moves.begin(), moves.begin() + static_cast<std::ptrdiff_t>(begin));
    remaining.insert(remaining.end(), moves.begin() + static_cast<std::ptrdiff_t>(end), moves.end());
    auto fewer = moves_violating(scope, remaining, invariant);
    if (fewer && fewer->size() < moves.size()) {
      moves = std::move(*fewer);
      has_removed = true;
    }
    end = std::min(begin, moves.size());
  }
  return has_removed;
}

}  // namespace

Replay replay(const Scope& scope, const std::vector<Move>& moves) {
  return replay(scope, moves, Tracing::off);
}

Replay replay_with_trace(const Scope& scope, const std::vector<Move>& moves) {
  return replay(scope, moves, Tracing::on);
}

Replay replay_to_end(const Scope& scope, const std::vector<Move>& moves) {
  Replay result = replay(scope, moves);
  if (!result.violations.empty()) return result;
  ModelState model(std::make_shared<const Scope>(scope));
  for (const Move& move : result.moves) model.apply(move);
  for (int i = 0; i < max_fault_free_moves; ++i) {
    const auto move = model.fault_free_move();
    if (!move) {
      if (auto leak = model.find_leak()) result.violations.push_back(std::move(*leak));
      return result;
    }
    result.violations = model.apply(*move);
    if (!result.violations.empty()) return result;
  }
  result.violations.push_back(endless_violation());
  return result;
}

InvariantViolation endless_violation() {
  return {Invariant::termination, "the system does not settle without further faults"};
}

std::vector<Move> shrink(const Scope& scope, std::vector<Move> moves, Invariant invariant) {
  std::size_t length = std::max<std::size_t>(moves.size() / 2, 1);
  while (true) {
    while (remove_chunks(scope, moves, length, invariant)) {}
    if (length <= 1) return moves;
    length /= 2;
  }
}

}  // namespace paddlestand::explorer

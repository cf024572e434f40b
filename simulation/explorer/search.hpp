/// Breadth-first search over the states of a ModelState; each reachable state is expanded once. The first
/// violation that is found has a shortest history. The result does not depend on the number of threads.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "model_state.hpp"

namespace paddlestand::explorer {

struct SearchLimits {
  std::size_t states = 0;  ///< zero: no limit
  std::size_t memory_bytes = std::size_t{4} << 30U;  ///< resident memory of the process
  std::chrono::seconds time{0};  ///< zero: no limit
  unsigned threads = 1;
};

/// A history that violates invariants.
struct Counterexample {
  std::vector<Move> history;
  std::vector<InvariantViolation> violations;
};

struct SearchReport {
  std::size_t states = 0;
  std::size_t transitions = 0;
  std::size_t depth = 0;
  std::size_t frontier = 0;  ///< number of states that are not expanded yet
  double seconds = 0;
  std::size_t memory_bytes = 0;  ///< peak resident memory of the process
  bool is_exhausted = false;  ///< all reachable states were visited
  std::string stopped;  ///< the limit that stopped the search: states, time or memory
  std::size_t settled_states = 0;  ///< states in which nothing is in flight
  CoverageCounts coverage{};  ///< of transitions
  StepCounts steps_by_kind{};
  std::optional<Counterexample> counterexample;
};

using SearchProgress = std::function<void(const SearchReport&)>;

/// `progress` is called every few seconds and may be empty.
[[nodiscard]] SearchReport search(const Scope& scope, const SearchLimits& limits,
                                  const SearchProgress& progress);

/// Resident memory of the process, in bytes.
[[nodiscard]] std::size_t memory_in_use();

}  // namespace paddlestand::explorer

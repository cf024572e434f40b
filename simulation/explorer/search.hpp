/// Breadth-first search over a ModelState: every state that moves lead to, once. The first violation found is
/// one with a shortest history. The result does not depend on the number of threads.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "model_state.hpp"

namespace paddlestand::explorer {

struct Limits {
  std::size_t states = 0;  ///< zero: no limit
  std::size_t memory_bytes = std::size_t{4} << 30U;  ///< resident, of the process
  std::chrono::seconds time{0};  ///< zero: no limit
  unsigned threads = 1;
};

struct Found {
  std::vector<Move> history;
  std::vector<InvariantViolation> violations;
};

struct Report {
  std::size_t states = 0;
  std::size_t transitions = 0;
  std::size_t depth = 0;
  std::size_t frontier = 0;  ///< states that are not expanded yet
  double seconds = 0;
  std::size_t memory_bytes = 0;  ///< the peak of the process so far
  bool is_exhausted = false;  ///< all reachable states were visited
  std::string stopped;  ///< the limit that ended the search, where it is not exhausted
  std::size_t settled_states = 0;  ///< those in which nothing is in flight
  CoverageCounts coverage{};  ///< of transitions
  StepCounts steps_by_kind{};
  std::optional<Found> found;
};

using Progress = std::function<void(const Report&)>;

/// `progress` is called every few seconds; it may be empty.
[[nodiscard]] Report search(const Scope& scope, const Limits& limits, const Progress& progress);

/// Resident memory of the process, in bytes.
[[nodiscard]] std::size_t memory_in_use();

}  // namespace paddlestand::explorer

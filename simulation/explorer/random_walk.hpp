/// Random walks for scopes that are too large for an exhaustive search. Moves are drawn from a seed, in
/// episodes that each start in the initial state and end with fault-free moves only.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>

#include "search.hpp"

namespace paddlestand::explorer {

struct RandomWalkSettings {
  std::size_t steps = 0;  ///< of all episodes, without the fault-free moves that end them
  std::size_t steps_per_episode = 0;
  std::uint64_t seed = 0;
};

struct RandomWalkReport {
  std::size_t steps = 0;
  std::size_t episodes = 0;
  std::size_t queries = 0;
  double seconds = 0;
  CoverageCounts coverage{};
  StepCounts steps_by_kind{};
  std::optional<Counterexample> counterexample;
};

using RandomWalkProgress = std::function<void(const RandomWalkReport&)>;

/// Stops at the first violation. The same settings give the same walk. `progress` is called every few seconds
/// and may be empty.
[[nodiscard]] RandomWalkReport random_walk(const Scope& scope, const RandomWalkSettings& settings,
                                           const RandomWalkProgress& progress);

}  // namespace paddlestand::explorer

/// Random walks: moves drawn from a seed, in episodes that each begin from the initial state and end without
/// faults. For scopes that are too large to be searched exhaustively.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>

#include "search.hpp"

namespace paddlestand::explorer {

struct RandomWalkSettings {
  std::size_t steps = 0;  ///< in all episodes together, without those that end an episode
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
  std::optional<Found> found;
};

using RandomWalkProgress = std::function<void(const RandomWalkReport&)>;

/// Ends at the first violation. The same settings give the same walk. `progress` may be empty.
[[nodiscard]] RandomWalkReport random_walk(const Scope& scope, const RandomWalkSettings& settings,
                                           const RandomWalkProgress& progress);

}  // namespace paddlestand::explorer

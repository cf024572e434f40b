/// The seeded defects of the test build, as `paddlestand explore` uses them.
#pragma once

#include <string>

#include "explore_options.hpp"

namespace paddlestand::app {

/// Switches the seeded defect of that name on, in a build that has them.
void enable_defect(const std::string& name);

/// Searches for each seeded defect. Returns the exit code: success where each was found, bad usage in a build
/// without them.
[[nodiscard]] int run_defects(const ExploreOptions& options);

}  // namespace paddlestand::app

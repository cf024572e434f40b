/// `paddlestand explore --seeded-defects`, and replays with a seeded defect.
#pragma once

#include <string>

#include "explore_options.hpp"

namespace paddlestand::app {

/// Enables the seeded defect with this name. Has no effect in a build without seeded defects.
void enable_defect(const std::string& name);

/// Searches for each seeded defect. Returns the exit code: success if each was found, bad usage in a build
/// without seeded defects.
[[nodiscard]] int run_defects(const ExploreOptions& options);

}  // namespace paddlestand::app

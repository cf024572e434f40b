/// Replays histories that the explorer found. Built with the seeded defects: each history must violate an
/// invariant with its defect enabled, and none with it disabled.
#include <gtest/gtest.h>

#include <algorithm>

#include "core/seeded_defects.hpp"
#include "simulation/explorer/history.hpp"
#include "simulation/explorer/replay.hpp"

namespace paddlestand::explorer {
namespace {

core::Defect defect_of(const std::string& name) {
  const auto found = std::find(core::defect_names.begin(), core::defect_names.end(), name);
  if (found == core::defect_names.end()) return core::Defect::none;
  return static_cast<core::Defect>(found - core::defect_names.begin());
}

void expect_violation_only_with_defect(const std::string& scope_name, const std::string& defect,
                                       const std::vector<Move>& moves) {
  const auto scope = find_scope(scope_name);
  ASSERT_TRUE(scope) << scope_name;
  core::enabled_defect = core::Defect::none;
  const Replay correct = replay_to_end(*scope, moves);
  EXPECT_TRUE(correct.violations.empty()) << correct.violations.front().what;

  core::enabled_defect = defect_of(defect);
  EXPECT_NE(core::enabled_defect, core::Defect::none) << defect;
  EXPECT_FALSE(replay_to_end(*scope, moves).violations.empty()) << defect << " is no longer detected";
  core::enabled_defect = core::Defect::none;
}

#include "found_histories.inc"

}  // namespace
}  // namespace paddlestand::explorer

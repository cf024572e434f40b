// Histories that the search found, in the code as it shipped or with a seeded defect. Built over the core
// with defects: each must break its invariant with its defect on, and none with it off.
#include <gtest/gtest.h>

#include "core/seeded_defects.hpp"
#include "simulation/explorer/history.hpp"

namespace paddlestand::explorer {
namespace {

void keeps(const std::string& scope_name, const std::string& defect, const std::vector<Move>& moves) {
  const auto scope = find_scope(scope_name);
  ASSERT_TRUE(scope) << scope_name;
  core::defect_on = core::Defect::none;
  const Played mended = play_out(*scope, moves);
  EXPECT_TRUE(mended.violations.empty()) << mended.violations.front().what;
  for (std::size_t i = 0; i < core::defect_names.size(); ++i)
    if (core::defect_names[i] == defect) core::defect_on = static_cast<core::Defect>(i);
  EXPECT_NE(core::defect_on, core::Defect::none) << defect;
  EXPECT_FALSE(play_out(*scope, moves).violations.empty()) << defect << " is not seen any more";
  core::defect_on = core::Defect::none;
}

#include "found_histories.inc"

}  // namespace
}  // namespace paddlestand::explorer

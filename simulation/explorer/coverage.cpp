#include "coverage.hpp"

namespace paddlestand::explorer {
namespace {

constexpr std::array<std::string_view, coverage_goal_count> goal_names{
    "a late answer after a retry",
    "a cancel racing a drain notice",
    "a drain notice racing the send",
    "answer, then time-out, in one step",
    "time-out, then answer, in one step",
    "client disconnects between two attempts",
    "rejected by every engine",
    "an engine removed and back within the grace",
    "a key's settle time ending while an attempt is active",
    "a deadline between retry and connect",
    "a progress report for an ended attempt",
    "shutdown with everything in flight",
    "an answer on a channel being cancelled",
    "a retry after a reset",
    "a cancel that comes after the end",
    "a query of which half was written"};

}  // namespace

void add_coverage(CoverageCounts& counts, const Coverage& coverage) {
  for (std::size_t goal = 0; goal < counts.size(); ++goal) {
    if (coverage[goal]) ++counts[goal];
  }
}

std::string_view name_of(CoverageGoal goal) { return goal_names[static_cast<std::size_t>(goal)]; }

}  // namespace paddlestand::explorer

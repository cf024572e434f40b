#include "coverage.hpp"

namespace paddlestand::explorer {
namespace {

constexpr std::array<std::string_view, coverage_goal_count> goal_names{
    "a late answer after a retry",
    "a cancel racing a drain notice",
    "a drain notice racing the send",
    "an answer, then a timeout at the same time",
    "a timeout, then an answer at the same time",
    "a client that disconnects between two attempts",
    "a query rejected by every engine",
    "an engine removed and restored within the drain grace",
    "an ordering key's settle time that ends during an attempt",
    "a deadline between a retry and its connect",
    "a progress report for an ended attempt",
    "a shutdown with several queries in flight",
    "an answer on a channel with a pending cancel",
    "a retry after a reset",
    "a channel closed with a pending cancel",
    "a query that was partially written"};

}  // namespace

void add_coverage(CoverageCounts& counts, const Coverage& coverage) {
  for (std::size_t goal = 0; goal < counts.size(); ++goal) {
    if (coverage[goal]) ++counts[goal];
  }
}

std::string_view name_of(CoverageGoal goal) { return goal_names[static_cast<std::size_t>(goal)]; }

}  // namespace paddlestand::explorer

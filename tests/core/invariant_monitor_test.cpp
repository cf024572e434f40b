// The records of the invariant monitor.
#include "core/invariant_monitor.hpp"

#include <gtest/gtest.h>

#include "coordinator_harness.hpp"

namespace paddlestand::core::test {
namespace {

// Old arrivals must be removed from the retry window even while nothing is sent.
TEST(InvariantMonitor, RecordsStayBoundedWhileNothingIsSent) {
  CoreSettings settings = small_core();
  settings.module.retry_budget = RetryBudgetSettings{1, 0, 1s};
  InvariantMonitor monitor(settings);

  for (QueryId id = 1; id <= 1000; ++id) {
    const TimePoint now = 1h + static_cast<int>(id) * 100ms;
    monitor.on_event(now, QueryArrived{1, id, 0, 0, 0, 5s, 20ms, 0, 0, false});
    Answer answer;
    answer.session = 1;
    answer.query = id;
    answer.kind = AnswerKind::rejected;
    monitor.on_action(now, answer);
  }

  EXPECT_TRUE(monitor.violations().empty());

  EntryCounter entries;
  monitor.visit(entries);

  EXPECT_LE(entries.total, 11U);  // the arrivals of the last window
}

}  // namespace
}  // namespace paddlestand::core::test

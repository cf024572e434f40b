#include "decision/recent_times.hpp"

#include <gtest/gtest.h>

namespace paddlestand::decision {
namespace {

TEST(RecentTimes, AnEventAtTheEdgeOfAWindowIsCountedOnlyByCountFrom) {
  RecentTimes times;
  times.add(1);
  times.add(2);
  times.add(3);

  EXPECT_EQ(times.count_after(2), 1);
  EXPECT_EQ(times.count_from(2), 2);
}

TEST(RecentTimes, EventsBeforeTheLimitAreErased) {
  RecentTimes times;
  times.add(1);
  times.add(2);

  times.erase_before(2);

  EXPECT_EQ(times.size(), 1U);
}

}  // namespace
}  // namespace paddlestand::decision

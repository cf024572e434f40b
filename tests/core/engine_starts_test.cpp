// Start times of engines on the monotonic clock, independent of the wall clock.
#include "core/engine_starts.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace paddlestand::core {
namespace {

using namespace std::chrono_literals;

constexpr Duration epoch = 1'700'000'000s;  // an arbitrary time since 1970

EngineEntry started(EngineId engine, Duration since_1970) {
  EngineEntry entry;
  entry.engine = engine;
  entry.state = EngineState::ready;
  entry.started = since_1970;
  return entry;
}

TEST(EngineStarts, NewestStartOfTheFirstListCountsAsNow) {
  EngineStarts starts;
  std::vector<EngineEntry> list{started(1, epoch), started(2, epoch + 10s), started(3, 0s)};

  starts.map(100s, list);

  EXPECT_EQ(list[0].started, 90s);
  EXPECT_EQ(list[1].started, 100s);
  EXPECT_EQ(list[2].started, 0s);  // zero, which means long ago, is kept
}

TEST(EngineStarts, LaterStartCountsFromItsFirstReport) {
  for (const Duration wall_error : {Duration(0s), Duration(3600s), Duration(-3600s)}) {
    EngineStarts starts;
    std::vector<EngineEntry> first{started(1, epoch)};
    starts.map(100s, first);
    starts.first_list_ends();
    std::vector<EngineEntry> change{started(2, epoch + 50s + wall_error)};
    starts.map(150s, change);
    EXPECT_EQ(change[0].started, 150s);
  }
}

TEST(EngineStarts, RepeatedListRestartsNoSlowStart) {
  EngineStarts starts;
  std::vector<EngineEntry> first{started(1, epoch), started(2, epoch + 5s)};

  starts.map(100s, first);
  starts.first_list_ends();
  std::vector<EngineEntry> again{started(1, epoch), started(2, epoch + 5s)};
  starts.map(160s, again);

  EXPECT_EQ(again[0].started, 95s);
  EXPECT_EQ(again[1].started, 100s);
}

TEST(EngineStarts, RestartIsANewStart) {
  EngineStarts starts;
  std::vector<EngineEntry> first{started(1, epoch)};

  starts.map(100s, first);
  starts.first_list_ends();
  std::vector<EngineEntry> change{started(1, epoch + 30s)};
  starts.map(131s, change);

  EXPECT_EQ(change[0].started, 131s);
}

TEST(EngineStarts, KnownStartNeverMapsToZero) {
  EngineStarts starts;
  std::vector<EngineEntry> list{started(1, epoch), started(2, epoch + 3600s)};

  starts.map(10s, list);

  EXPECT_GT(list[0].started.count(), 0);
}

}  // namespace
}  // namespace paddlestand::core

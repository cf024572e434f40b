#include "decision/slow_start.hpp"

#include <gtest/gtest.h>

#include "decision_fixture.hpp"

namespace paddlestand::decision {
namespace {

TEST(SlowStart, AnEngineHasNoLimitAfterItsSlowStart) {
  DecisionFixture fixture;
  const Engine& engine = fixture.add_engine(1);

  EXPECT_TRUE(fixture.slow_start.allows(fixture.add_request(1, 0, 1000), engine));
  EXPECT_EQ(fixture.slow_start.capacity_share(engine), 1);
}

TEST(SlowStart, AnEngineInSlowStartGetsItsBudgetInEachWindow) {
  DecisionFixture fixture;
  fixture.state.now = 10;
  Engine& engine = fixture.add_engine(1);
  engine.slow_start_until = 20;
  const Request& request = fixture.add_request(1, 0, 1);

  int sent = 0;
  while (fixture.slow_start.allows(request, engine)) {
    fixture.slow_start.record_send(request, engine);
    ++sent;
  }
  EXPECT_EQ(sent, 5);  // 8 cores * 0.9 * 2.5 * 0.68 * 0.3 * 1.5 s, at a cost of one second
  EXPECT_DOUBLE_EQ(fixture.slow_start.capacity_share(engine), 0.3);

  fixture.state.now = 12;
  EXPECT_TRUE(fixture.slow_start.allows(request, engine));
}

TEST(SlowStart, NothingIsSentInTheManagersFirstWindow) {
  DecisionFixture fixture;
  Engine& engine = fixture.add_engine(1);
  engine.slow_start_until = 20;

  fixture.state.now = 1;
  EXPECT_FALSE(fixture.slow_start.allows(fixture.add_request(1), engine));
}

TEST(SlowStart, RecordedSendsAreErasedAfterTheSlowStart) {
  DecisionFixture fixture;
  Engine& engine = fixture.add_engine(1);
  engine.slow_start_until = 20;
  fixture.slow_start.record_send(fixture.add_request(1), engine);
  ASSERT_EQ(engine.slow_start_sends.size(), 1U);

  fixture.state.now = 20;
  fixture.slow_start.erase_sends_to_warm_engines();

  EXPECT_TRUE(engine.slow_start_sends.empty());
}

}  // namespace
}  // namespace paddlestand::decision

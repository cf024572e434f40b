#include "decision/endpoint_list.hpp"

#include <gtest/gtest.h>

#include "decision_fixture.hpp"

namespace paddlestand::decision {
namespace {

using namespace std::chrono_literals;

TEST(EndpointList, ACompleteListRemovesTheEnginesThatItDoesNotContain) {
  DecisionFixture fixture;
  const Engine& first = fixture.add_engine(1);
  const std::vector<EngineEntry> entries{test::engine(2)};

  fixture.endpoints.apply({EndpointUpdate::full, entries});

  EXPECT_FALSE(first.is_ready());
  EXPECT_TRUE(fixture.state.engines.at(2).is_ready());
}

TEST(EndpointList, ADeltaDoesNotChangeOtherEngines) {
  DecisionFixture fixture;
  const Engine& first = fixture.add_engine(1);

  fixture.add_engine(2);

  EXPECT_TRUE(first.is_ready());
}

TEST(EndpointList, AFailedSubscriptionIsRetriedLater) {
  DecisionFixture fixture;
  const Engine& engine = fixture.add_engine(1);

  fixture.endpoints.apply({EndpointUpdate::failed, {}});

  EXPECT_GT(fixture.state.schedule.resubscribe_at, 0);
  EXPECT_TRUE(engine.is_ready());
}

TEST(EndpointList, AttemptsSentBeforeARestartBelongToTheEarlierProcess) {
  DecisionFixture fixture;
  fixture.add_engine(1);
  Request& request = fixture.add_request(1);
  request.attempts.emplace_back();
  request.attempts[0].engine = 1;
  const std::vector<EngineEntry> restarted{test::engine(1, EngineState::ready, 1s)};

  fixture.endpoints.apply({EndpointUpdate::delta, restarted});

  EXPECT_TRUE(request.attempts[0].of_earlier_process);
  EXPECT_GT(fixture.state.engines.at(1).slow_start_until, 0);
}

}  // namespace
}  // namespace paddlestand::decision

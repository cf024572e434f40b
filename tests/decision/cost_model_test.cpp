#include "decision/cost_model.hpp"

#include <gtest/gtest.h>

#include "decision_fixture.hpp"

namespace paddlestand::decision {
namespace {

using namespace std::chrono_literals;

AttemptEnded answer(Duration elapsed, std::optional<Duration> work) {
  AttemptEnded event;
  event.result = AttemptResult::served;
  event.elapsed = elapsed;
  event.work = work;
  return event;
}

TEST(CostModel, EstimatesAreCorrectedByTheReportedWork) {
  DecisionFixture fixture;
  const Request& request = fixture.add_request(1, 0, 0.1);
  Attempt attempt;
  attempt.solo_run_time = 0.1;

  for (int i = 0; i < 200; ++i) fixture.costs.learn(request, attempt, answer(300ms, 300ms));

  EXPECT_NEAR(fixture.costs.cost_of(request), 0.3, 0.01);
}

TEST(CostModel, WorkIsInferredFromTheRunTimeOnlyIfTheEngineHadSpareCores) {
  DecisionFixture fixture;
  const Request& request = fixture.add_request(1, 0, 0.1);
  Attempt attempt;
  attempt.solo_run_time = 0.1;

  fixture.costs.learn(request, attempt, answer(300ms, std::nullopt));
  EXPECT_EQ(fixture.state.classes[0].cost_samples, 0);

  attempt.had_spare_cores = true;
  fixture.costs.learn(request, attempt, answer(300ms, std::nullopt));
  EXPECT_EQ(fixture.state.classes[0].cost_samples, 1);
}

TEST(CostModel, TheLatencyObjectiveGrowsWithTheRunTime) {
  DecisionFixture fixture;
  const Request& request = fixture.add_request(1, 1, 1.0);

  EXPECT_DOUBLE_EQ(fixture.costs.latency_objective_of(request), 3 + 2 * 1.0 / 2);
}

TEST(CostModel, TheRelativeWeightOfAClassRefersToTheMeanRequest) {
  DecisionFixture fixture;
  fixture.costs.record_arrival(fixture.add_request(1, 0));
  fixture.costs.record_arrival(fixture.add_request(2, 1));

  EXPECT_DOUBLE_EQ(fixture.costs.relative_weight(0), 1 / 3.5);
  EXPECT_DOUBLE_EQ(fixture.costs.relative_weight(1), 6 / 3.5);
}

TEST(CostModel, ARequestWithoutAnEstimateHasTheMeanCostOfItsClass) {
  DecisionFixture fixture;
  fixture.costs.record_arrival(fixture.add_request(1, 0, 0.4));
  Request& request = fixture.add_request(2, 0);
  request.has_cost_estimate = false;

  EXPECT_DOUBLE_EQ(fixture.costs.cost_of(request), 0.4);
}

}  // namespace
}  // namespace paddlestand::decision

#include "decision/load_balancer.hpp"

#include <gtest/gtest.h>

#include "decision_fixture.hpp"

namespace paddlestand::decision {
namespace {

TEST(LoadBalancer, TheLeastLoadedEngineIsChosen) {
  DecisionFixture fixture;
  fixture.add_engine(1).threads = 20;
  fixture.add_engine(2);

  const Engine* chosen = fixture.balancer.choose(fixture.add_request(1));

  ASSERT_NE(chosen, nullptr);
  EXPECT_EQ(chosen->entry.engine, 2U);
}

TEST(LoadBalancer, EjectedAndOverloadedEnginesAreNotChosen) {
  DecisionFixture fixture;
  fixture.add_engine(1).health = Health::ejected;
  fixture.add_engine(2).overloaded_until = 1;

  EXPECT_EQ(fixture.balancer.choose(fixture.add_request(1)), nullptr);
}

TEST(LoadBalancer, AnEngineOnProbationGetsOneIdempotentRequestAtATime) {
  Settings settings = test::small_deployment();
  settings.classes[1].idempotency = Idempotency::non_idempotent;
  DecisionFixture fixture(settings);
  Engine& engine = fixture.add_engine(1);
  engine.health = Health::probation;
  const Request& idempotent = fixture.add_request(1, 0);
  const Request& non_idempotent = fixture.add_request(2, 1);

  EXPECT_EQ(fixture.balancer.choose(idempotent), &engine);
  EXPECT_EQ(fixture.balancer.choose(non_idempotent), nullptr);

  engine.queries = 1;
  EXPECT_EQ(fixture.balancer.choose(idempotent), nullptr);
}

TEST(LoadBalancer, NothingIsChosenOnceTheThreadBoundIsReached) {
  DecisionFixture fixture;
  fixture.add_engine(1);
  const Request& request = fixture.add_request(1);
  ASSERT_NE(fixture.balancer.choose(request), nullptr);

  fixture.state.threads_by_priority[3] = fixture.state.fleet.thread_bound;
  EXPECT_EQ(fixture.balancer.choose(request), nullptr);
}

TEST(LoadBalancer, BoundsCountHealthyReadyEnginesOnly) {
  DecisionFixture fixture;
  fixture.add_engine(1);
  const double bound_of_one = fixture.state.fleet.thread_bound;
  fixture.add_engine(2, EngineState::draining);
  fixture.add_engine(3).health = Health::ejected;

  fixture.balancer.update_bounds();

  EXPECT_EQ(fixture.state.fleet.ready_engines, 2);
  EXPECT_EQ(fixture.state.fleet.unhealthy_engines, 1);
  EXPECT_DOUBLE_EQ(fixture.state.fleet.thread_bound, bound_of_one);
}

}  // namespace
}  // namespace paddlestand::decision

// Tests of the complete manager.
namespace paddlestand::test {
namespace {

// Sending a light request to another zone is expensive, so requests stay in their zone while the engines of
// both zones report the same load.
TEST(ZoneRouting, RequestsStayInTheirZoneUntilItIsOverloaded) {
  Settings settings = small_deployment();
  settings.cross_zone_price = 0.04;
  ManagerHarness harness(settings);
  EngineEntry other_zone = engine(2);
  other_zone.zone = 1;
  harness.fleet({engine(1), other_zone});
  RequestId id = 1;
  const auto serve = [&](int requests) {
    for (int i = 0; i < requests; ++i, ++id) {
      harness.request(id);
      AttemptEnded end{id, 0, harness.engine_of(id), AttemptResult::served, 100ms, true, 100ms, 10, {}};
      end.report.queries = end.engine == 1 && id > 50 ? 40 : 2;
      harness.handle(end);
    }
  };
  serve(50);
  const int in_zone = harness.sends_to(1);
  EXPECT_GE(in_zone, 45);
  serve(100);
  EXPECT_GE(harness.sends_to(2), 30);
}

}  // namespace
}  // namespace paddlestand::test

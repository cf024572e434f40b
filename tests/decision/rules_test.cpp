// Checks the rules of the platform on the complete manager, with scripted events.
#include <gtest/gtest.h>

#include <algorithm>

#include "manager_harness.hpp"

namespace paddlestand::test {
namespace {

TEST(DeadlineRule, AnUnfinishedRequestIsAnsweredOnceBeforeItsDeadline) {
  ManagerHarness harness(small_deployment());
  harness.fleet({engine(1)});
  harness.request(1, 0, 100ms, 0, 700ms);
  EXPECT_EQ(harness.sends(1), 1);
  const TimePoint deadline = harness.now() + 700ms;
  harness.advance(2s);
  ASSERT_EQ(harness.count<Reject>(1) + harness.count<Fail>(1), 1);
  for (const auto& [at, action] : harness.log()) {
    if (const auto* reject = std::get_if<Reject>(&action)) { EXPECT_LE(at, deadline) << reject->request; }
  }
}

TEST(IdempotencyRule, ANonIdempotentRequestThatMayHaveRunIsAnsweredWithFail) {
  Settings settings = small_deployment();
  settings.classes[0].idempotency = Idempotency::non_idempotent;
  for (const AttemptResult result : {AttemptResult::engine_error, AttemptResult::reset,
                                     AttemptResult::timed_out, AttemptResult::cancelled}) {
    ManagerHarness harness(settings);
    harness.fleet({engine(1), engine(2)});
    harness.request(1);
    harness.end(1, result);
    EXPECT_EQ(harness.sends(1), 1);
    EXPECT_EQ(harness.count<Reject>(1), 0);
    EXPECT_EQ(harness.count<Fail>(1), 1);
  }
}

TEST(IdempotencyRule, ANonIdempotentRequestThatDidNotRunIsRetried) {
  Settings settings = small_deployment();
  settings.classes[0].idempotency = Idempotency::non_idempotent;
  ManagerHarness harness(settings);
  harness.fleet({engine(1), engine(2)});
  harness.request(1);
  harness.end(1, AttemptResult::rejected);
  EXPECT_EQ(harness.sends(1), 2);
}

TEST(IdempotencyRule, ARequestWithAKeyIsRetriedOnlyInItsScope) {
  Settings settings = small_deployment();
  settings.classes[0].idempotency = Idempotency::idempotent_with_key;
  settings.classes[0].idempotency_scope = IdempotencyScope::cell;
  settings.classes[0].idempotency_window = 5s;
  ManagerHarness harness(settings);
  auto other_cell = engine(2);
  other_cell.cell = 1;
  harness.fleet({engine(1)});
  harness.request(1);
  harness.fleet({engine(1, EngineState::removed), other_cell}, EndpointUpdate::delta);
  harness.end(1, AttemptResult::reset);
  EXPECT_EQ(harness.sends(1), 1);
  harness.advance(6s);
  EXPECT_EQ(harness.count<Reject>(1), 0);
  EXPECT_EQ(harness.count<Fail>(1), 1);
}

TEST(IdempotencyRule, ARequestWithAKeyIsNotRetriedAfterItsWindow) {
  Settings settings = small_deployment();
  settings.classes[0].idempotency = Idempotency::idempotent_with_key;
  settings.classes[0].idempotency_window = 1s;
  settings.classes[0].latency_objective = 10s;
  ManagerHarness harness(settings);
  harness.fleet({engine(1)});
  harness.request(1, 0, 3s, 0, 9s);
  harness.advance(1100ms);
  harness.fleet({engine(2)}, EndpointUpdate::delta);
  harness.end(1, AttemptResult::engine_error);
  harness.advance(500ms);
  EXPECT_EQ(harness.sends(1), 1);
}

TEST(DrainRule, NothingIsSentToADrainingOrRemovedEngine) {
  ManagerHarness harness(small_deployment());
  harness.fleet({engine(1), engine(2), engine(3)});
  harness.fleet({engine(1, EngineState::draining)}, EndpointUpdate::delta);
  harness.fleet({engine(1, EngineState::draining), engine(2)}, EndpointUpdate::full);
  for (RequestId id = 1; id <= 5; ++id) harness.request(id);
  EXPECT_EQ(harness.sends_to(1), 0);
  EXPECT_EQ(harness.sends_to(2), 5);
  EXPECT_EQ(harness.sends_to(3), 0);
}

TEST(SlowStartRule, AnEngineInSlowStartGetsAtMostThisInstancesShare) {
  Settings settings = small_deployment();
  settings.instances = 2;
  ManagerHarness harness(settings);
  harness.fleet({engine(1)});
  for (RequestId id = 1; id <= 20; ++id) {
    harness.request(id);
    harness.end(id, AttemptResult::served);
  }
  harness.advance(5s);
  harness.fleet({engine(1, EngineState::removed), engine(2, EngineState::ready, harness.now())},
                EndpointUpdate::delta);
  for (RequestId id = 100; id < 200; ++id) {
    harness.request(id, 0, 100ms);
    if (harness.sends(id) == 1) harness.end(id, AttemptResult::served);
  }
  EXPECT_GT(harness.sends_to(2), 0);
  // 8 cores x 0.3 of their capacity x 2.5 x 1.5 s, halved for two instances, in queries of 100 ms.
  EXPECT_LE(harness.sends_to(2) * 0.1, 8 * 0.85 * 0.3 * 2.5 * 1.5 / 2);
}

TEST(OrderingRule, RequestsOfOneKeyRunOneAtATimeInOrder) {
  Settings settings = small_deployment();
  settings.classes[0].ordered_by_key = true;
  settings.ordering_settle_time = 500ms;
  ManagerHarness harness(settings);
  harness.fleet({engine(1), engine(2)});
  for (RequestId id = 1; id <= 3; ++id) harness.request(id, 0, 100ms, 7);
  harness.request(4, 0, 100ms, 8);
  EXPECT_EQ(harness.sends(1), 1);
  EXPECT_EQ(harness.sends(2), 0);
  EXPECT_EQ(harness.sends(4), 1);
  harness.end(1, AttemptResult::served);
  EXPECT_EQ(harness.sends(2), 1);
  EXPECT_EQ(harness.sends(3), 0);
}

TEST(OrderingRule, AKeySettlesAfterAnAttemptThatMayStillRun) {
  Settings settings = small_deployment();
  settings.classes[0].ordered_by_key = true;
  settings.classes[0].idempotency = Idempotency::non_idempotent;
  settings.ordering_settle_time = 500ms;
  ManagerHarness harness(settings);
  harness.fleet({engine(1), engine(2)});
  harness.request(1, 0, 100ms, 7);
  harness.request(2, 0, 100ms, 7);
  harness.end(1, AttemptResult::reset);
  EXPECT_EQ(harness.count<Fail>(1), 1);
  harness.advance(490ms);
  EXPECT_EQ(harness.sends(2), 0);
  harness.advance(200ms);
  EXPECT_EQ(harness.sends(2), 1);
}

TEST(PlacementRule, AClassIsSentOnlyToItsAllowedKindsAndZones) {
  Settings settings = small_deployment();
  settings.kinds.push_back({8, 16384});
  settings.classes[0].allowed_kinds = {1};
  ManagerHarness harness(settings);
  auto allowed = engine(2);
  allowed.kind = 1;
  harness.fleet({engine(1), allowed});
  harness.request(1);
  EXPECT_EQ(harness.engine_of(1), 2U);
  harness.fleet({engine(2, EngineState::removed)}, EndpointUpdate::delta);
  harness.end(1, AttemptResult::connect_failed);
  harness.request(2);
  harness.advance(6s);
  EXPECT_EQ(harness.sends_to(1), 0);
}

TEST(RetryBudgetRule, RetriesStayWithinTheBudget) {
  Settings settings = small_deployment();
  settings.retry_budget = RetryBudgetSettings{3, 0.1, 5s};
  ManagerHarness harness(settings);
  harness.fleet({engine(1), engine(2), engine(3)});
  int retries = 0;
  for (RequestId id = 1; id <= 20; ++id) {
    harness.request(id);
    while (harness.sends(id) > 0 && harness.count<Reject>(id) + harness.count<Fail>(id) == 0 &&
           harness.sends(id) < 3) {
      const int before = harness.sends(id);
      harness.end(id, AttemptResult::connect_failed);
      if (harness.sends(id) == before) break;
    }
    retries += std::max(0, harness.sends(id) - 1);
  }
  EXPECT_GT(retries, 0);
  EXPECT_LE(retries, 5);
}

TEST(AttemptLimitRule, ARequestHasAtMostTheAllowedNumberOfAttempts) {
  ManagerHarness harness(small_deployment());
  harness.fleet({engine(1), engine(2), engine(3), engine(4), engine(5)});
  harness.request(1);
  for (int i = 0; i < 3; ++i) harness.end(1, AttemptResult::rejected);
  EXPECT_EQ(harness.sends(1), 3);
  EXPECT_EQ(harness.count<Reject>(1), 1);
}

}  // namespace
}  // namespace paddlestand::test

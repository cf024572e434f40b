#include "decision/resource_grants.hpp"

#include <gtest/gtest.h>

#include "decision_fixture.hpp"

namespace paddlestand::decision {
namespace {

TEST(ResourceGrants, ShortRequestsHaveAHigherPriorityThanLongOnes) {
  DecisionFixture fixture;
  const Request& short_request = fixture.add_request(1, 0, 0.1);
  const Request& long_request = fixture.add_request(2, 0, 10);
  fixture.costs.record_arrival(short_request);
  fixture.costs.record_arrival(long_request);

  EXPECT_EQ(fixture.grants.priority_of(short_request), 3);
  EXPECT_EQ(fixture.grants.priority_of(long_request), 1);
}

TEST(ResourceGrants, RequestsOverTheirQuotaOrPastTheirObjectiveHaveTheLowestPriority) {
  DecisionFixture fixture;
  Request& request = fixture.add_request(1);
  fixture.costs.record_arrival(request);
  EXPECT_GT(fixture.grants.priority_of(request), 0);

  request.over_quota = true;
  EXPECT_EQ(fixture.grants.priority_of(request), 0);

  request.over_quota = false;
  fixture.state.now = 2;
  EXPECT_EQ(fixture.grants.priority_of(request), 0);
}

TEST(ResourceGrants, ThreadsOfLowerPriorityCountInPartIfEnginesHonorPriorities) {
  Settings settings = test::small_deployment();
  settings.engines_honor_priorities = true;
  DecisionFixture fixture(settings);
  Request& request = fixture.add_request(1);
  fixture.costs.record_arrival(request);
  ASSERT_EQ(fixture.grants.priority_of(request), 2);

  fixture.state.threads_by_priority = {16, 0, 0, 0};
  EXPECT_DOUBLE_EQ(fixture.grants.competing_threads(request), 1);
  fixture.state.threads_by_priority = {0, 0, 16, 0};
  EXPECT_DOUBLE_EQ(fixture.grants.competing_threads(request), 16);
}

TEST(ResourceGrants, AGrantIsMadeOnlyIfEnginesHonorIt) {
  Settings settings = test::small_deployment();
  settings.engines_honor_grants = true;
  DecisionFixture fixture(settings);
  DecisionFixture without_grants;
  Attempt attempt;
  attempt.granted_memory = 100;

  const auto grant = fixture.grants.grant_for(fixture.add_request(1), attempt);

  ASSERT_TRUE(grant.has_value());
  EXPECT_EQ(grant->memory_mb, 100);
  EXPECT_FALSE(without_grants.grants.grant_for(without_grants.add_request(1), attempt).has_value());
}

TEST(ResourceGrants, UnannouncedMemoryIsBoundedIfEnginesOvercommit) {
  Settings settings = test::small_deployment();
  settings.memory_shortage = MemoryShortage::overcommit;
  DecisionFixture fixture(settings);
  Request& request = fixture.add_request(1);
  request.estimated_memory = 100;
  fixture.state.fleet.memory_bound = 1000;

  fixture.state.unannounced_memory = 500;
  EXPECT_TRUE(fixture.grants.has_memory_for(request));
  fixture.state.unannounced_memory = 2000;
  EXPECT_FALSE(fixture.grants.has_memory_for(request));
}

}  // namespace
}  // namespace paddlestand::decision

// Tests of the complete manager.
namespace paddlestand::test {
namespace {

Settings with_memory_shortage(MemoryShortage shortage) {
  Settings settings = small_deployment();
  settings.instances = 10;
  settings.engines_honor_grants = true;
  settings.memory_shortage = shortage;
  return settings;
}

int sent_of_ten_large_requests(MemoryShortage shortage) {
  ManagerHarness harness(with_memory_shortage(shortage));
  harness.fleet({engine(1), engine(2), engine(3), engine(4)});
  int sent = 0;
  for (RequestId id = 1; id <= 10; ++id) {
    harness.handle(RequestArrived{id, 0, 0, 0, 5s, 100ms, 2000, 1, false});
    sent += harness.sends(id);
  }
  return sent;
}

// Guards against memory that stays full: a shortage slows down all requests, so they hold their memory
// longer.
TEST(MemoryBound, AManagerStaysWithinItsShareUnlessEnginesQueueRequests) {
  const int with_queue = sent_of_ten_large_requests(MemoryShortage::queue);
  for (const MemoryShortage shortage : {MemoryShortage::overcommit, MemoryShortage::reduce_grant}) {
    const int sent = sent_of_ten_large_requests(shortage);
    EXPECT_GE(sent, 1);
    EXPECT_LE(sent * 2500, 4 * 16384 / 10 * 2);
    EXPECT_LT(sent, with_queue);
  }
}

}  // namespace
}  // namespace paddlestand::test

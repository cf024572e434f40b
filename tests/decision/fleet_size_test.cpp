// Deployments with many managers and engines. Each manager sends few requests, has little information, and
// decides by the same algorithm as the others.
#include <gtest/gtest.h>

#include <map>

#include "manager_harness.hpp"

namespace paddlestand::test {
namespace {

Settings settings_of_manager(std::uint32_t instances, std::uint32_t instance_index) {
  Settings settings = small_deployment();
  settings.instances = instances;
  settings.instance_index = instance_index;
  settings.seed = 1000 + instance_index;
  return settings;
}

std::vector<EngineEntry> engines(EngineId count) {
  std::vector<EngineEntry> list;
  for (EngineId id = 1; id <= count; ++id) list.push_back(engine(id));
  return list;
}

// Guards against herding: if all managers broke ties in the same way, their first requests would all go to
// one engine.
TEST(FleetSize, FirstRequestsOfManyManagersSpreadOverTheFleet) {
  std::map<EngineId, int> first;
  for (std::uint32_t instance_index = 0; instance_index < 200; ++instance_index) {
    ManagerHarness harness(settings_of_manager(200, instance_index));
    harness.fleet(engines(20));
    harness.request(1);
    ++first[harness.engine_of(1)];
  }
  EXPECT_EQ(first.size(), 20U);
  for (const auto& [id, sends] : first) EXPECT_LE(sends, 30) << "engine " << id;
}

// The managers' shares of a slow-start budget never exceed it in total, and are never all zero.
TEST(FleetSize, SharesOfASlowStartBudgetNeverExceedItInTotal) {
  for (const std::uint32_t instances : {1U, 2U, 3U, 5U, 30U, 47U, 200U, 270U, 300U}) {
    double sent = 0;
    for (std::uint32_t instance_index = 0; instance_index < instances; ++instance_index) {
      ManagerHarness harness(settings_of_manager(instances, instance_index));
      harness.fleet({engine(1)});
      for (RequestId id = 1; id <= 20; ++id) {
        harness.request(id);
        harness.end(id, AttemptResult::served);
      }
      harness.advance(5s);
      harness.fleet({engine(1, EngineState::removed), engine(2, EngineState::ready, harness.now())},
                    EndpointUpdate::delta);
      for (RequestId id = 100; id < 200; ++id) {
        harness.request(id);
        if (harness.sends(id) == 1) harness.end(id, AttemptResult::served);
      }
      sent += harness.sends_to(2) * 0.1;
    }
    EXPECT_GT(sent, 1.0) << instances;
    EXPECT_LE(sent, 8 * 0.85 * 0.3 * 2.5 * 1.5) << instances;
  }
}

// A restarted manager doesn't know what it sent to an engine in slow start before. If all managers restarted
// and used their shares again within one window, the engine would get twice its budget.
TEST(FleetSize, ARestartedManagerSendsNothingToAnEngineInSlowStartInItsFirstWindow) {
  for (const std::uint32_t instances : {3U, 30U, 300U}) {
    int at_first = 0;
    int later = 0;
    for (std::uint32_t instance_index = 0; instance_index < instances; ++instance_index) {
      ManagerHarness harness(settings_of_manager(instances, instance_index));
      harness.fleet({engine(2, EngineState::ready, harness.now())});
      for (RequestId id = 1; id <= 3; ++id) harness.request(id);
      harness.advance(settings_of_manager(instances, instance_index).overload_window / 2);
      at_first += harness.sends_to(2);
      harness.advance(settings_of_manager(instances, instance_index).overload_window);
      harness.request(9);
      later += harness.sends_to(2);
    }
    EXPECT_EQ(at_first, 0) << instances;
    EXPECT_GT(later, 0) << instances;
  }
}

TEST(FleetSize, AnIndexBeyondTheInstancesHasNoShareOfASlowStartBudget) {
  ManagerHarness harness(settings_of_manager(5, 9));
  harness.fleet({engine(1)});
  harness.advance(5s);
  harness.fleet({engine(1, EngineState::removed), engine(2, EngineState::ready, harness.now())},
                EndpointUpdate::delta);
  harness.request(1);
  EXPECT_EQ(harness.sends(1), 0);
}

// Guards against an engine that fails fast in a large fleet. Each manager seldom uses any one engine, so a
// single failure must have more weight than one of many.
TEST(FleetSize, OneFailureIsEnoughToAvoidAnEngineThatIsSeldomUsed) {
  ManagerHarness harness(settings_of_manager(200, 3));
  harness.fleet(engines(10));
  harness.request(1);
  const EngineId bad = harness.engine_of(1);
  harness.end(1, AttemptResult::engine_error);
  harness.end(1, AttemptResult::served);
  for (RequestId id = 2; id <= 60; ++id) {
    harness.request(id);
    harness.end(id, AttemptResult::served);
    harness.advance(100ms);
  }
  EXPECT_LE(harness.sends_to(bad), 3);
}

// Guards against a bound without effect: latency must limit admission even if requests are always alone in
// their class.
TEST(FleetSize, ARequestAloneInItsClassIsRejectedWhileLatencyIsOverTheObjective) {
  ManagerHarness harness(settings_of_manager(200, 3));
  harness.fleet(engines(10));
  RequestId id = 1;
  for (; id <= 20; ++id) {
    harness.request(id, 1, 2s, 0, 15s);
    harness.advance(9s);
    if (harness.sends(id) > 0 && harness.count<Reject>(id) + harness.count<Fail>(id) == 0)
      harness.end(id, AttemptResult::served, 2s);
  }
  int rejected = 0;
  for (RequestId last = id + 20; id < last; ++id) {
    harness.request(id, 1, 8s, 0, 15s);
    rejected += harness.count<Reject>(id);
    harness.advance(9s);
    if (harness.sends(id) > 0 && harness.count<Reject>(id) + harness.count<Fail>(id) == 0)
      harness.end(id, AttemptResult::served, 2s);
  }
  EXPECT_GT(rejected, 3);
}

// An engine that is readmitted gets its full share at once: only a start that the endpoint list reports leads
// to a slow start.
TEST(FleetSize, AReadmittedEngineHasNoSlowStart) {
  ManagerHarness harness(settings_of_manager(1, 0));
  harness.fleet(engines(1));
  RequestId id = 1;
  for (; id <= 30; ++id) {
    harness.request(id);
    harness.end(id, AttemptResult::served);
  }
  harness.request(id);
  for (int i = 0; i < 3; ++i) harness.end(id, AttemptResult::connect_failed);
  ++id;
  ASSERT_TRUE(harness.logged("engine 1 ejected: unreachable"));
  harness.advance(3s);
  harness.handle(ProbeEnded{1, AttemptResult::served, 1ms, {}});
  for (const RequestId last = id + 20; id < last; ++id) {
    harness.request(id);
    harness.end(id, AttemptResult::served);
  }
  ASSERT_TRUE(harness.logged("engine 1 readmitted"));
  harness.advance(5s);
  const int before = harness.sends_to(1);
  for (const RequestId last = id + 20; id < last; ++id) harness.request(id);
  EXPECT_GE(harness.sends_to(1) - before, 8);
}

TEST(FleetSize, EveryRequestIsAnsweredOnceAtAnyNumberOfInstances) {
  for (const std::uint32_t instances : {0U, 1U, 5U, 200U, 4000000000U}) {
    ManagerHarness harness(settings_of_manager(instances, 0));
    harness.fleet(engines(6));
    int unanswered = 0;
    for (RequestId id = 1; id <= 100; ++id) {
      harness.request(id, id % 2, 300ms, 0, 4s);
      harness.advance(60ms);
      if (id % 3 == 0 && harness.sends(id) > 0) {
        if (harness.count<Reject>(id) + harness.count<Fail>(id) == 0)
          harness.end(id, AttemptResult::served, 300ms);
      }
    }
    harness.advance(5s);
    for (RequestId id = 1; id <= 100; ++id) {
      const bool served = id % 3 == 0 && harness.sends(id) > 0;
      const int answers = harness.count<Reject>(id) + harness.count<Fail>(id);
      EXPECT_LE(answers, 1);
      if (!served && answers != 1) ++unanswered;
    }
    EXPECT_EQ(unanswered, 0) << instances;
  }
}

}  // namespace
}  // namespace paddlestand::test

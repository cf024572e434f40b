// Tests decisions of the complete manager with scripted events.
#include <gtest/gtest.h>

#include "manager_harness.hpp"

namespace paddlestand::test {
namespace {

TEST(LoadBalancing, RequestsSpreadOverTheEngines) {
  ManagerHarness harness(small_deployment());
  harness.fleet({engine(1), engine(2), engine(3)});
  for (RequestId id = 1; id <= 6; ++id) harness.request(id);
  EXPECT_EQ(harness.sends_to(1), 2);
  EXPECT_EQ(harness.sends_to(2), 2);
  EXPECT_EQ(harness.sends_to(3), 2);
}

TEST(LoadBalancing, WithoutEnginesARequestIsQueuedAndAnsweredInTime) {
  ManagerHarness harness(small_deployment());
  harness.fleet({});
  harness.request(1, 0, 100ms, 0, 2s);
  EXPECT_EQ(harness.count<Reject>(1), 0);
  harness.advance(2s);
  EXPECT_EQ(harness.count<Reject>(1), 1);
  EXPECT_EQ(harness.sends(1), 0);
}

TEST(LoadBalancing, AQueuedRequestIsSentWhenAnEngineBecomesReady) {
  ManagerHarness harness(small_deployment());
  harness.fleet({});
  harness.request(1);
  harness.advance(100ms);
  harness.fleet({engine(1)}, EndpointUpdate::delta);
  EXPECT_EQ(harness.sends(1), 1);
}

TEST(AdmissionBound, UnderPressureHeavyRequestsAreRejectedBeforeLightOnes) {
  ManagerHarness harness(small_deployment());
  harness.fleet({engine(1)});
  for (RequestId id = 1; id <= 40; ++id) harness.request(id, 1, 1s, 0, 15s);
  int light = 0;
  int heavy = 0;
  for (RequestId id = 100; id < 110; ++id) {
    harness.request(id, 1, 200ms, 0, 15s);
    harness.request(id + 100, 1, 60s, 0, 15s);
    light += harness.count<Reject>(id);
    heavy += harness.count<Reject>(id + 100);
  }
  EXPECT_EQ(heavy, 10);
  EXPECT_LT(light, 10);
}

// Guards against rejecting requests of idle ordering keys. The queue behind one busy key filled the class's
// bound, so that requests of other keys were rejected while engines were idle.
TEST(AdmissionBound, AQueueBehindOneKeyDoesNotCauseRejectionsForOtherKeys) {
  Settings settings = small_deployment();
  settings.classes[1].ordered_by_key = true;
  ManagerHarness harness(settings);
  harness.fleet({engine(1), engine(2), engine(3), engine(4)});
  RequestId rejected = 0;
  for (RequestId id = 1; id <= 30 && rejected == 0; ++id) {
    harness.request(id, 1, 1s, 7, 15s);
    if (harness.count<Reject>(id) > 0) rejected = id;
  }
  EXPECT_EQ(harness.sends(1), 1);
  EXPECT_EQ(harness.sends(2), 0);
  EXPECT_GT(rejected, 2U) << "one key's queue is bounded too";
  for (RequestId id = 50; id < 54; ++id) {
    harness.request(id, 1, 1s, id, 15s);
    EXPECT_EQ(harness.sends(id), 1) << id;
    EXPECT_EQ(harness.count<Reject>(id), 0) << id;
  }
}

// Guards against ejecting healthy engines because of invalid requests: each such request fails on three
// engines within a millisecond.
TEST(OutlierDetection, ARequestThatFailsOnEveryEngineCountsAgainstNone) {
  ManagerHarness harness(small_deployment());
  harness.fleet({engine(1), engine(2), engine(3), engine(4)});
  for (RequestId id = 1; id <= 12; ++id) {
    harness.request(100 + id);
    harness.end(100 + id, AttemptResult::served);
    harness.request(id, 0, 100ms, 0, 5s);
    for (int attempt = 1; attempt <= 3 && harness.sends(id) == attempt; ++attempt)
      harness.end(id, AttemptResult::engine_error);
    EXPECT_EQ(harness.sends(id), 3) << id;
    harness.advance(300ms);
  }
  EXPECT_FALSE(harness.logged("ejected"));
}

// If another engine serves the request, its failure counts against the first engine.
TEST(OutlierDetection, AnEngineThatFailsRequestsThatOthersServeIsEjected) {
  ManagerHarness harness(small_deployment());
  harness.fleet({engine(1), engine(2), engine(3)});
  for (RequestId id = 1; id <= 40 && !harness.logged("ejected"); ++id) {
    harness.request(id, 0, 100ms, 0, 5s);
    while (harness.engine_of(id) == 2 && harness.count<Fail>(id) + harness.count<Reject>(id) == 0 &&
           harness.sends(id) < 3)
      harness.end(id, AttemptResult::engine_error);
    if (harness.engine_of(id) != 2) harness.end(id, AttemptResult::served);
    harness.advance(100ms);
  }
  EXPECT_TRUE(harness.logged("engine 2 ejected: query errors"));
}

TEST(AdmissionBound, QueuedRequestsAreSentInOrderOfArrival) {
  ManagerHarness harness(small_deployment());
  harness.fleet({engine(1)});
  RequestId last = 40;
  for (RequestId id = 1; id <= last; ++id) harness.request(id, 0, 100ms);
  RequestId next = 1;
  while (next <= last && harness.sends(next) == 1) ++next;
  ASSERT_LE(next, last) << "no request was queued";
  ASSERT_EQ(harness.count<Reject>(next), 0);
  harness.end(1, AttemptResult::served);
  EXPECT_EQ(harness.sends(next), 1);
}

TEST(AdmissionBound, AnIdleClassIsNotClosedByASmallBound) {
  ManagerHarness harness(small_deployment());
  harness.fleet({engine(1), engine(2)});
  harness.request(1, 1, 100ms, 0, 15s);
  harness.end(1, AttemptResult::served);
  harness.advance(30s);
  harness.request(2, 1, 5s, 0, 15s);
  EXPECT_EQ(harness.sends(2), 1);
}

// Guards against a bound that closes completely: light requests must be admitted even if heavy ones are not.
TEST(AdmissionBound, UnderLastingPressureLightRequestsAreStillAdmitted) {
  ManagerHarness harness(small_deployment());
  harness.fleet({engine(1)});
  RequestId id = 1;
  for (; id <= 10; ++id) {
    harness.request(id, 1, 4s, 0, 15s);
    harness.end(id, AttemptResult::served, 4s);
    harness.advance(200ms);
  }
  int light = 0;
  int heavy = 0;
  for (int step = 0; step < 200; ++step) {
    const RequestId late = id;
    harness.request(id++, 1, 8s, 0, 15s);
    harness.request(id++, 1, 10ms, 0, 15s);
    harness.advance(50ms);
    heavy += harness.count<Reject>(late);
    light += harness.count<Reject>(late + 1);
  }
  EXPECT_GT(heavy, 100);
  EXPECT_LT(light, heavy / 2);
}

// Guards against sending most requests to an engine that fails fast, because it seems to be the least loaded.
TEST(OutlierDetection, AnEngineThatFailsFastIsAvoidedAndTriedAgainLater) {
  ManagerHarness harness(small_deployment());
  harness.fleet({engine(1), engine(2), engine(3)});
  for (RequestId id = 1000; id < 1060; ++id) {
    harness.request(id);
    harness.end(id, AttemptResult::served);
  }
  const int while_healthy = harness.sends_to(1);
  for (RequestId id = 1; id <= 60; ++id) {
    harness.request(id);
    while (harness.count<Reject>(id) + harness.count<Fail>(id) == 0) {
      const bool is_failing = harness.engine_of(id) == 1;
      harness.end(id, is_failing ? AttemptResult::engine_error : AttemptResult::served);
      if (!is_failing) break;
    }
  }
  const int before = harness.sends_to(1);
  EXPECT_LE(before - while_healthy, 4);
  harness.advance(40s);
  for (RequestId id = 100; id < 260; ++id) {
    harness.request(id);
    harness.end(id, AttemptResult::served);
  }
  EXPECT_GT(harness.sends_to(1), before);
}

// Adds requests until three are in flight on `engine`; returns the ids of these.
std::vector<RequestId> request_until_three_are_at(ManagerHarness& harness, EngineId engine) {
  std::vector<RequestId> at_engine;
  for (RequestId id = 1; at_engine.size() < 3; ++id) {
    harness.request(id);
    if (harness.engine_of(id) == engine) at_engine.push_back(id);
  }
  return at_engine;
}

// Two failures in a row eject an engine, unless they belong to the process that ran before it restarted.
TEST(OutlierDetection, FailuresOfAnEarlierProcessDoNotEjectItsSuccessor) {
  for (const bool restarted : {false, true}) {
    ManagerHarness harness(small_deployment());
    harness.fleet({engine(1), engine(2)});
    const std::vector<RequestId> at_first = request_until_three_are_at(harness, 1);
    if (restarted) harness.fleet({engine(1, EngineState::ready, harness.now())}, EndpointUpdate::delta);
    for (const RequestId id : at_first) harness.end(id, AttemptResult::reset);
    EXPECT_EQ(harness.logged("engine 1 ejected"), !restarted);
  }
}

// An engine without a start time that was removed and is ready again counts as a new process too.
TEST(OutlierDetection, AnEngineThatReturnsAfterRemovalIsANewProcess) {
  ManagerHarness harness(small_deployment());
  harness.fleet({engine(1), engine(2)});
  const std::vector<RequestId> at_first = request_until_three_are_at(harness, 1);
  harness.fleet({engine(1, EngineState::removed)}, EndpointUpdate::delta);
  harness.fleet({engine(1)}, EndpointUpdate::delta);
  for (const RequestId id : at_first) harness.end(id, AttemptResult::reset);
  EXPECT_FALSE(harness.logged("engine 1 ejected"));
}

// Guards against an engine that accepts requests and answers none: they are cancelled and retried on another
// one.
TEST(OutlierDetection, RequestsOnASilentEngineAreRetriedOnAnother) {
  ManagerHarness harness(small_deployment());
  harness.fleet({engine(1), engine(2), engine(3)});
  RequestId id = 1;
  for (; id <= 30; ++id) {
    harness.request(id);
    harness.end(id, AttemptResult::served);
  }
  harness.request(id);
  harness.request(id + 1);
  harness.request(id + 2);
  const RequestId lost = harness.engine_of(id) == 1 ? id : harness.engine_of(id + 1) == 1 ? id + 1 : id + 2;
  for (RequestId other = id; other < id + 3; ++other) {
    if (other != lost) harness.end(other, AttemptResult::served);
  }
  harness.advance(1s);
  ASSERT_EQ(harness.count<Cancel>(lost), 1);
  harness.end(lost, AttemptResult::cancelled);
  EXPECT_EQ(harness.sends(lost), 2);
  EXPECT_NE(harness.engine_of(lost), 1U);
}

TEST(Retries, ARequestThatDidNotRunIsRetriedOnAnotherEngineAtOnce) {
  ManagerHarness harness(small_deployment());
  harness.fleet({engine(1), engine(2)});
  harness.request(1);
  const EngineId first = harness.engine_of(1);
  harness.end(1, AttemptResult::connect_failed);
  EXPECT_EQ(harness.sends(1), 2);
  EXPECT_NE(harness.engine_of(1), first);
}

TEST(Determinism, TheSameEventsCauseTheSameActionsDespiteAnotherInstance) {
  const auto run_events = [](ManagerHarness* other) {
    ManagerHarness harness(small_deployment());
    harness.fleet({engine(1), engine(2)});
    for (RequestId id = 1; id < 80; ++id) {
      harness.request(id, id % 2, std::chrono::milliseconds(20 * id), 0, 5s);
      if (other != nullptr) other->request(id);
      if (harness.sends(id) > 0 && id % 3 != 0)
        harness.end(id, id % 7 == 0 ? AttemptResult::engine_error : AttemptResult::served);
      harness.advance(40ms);
    }
    std::vector<std::size_t> kinds;
    for (const auto& [at, action] : harness.log()) {
      kinds.push_back(action.index());
      if (const auto* send = std::get_if<Send>(&action)) kinds.push_back(send->engine);
    }
    return kinds;
  };
  ManagerHarness other(small_deployment());
  other.fleet({engine(1)});
  const auto alone = run_events(nullptr);
  EXPECT_GT(alone.size(), 80U);
  EXPECT_EQ(alone, run_events(&other));
}

TEST(InvalidSettings, RequestsAreAnsweredOnceAndInTime) {
  for (int variant = 0; variant < 5; ++variant) {
    Settings settings = small_deployment();
    if (variant == 0) settings = Settings{};
    if (variant == 1) settings.kinds = {{0, 0}};
    if (variant == 2) settings.classes[0].threads = 0;
    if (variant == 3) settings.classes[0].allowed_kinds.emplace();
    if (variant == 4) {
      settings.instances = 0;
      settings.overload_multiple = -1;
      settings.clock_step = 0s;
    }
    ManagerHarness harness(settings);
    harness.fleet({engine(1), engine(2)});
    harness.handle(RequestArrived{1, 0, 9, 7, 1s, Duration{-5}, -1.0, 0.0, false});
    harness.advance(3s);
    EXPECT_EQ(harness.count<Reject>(1) + harness.count<Fail>(1), 1) << "variant " << variant;
  }
}

}  // namespace
}  // namespace paddlestand::test

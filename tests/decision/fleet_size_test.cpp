// Many managers before many engines: each takes little and sees little, and all decide alike.
#include <gtest/gtest.h>

#include <map>

#include "harness.hpp"

namespace paddlestand::test {
namespace {

Settings one_of(std::uint32_t instances, std::uint32_t position) {
  Settings s = small_site();
  s.instances = instances;
  s.position = position;
  s.seed = 1000 + position;
  return s;
}

std::vector<EngineEntry> engines(EngineId count) {
  std::vector<EngineEntry> list;
  for (EngineId id = 1; id <= count; ++id) list.push_back(engine(id));
  return list;
}

// Guards against herding: where nobody holds anything, the same tie-break at all sends all to one engine.
TEST(AtSize, FirstSendsOfManyManagersSpreadOverTheFleet) {
  std::map<EngineId, int> first;
  for (std::uint32_t position = 0; position < 200; ++position) {
    Desk desk(one_of(200, position));
    desk.fleet(engines(20));
    desk.request(1);
    ++first[desk.engine_of(1)];
  }
  EXPECT_EQ(first.size(), 20U);
  for (const auto& [id, sends] : first) EXPECT_LE(sends, 30) << "engine " << id;
}

// The parts of a cold engine's budget never sum to more than it, and never to nothing.
TEST(AtSize, PartsOfAColdEnginesBudgetSumToNoMoreThanIt) {
  for (const std::uint32_t instances : {1U, 2U, 3U, 5U, 30U, 47U, 200U, 270U, 300U}) {
    double sent = 0;
    for (std::uint32_t position = 0; position < instances; ++position) {
      Desk desk(one_of(instances, position));
      desk.fleet({engine(1)});
      for (RequestId id = 1; id <= 20; ++id) {
        desk.request(id);
        desk.end(id, Result::served);
      }
      desk.advance(5s);
      desk.fleet({engine(1, EngineState::gone), engine(2, EngineState::ready, desk.now())},
                 FleetScope::delta);
      for (RequestId id = 100; id < 200; ++id) {
        desk.request(id);
        if (desk.sends(id) == 1) desk.end(id, Result::served);
      }
      sent += desk.sends_to(2) * 0.1;
    }
    EXPECT_GT(sent, 1.0) << instances;
    EXPECT_LE(sent, 8 * 0.85 * 0.3 * 2.5 * 1.5) << instances;
  }
}

// What an earlier start of a manager sent to a cold engine is not known to the next: all parts once more,
// within one window, would sum to twice the budget.
TEST(AtSize, ARestartedManagerSendsAColdEngineNothingInItsFirstWindow) {
  for (const std::uint32_t instances : {3U, 30U, 300U}) {
    int at_first = 0, later = 0;
    for (std::uint32_t position = 0; position < instances; ++position) {
      Desk desk(one_of(instances, position));
      desk.fleet({engine(2, EngineState::ready, desk.now())});
      for (RequestId id = 1; id <= 3; ++id) desk.request(id);
      desk.advance(one_of(instances, position).fall_window / 2);
      at_first += desk.sends_to(2);
      desk.advance(one_of(instances, position).fall_window);
      desk.request(9);
      later += desk.sends_to(2);
    }
    EXPECT_EQ(at_first, 0) << instances;
    EXPECT_GT(later, 0) << instances;
  }
}

TEST(AtSize, APositionBeyondTheInstancesHasNoPartOfAColdEngine) {
  Desk desk(one_of(5, 9));
  desk.fleet({engine(1)});
  desk.advance(5s);
  desk.fleet({engine(1, EngineState::gone), engine(2, EngineState::ready, desk.now())}, FleetScope::delta);
  desk.request(1);
  EXPECT_EQ(desk.sends(1), 0);
}

// Guards against a black hole where each engine is met seldom: one failure there must tell more than one of
// many.
TEST(AtSize, OneFailureIsEnoughWhereLittleIsSeenOfAnEngine) {
  Desk desk(one_of(200, 3));
  desk.fleet(engines(10));
  desk.request(1);
  const EngineId bad = desk.engine_of(1);
  desk.end(1, Result::engine_error);
  desk.end(1, Result::served);
  for (RequestId id = 2; id <= 60; ++id) {
    desk.request(id);
    desk.end(id, Result::served);
    desk.advance(100ms);
  }
  EXPECT_LE(desk.sends_to(bad), 3);
}

// Guards against a bound that is passed by: where a class is always alone, its latency must still count.
TEST(AtSize, WhatIsAloneInItsClassIsRefusedWhileLatencyIsOutOfBounds) {
  Desk desk(one_of(200, 3));
  desk.fleet(engines(10));
  RequestId id = 1;
  for (; id <= 20; ++id) {
    desk.request(id, 1, 2s, 0, 15s);
    desk.advance(9s);
    if (desk.sends(id) > 0 && desk.count<Refuse>(id) + desk.count<Fail>(id) == 0)
      desk.end(id, Result::served, 2s);
  }
  int refused = 0;
  for (RequestId last = id + 20; id < last; ++id) {
    desk.request(id, 1, 8s, 0, 15s);
    refused += desk.count<Refuse>(id);
    desk.advance(9s);
    if (desk.sends(id) > 0 && desk.count<Refuse>(id) + desk.count<Fail>(id) == 0)
      desk.end(id, Result::served, 2s);
  }
  EXPECT_GT(refused, 3);
}

// An engine that was silent and is let back takes its full part again: only the list tells of a cold start.
TEST(AtSize, AnEngineThatIsLetBackIsNotHeldForCold) {
  Desk desk(one_of(1, 0));
  desk.fleet(engines(1));
  RequestId id = 1;
  for (; id <= 30; ++id) {
    desk.request(id);
    desk.end(id, Result::served);
  }
  desk.request(id);
  for (int i = 0; i < 3; ++i) desk.end(id, Result::connect_failed);
  ++id;
  ASSERT_TRUE(desk.logged("engine 1 shunned: not reached"));
  desk.advance(3s);
  desk.handle(ProbeEnded{1, Result::served, 1ms, {}});
  for (const RequestId last = id + 20; id < last; ++id) {
    desk.request(id);
    desk.end(id, Result::served);
  }
  ASSERT_TRUE(desk.logged("engine 1 let back"));
  desk.advance(5s);
  const int before = desk.sends_to(1);
  for (const RequestId last = id + 20; id < last; ++id) desk.request(id);
  EXPECT_GE(desk.sends_to(1) - before, 8);
}

TEST(AtSize, EveryRequestIsAnsweredOnceAtAnyNumberOfInstances) {
  for (const std::uint32_t instances : {0U, 1U, 5U, 200U, 4000000000U}) {
    Desk desk(one_of(instances, 0));
    desk.fleet(engines(6));
    int unanswered = 0;
    for (RequestId id = 1; id <= 100; ++id) {
      desk.request(id, id % 2, 300ms, 0, 4s);
      desk.advance(60ms);
      if (id % 3 == 0 && desk.sends(id) > 0) {
        if (desk.count<Refuse>(id) + desk.count<Fail>(id) == 0) desk.end(id, Result::served, 300ms);
      }
    }
    desk.advance(5s);
    for (RequestId id = 1; id <= 100; ++id) {
      const bool served = id % 3 == 0 && desk.sends(id) > 0;
      const int answers = desk.count<Refuse>(id) + desk.count<Fail>(id);
      EXPECT_LE(answers, 1);
      if (!served && answers != 1) ++unanswered;
    }
    EXPECT_EQ(unanswered, 0) << instances;
  }
}

}  // namespace
}  // namespace paddlestand::test

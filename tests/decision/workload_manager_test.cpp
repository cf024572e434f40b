// What the module decides, by scripted events.
#include <gtest/gtest.h>

#include "harness.hpp"

namespace paddlestand::test {
namespace {

TEST(Placement, QueriesSpreadOverTheEngines) {
  Desk desk(small_site());
  desk.fleet({engine(1), engine(2), engine(3)});
  for (RequestId id = 1; id <= 6; ++id) desk.request(id);
  EXPECT_EQ(desk.sends_to(1), 2);
  EXPECT_EQ(desk.sends_to(2), 2);
  EXPECT_EQ(desk.sends_to(3), 2);
}

TEST(Placement, WithNoEngineARequestIsHeldAndAnsweredInTime) {
  Desk desk(small_site());
  desk.fleet({});
  desk.request(1, 0, 100ms, 0, 2s);
  EXPECT_EQ(desk.count<Refuse>(1), 0);
  desk.advance(2s);
  EXPECT_EQ(desk.count<Refuse>(1), 1);
  EXPECT_EQ(desk.sends(1), 0);
}

TEST(Placement, AHeldRequestGoesOutWhenAnEngineComes) {
  Desk desk(small_site());
  desk.fleet({});
  desk.request(1);
  desk.advance(100ms);
  desk.fleet({engine(1)}, FleetScope::delta);
  EXPECT_EQ(desk.sends(1), 1);
}

TEST(ClassBound, UnderPressureHeavyQueriesAreRefusedBeforeLightOnes) {
  Desk desk(small_site());
  desk.fleet({engine(1)});
  for (RequestId id = 1; id <= 40; ++id) desk.request(id, 1, 1s, 0, 15s);
  int light = 0;
  int heavy = 0;
  for (RequestId id = 100; id < 110; ++id) {
    desk.request(id, 1, 200ms, 0, 15s);
    desk.request(id + 100, 1, 60s, 0, 15s);
    light += desk.count<Refuse>(id);
    heavy += desk.count<Refuse>(id + 100);
  }
  EXPECT_EQ(heavy, 10);
  EXPECT_LT(light, 10);
}

// On the platform one key drew a third of the loads: its line filled the class's bound, and nine in ten that
// were refused had a key of their own that was free, while the engines were idle.
TEST(ClassBound, ALineBehindOneKeyDoesNotRefuseOtherKeys) {
  Settings settings = small_site();
  settings.classes[1].in_turn = true;
  Desk desk(settings);
  desk.fleet({engine(1), engine(2), engine(3), engine(4)});
  RequestId refused = 0;
  for (RequestId id = 1; id <= 30 && refused == 0; ++id) {
    desk.request(id, 1, 1s, 7, 15s);
    if (desk.count<Refuse>(id) > 0) refused = id;
  }
  EXPECT_EQ(desk.sends(1), 1);
  EXPECT_EQ(desk.sends(2), 0);
  EXPECT_GT(refused, 2U) << "one key's line is bounded too";
  for (RequestId id = 50; id < 54; ++id) {
    desk.request(id, 1, 1s, id, 15s);
    EXPECT_EQ(desk.sends(id), 1) << id;
    EXPECT_EQ(desk.count<Refuse>(id), 0) << id;
  }
}

// Bad clients on the platform asked in good form for what no engine knows: each such query failed at three
// engines within a millisecond, and four of five were shunned for it while all were well.
TEST(Health, WhatFailsAtEveryEngineSpeaksAgainstNone) {
  Desk desk(small_site());
  desk.fleet({engine(1), engine(2), engine(3), engine(4)});
  for (RequestId id = 1; id <= 12; ++id) {
    desk.request(100 + id);
    desk.end(100 + id, Result::served);
    desk.request(id, 0, 100ms, 0, 5s);
    for (int attempt = 1; attempt <= 3 && desk.sends(id) == attempt; ++attempt)
      desk.end(id, Result::engine_error);
    EXPECT_EQ(desk.sends(id), 3) << id;
    desk.advance(300ms);
  }
  EXPECT_FALSE(desk.logged("shunned"));
}

// What another engine serves was no fault of the query: the first is judged as ever.
TEST(Health, AnEngineThatFailsWhatOthersServeIsShunned) {
  Desk desk(small_site());
  desk.fleet({engine(1), engine(2), engine(3)});
  for (RequestId id = 1; id <= 40 && !desk.logged("shunned"); ++id) {
    desk.request(id, 0, 100ms, 0, 5s);
    while (desk.engine_of(id) == 2 && desk.count<Fail>(id) + desk.count<Refuse>(id) == 0 &&
           desk.sends(id) < 3)
      desk.end(id, Result::engine_error);
    if (desk.engine_of(id) != 2) desk.end(id, Result::served);
    desk.advance(100ms);
  }
  EXPECT_TRUE(desk.logged("engine 2 shunned: failing fast"));
}

TEST(ClassBound, HeldQueriesLeaveInOrderOfArrival) {
  Desk desk(small_site());
  desk.fleet({engine(1)});
  RequestId last = 40;
  for (RequestId id = 1; id <= last; ++id) desk.request(id, 0, 100ms);
  RequestId next = 1;
  while (next <= last && desk.sends(next) == 1) ++next;
  ASSERT_LE(next, last) << "nothing was held";
  ASSERT_EQ(desk.count<Refuse>(next), 0);
  desk.end(1, Result::served);
  EXPECT_EQ(desk.sends(next), 1);
}

TEST(ClassBound, AnIdleClassIsNotShutByASmallBound) {
  Desk desk(small_site());
  desk.fleet({engine(1), engine(2)});
  desk.request(1, 1, 100ms, 0, 15s);
  desk.end(1, Result::served);
  desk.advance(30s);
  desk.request(2, 1, 5s, 0, 15s);
  EXPECT_EQ(desk.sends(2), 1);
}

// Guards against a bound that shuts wholly: light queries must still pass where heavy ones do not.
TEST(ClassBound, UnderLastingPressureLightQueriesStillPass) {
  Desk desk(small_site());
  desk.fleet({engine(1)});
  RequestId id = 1;
  for (; id <= 10; ++id) {
    desk.request(id, 1, 4s, 0, 15s);
    desk.end(id, Result::served, 4s);
    desk.advance(200ms);
  }
  int light = 0;
  int heavy = 0;
  for (int step = 0; step < 200; ++step) {
    const RequestId late = id;
    desk.request(id++, 1, 8s, 0, 15s);
    desk.request(id++, 1, 10ms, 0, 15s);
    desk.advance(50ms);
    heavy += desk.count<Refuse>(late);
    light += desk.count<Refuse>(late + 1);
  }
  EXPECT_GT(heavy, 100);
  EXPECT_LT(light, heavy / 2);
}

// Guards against the black hole: an engine that fails fast looks least loaded.
TEST(Health, AnEngineThatFailsFastIsAvoidedAndTriedAgain) {
  Desk desk(small_site());
  desk.fleet({engine(1), engine(2), engine(3)});
  for (RequestId id = 1000; id < 1060; ++id) {
    desk.request(id);
    desk.end(id, Result::served);
  }
  const int well = desk.sends_to(1);
  for (RequestId id = 1; id <= 60; ++id) {
    desk.request(id);
    while (desk.count<Refuse>(id) + desk.count<Fail>(id) == 0) {
      const bool bad = desk.engine_of(id) == 1;
      desk.end(id, bad ? Result::engine_error : Result::served);
      if (!bad) break;
    }
  }
  const int before = desk.sends_to(1);
  EXPECT_LE(before - well, 4);
  desk.advance(40s);
  for (RequestId id = 100; id < 260; ++id) {
    desk.request(id);
    desk.end(id, Result::served);
  }
  EXPECT_GT(desk.sends_to(1), before);
}

// Guards against an engine that takes work and answers nothing: its work is cut and repeated elsewhere.
std::vector<RequestId> ask_until_three_are_at(Desk& desk, EngineId engine) {
  std::vector<RequestId> there;
  for (RequestId id = 1; there.size() < 3; ++id) {
    desk.request(id);
    if (desk.engine_of(id) == engine) there.push_back(id);
  }
  return there;
}

// Two errors in a row eject an engine; those of the process that ran there before it restarted do not.
TEST(Health, AnEarlierProcessSpeaksNotAgainstTheOneThatRunsNow) {
  for (const bool restarted : {false, true}) {
    Desk desk(small_site());
    desk.fleet({engine(1), engine(2)});
    const std::vector<RequestId> at_first = ask_until_three_are_at(desk, 1);
    if (restarted) desk.fleet({engine(1, EngineState::ready, desk.now())}, FleetScope::delta);
    for (const RequestId id : at_first) desk.end(id, Result::reset);
    EXPECT_EQ(desk.logged("engine 1 shunned"), !restarted);
  }
}

// Gone and ready again without a told start: another process, too.
TEST(Health, AnEngineThatWasGoneIsAnotherProcessWhenItIsReadyAgain) {
  Desk desk(small_site());
  desk.fleet({engine(1), engine(2)});
  const std::vector<RequestId> at_first = ask_until_three_are_at(desk, 1);
  desk.fleet({engine(1, EngineState::gone)}, FleetScope::delta);
  desk.fleet({engine(1)}, FleetScope::delta);
  for (const RequestId id : at_first) desk.end(id, Result::reset);
  EXPECT_FALSE(desk.logged("engine 1 shunned"));
}

TEST(Health, WorkOnASilentEngineIsRepeatedElsewhere) {
  Desk desk(small_site());
  desk.fleet({engine(1), engine(2), engine(3)});
  RequestId id = 1;
  for (; id <= 30; ++id) {
    desk.request(id);
    desk.end(id, Result::served);
  }
  desk.request(id);
  desk.request(id + 1);
  desk.request(id + 2);
  const RequestId lost = desk.engine_of(id) == 1 ? id : desk.engine_of(id + 1) == 1 ? id + 1 : id + 2;
  for (RequestId other = id; other < id + 3; ++other) {
    if (other != lost) desk.end(other, Result::served);
  }
  desk.advance(1s);
  ASSERT_EQ(desk.count<Cancel>(lost), 1);
  desk.end(lost, Result::cancelled);
  EXPECT_EQ(desk.sends(lost), 2);
  EXPECT_NE(desk.engine_of(lost), 1U);
}

TEST(Attempts, WhatNeverRanIsTriedElsewhereAtOnce) {
  Desk desk(small_site());
  desk.fleet({engine(1), engine(2)});
  desk.request(1);
  const EngineId first = desk.engine_of(1);
  desk.end(1, Result::connect_failed);
  EXPECT_EQ(desk.sends(1), 2);
  EXPECT_NE(desk.engine_of(1), first);
}

TEST(Determinism, TheSameEventsGiveTheSameActionsBesideAnotherInstance) {
  const auto play = [](Desk* other) {
    Desk desk(small_site());
    desk.fleet({engine(1), engine(2)});
    for (RequestId id = 1; id < 80; ++id) {
      desk.request(id, id % 2, std::chrono::milliseconds(20 * id), 0, 5s);
      if (other != nullptr) other->request(id);
      if (desk.sends(id) > 0 && id % 3 != 0)
        desk.end(id, id % 7 == 0 ? Result::engine_error : Result::served);
      desk.advance(40ms);
    }
    std::vector<std::size_t> kinds;
    for (const auto& [at, action] : desk.log()) {
      kinds.push_back(action.index());
      if (const auto* send = std::get_if<Send>(&action)) kinds.push_back(send->engine);
    }
    return kinds;
  };
  Desk other(small_site());
  other.fleet({engine(1)});
  const auto alone = play(nullptr);
  EXPECT_GT(alone.size(), 80U);
  EXPECT_EQ(alone, play(&other));
}

TEST(BadInput, AbsurdSettingsStillAnswerOnceAndInTime) {
  for (int variant = 0; variant < 5; ++variant) {
    Settings s = small_site();
    if (variant == 0) s = Settings{};
    if (variant == 1) s.kinds = {{0, 0}};
    if (variant == 2) s.classes[0].threads = 0;
    if (variant == 3) s.classes[0].allowed_kinds.emplace();
    if (variant == 4) s.instances = 0, s.fall_multiple = -1, s.clock_step = 0s;
    Desk desk(s);
    desk.fleet({engine(1), engine(2)});
    desk.handle(RequestArrived{1, 0, 9, 7, 1s, Duration{-5}, -1.0, 0.0, false});
    desk.advance(3s);
    EXPECT_EQ(desk.count<Refuse>(1) + desk.count<Fail>(1), 1) << "variant " << variant;
  }
}

}  // namespace
}  // namespace paddlestand::test

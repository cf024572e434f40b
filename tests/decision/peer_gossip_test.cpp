// What engines and peers tell of work that is out: notes of progress, memory, messages.
#include <gtest/gtest.h>

#include <limits>

#include "manager_harness.hpp"

namespace paddlestand::test {
namespace {

Settings noted() {
  Settings s = small_site();
  s.progress_report_period = 500ms;
  return s;
}

// One heavy query alone, after some that told how long such queries run.
RequestId start_heavy(ManagerHarness& harness) {
  harness.fleet({engine(1), engine(2)});
  for (RequestId id = 1; id <= 10; ++id) {
    harness.request(id, 1, 1s, 0, 15s);
    harness.end(id, AttemptResult::served, 1s);
  }
  harness.request(50, 1, 1s, 0, 15s);
  return 50;
}

// Guards against cutting what is only long: its work would be lost and made anew.
TEST(Notes, AnAttemptThatProgressesIsNotCutForItsAge) {
  ManagerHarness harness(noted());
  const RequestId id = start_heavy(harness);
  for (int i = 1; i <= 6; ++i) {
    harness.advance(500ms);
    harness.handle(ProgressReported{id, 0, ProgressKind::progress, 0.15 * i});
  }
  EXPECT_EQ(harness.count<Cancel>(id), 0);
}

// Guards against a bad plan: little is done, and the rest would take longer than a run anew.
TEST(Notes, AnAttemptWithABadPlanIsCutAtItsFirstNotes) {
  ManagerHarness harness(noted());
  const RequestId id = start_heavy(harness);
  harness.advance(500ms);
  harness.handle(ProgressReported{id, 0, ProgressKind::progress, 0.02});
  harness.advance(200ms);
  EXPECT_EQ(harness.count<Cancel>(id), 1);
}

// Guards against lost answers: notes of an attempt that has ended stop, whatever its engine says to others.
TEST(Notes, AnAttemptThatIsNotHeardOfAnyMoreIsCut) {
  ManagerHarness harness(noted());
  const RequestId id = start_heavy(harness);
  harness.advance(400ms);
  harness.handle(ProgressReported{id, 0, ProgressKind::progress, 0.9});
  harness.advance(700ms);
  EXPECT_EQ(harness.count<Cancel>(id), 0);
  harness.advance(300ms);
  EXPECT_EQ(harness.count<Cancel>(id), 1);
}

TEST(Notes, OddNotesAndNotesOfNothingAreIgnored) {
  ManagerHarness harness(noted());
  const RequestId id = start_heavy(harness);
  harness.handle(ProgressReported{id, 7, ProgressKind::progress, 0.5});
  harness.handle(ProgressReported{999, 0, ProgressKind::progress, 0.5});
  harness.handle(ProgressReported{id, 0, ProgressKind::progress, -1});
  harness.handle(ProgressReported{id, 0, ProgressKind::progress, std::numeric_limits<double>::quiet_NaN()});
  harness.handle(ProgressReported{1, 0, ProgressKind::progress, 0.0});
  harness.advance(100ms);
  EXPECT_EQ(harness.count<Cancel>(id), 0);
}

Settings crowded(MemoryShortage shortage) {
  Settings s = small_site();
  s.instances = 10;
  s.engines_honor_grants = true;
  s.memory_shortage = shortage;
  return s;
}

int sent_of_ten_large(MemoryShortage shortage) {
  ManagerHarness harness(crowded(shortage));
  harness.fleet({engine(1), engine(2), engine(3), engine(4)});
  int sent = 0;
  for (RequestId id = 1; id <= 10; ++id) {
    harness.handle(RequestArrived{id, 0, 0, 0, 5s, 100ms, 2000, 1, false});
    sent += harness.sends(id);
  }
  return sent;
}

// Guards against memory filled over and over: slowed queries hold it longer, and it stays full.
TEST(Memory, AManagersPartBindsWhereShortageHarmsAllThatRun) {
  const int in_line = sent_of_ten_large(MemoryShortage::queue);
  for (const MemoryShortage shortage : {MemoryShortage::overcommit, MemoryShortage::reduce_grant}) {
    const int sent = sent_of_ten_large(shortage);
    EXPECT_GE(sent, 1);
    EXPECT_LE(sent * 2500, 4 * 16384 / 10 * 2);
    EXPECT_LT(sent, in_line);
  }
}

Settings talking() {
  Settings s = crowded(MemoryShortage::overcommit);
  s.may_gossip = true;
  s.gossip_price = 0.01;
  s.gossip_entry_bytes = 3;
  return s;
}

int told(const ManagerHarness& harness) {
  int n = 0;
  for (const auto& [at, action] : harness.log()) n += std::holds_alternative<SendGossip>(action) ? 1 : 0;
  return n;
}

TEST(News, StartsAndEndsAreToldWithoutAFlood) {
  ManagerHarness harness(talking());
  harness.fleet({engine(1), engine(2), engine(3), engine(4)});
  harness.advance(1s);
  harness.request(1, 1, 1s, 0, 15s);
  ASSERT_EQ(told(harness), 1);
  harness.end(1, AttemptResult::served, 1s);
  harness.advance(1s);
  EXPECT_EQ(told(harness), 2);
  harness.advance(60s);
  EXPECT_EQ(told(harness), 2);  // nothing is out, nothing to tell
  for (RequestId id = 10; id < 3000; ++id) {
    harness.request(id, 1, 1s, 0, 15s);
    if (harness.sends(id) > 0) harness.end(id, AttemptResult::served, 1s);
    harness.advance(1ms);
  }
  EXPECT_LE(told(harness), 2 + 3 + 3 * 35);  // 350 deliveries a second, over ten managers
}

TEST(News, AnEngineThatPeersHaveFilledIsPassedByUntilTheirWordIsOld) {
  ManagerHarness harness(talking());
  harness.fleet({engine(1), engine(2)});
  harness.advance(1s);
  const std::vector<GossipEntry> out{{1, 4, 0.4}, {1, 4, 0.4}, {77, 4, 0.4}};
  harness.handle(GossipReceived{3, out});
  for (RequestId id = 1; id <= 8; ++id) {
    harness.request(id, 1, 1s, 0, 15s);
    harness.end(id, AttemptResult::served, 1s);
  }
  EXPECT_EQ(harness.sends_to(1), 0);
  harness.advance(6s);
  for (RequestId id = 11; id <= 30; ++id) {
    harness.request(id, 1, 1s, 0, 15s);
    harness.end(id, AttemptResult::served, 1s);
  }
  EXPECT_GT(harness.sends_to(1), 0);
}

TEST(News, WordsOfUnknownAuthorsAndOfItselfAreIgnored) {
  ManagerHarness harness(talking());
  harness.fleet({engine(1)});
  harness.advance(1s);
  const std::vector<GossipEntry> out{{1, 7, 0.4}, {1, 7, 0.4}, {1, 7, 0.4}};
  for (const std::uint32_t author : {0U, 10U, 65535U, 4000000000U})
    harness.handle(GossipReceived{author, out});
  harness.request(1, 1, 1s, 0, 15s);
  EXPECT_EQ(harness.sends(1), 1);
}

TEST(News, NothingIsToldWhereItIsNotAllowedOrNotWorthItsPrice) {
  for (const bool allowed : {false, true}) {
    Settings s = talking();
    s.may_gossip = allowed;
    if (allowed) s.gossip_price = 10;
    ManagerHarness harness(s);
    harness.fleet({engine(1)});
    harness.advance(1s);
    harness.request(1, 1, 1s, 0, 15s);
    harness.advance(3s);
    EXPECT_EQ(told(harness), 0);
  }
}

// Leaving the zone costs a light query much: it stays while engines of both report alike.
TEST(Zones, QueriesStayInTheirZoneAndLeaveItWhereItIsOverrun) {
  Settings s = small_site();
  s.cross_zone_price = 0.04;
  ManagerHarness harness(s);
  EngineEntry far = engine(2);
  far.zone = 1;
  harness.fleet({engine(1), far});
  RequestId id = 1;
  const auto serve = [&](int n) {
    for (int i = 0; i < n; ++i, ++id) {
      harness.request(id);
      AttemptEnded end{id, 0, harness.engine_of(id), AttemptResult::served, 100ms, true, 100ms, 10, {}};
      end.report.queries = end.engine == 1 && id > 50 ? 40 : 2;
      harness.handle(end);
    }
  };
  serve(50);
  const int stayed = harness.sends_to(1);
  EXPECT_GE(stayed, 45);
  serve(100);
  EXPECT_GE(harness.sends_to(2), 30);
}

// What is given up on is answered at once, and the client told when to come back.
TEST(GivingUp, ARefusalComesAtOnceWithAdvice) {
  Settings s = small_site();
  s.may_advise_retry = true;
  s.max_retry_after = 2s;
  ManagerHarness harness(s);
  harness.fleet({engine(1)});
  harness.request(1, 0, 4s, 0, 1s);  // it cannot be done in the time that its client has
  ASSERT_EQ(harness.count<Reject>(1), 1);
  for (const auto& [at, action] : harness.log()) {
    const auto* refuse = std::get_if<Reject>(&action);
    if (refuse == nullptr) continue;
    EXPECT_EQ(at, harness.now());
    EXPECT_GT(refuse->retry_after, 0s);
    EXPECT_LE(refuse->retry_after, 2s);
  }
}

}  // namespace
}  // namespace paddlestand::test

// What engines and peers tell of work that is out: notes of progress, memory, messages.
#include <gtest/gtest.h>

#include <limits>

#include "harness.hpp"

namespace paddlestand::test {
namespace {

Settings noted() {
  Settings s = small_site();
  s.note_period = 500ms;
  return s;
}

// One heavy query alone, after some that told how long such queries run.
RequestId start_heavy(Desk& desk) {
  desk.fleet({engine(1), engine(2)});
  for (RequestId id = 1; id <= 10; ++id) {
    desk.request(id, 1, 1s, 0, 15s);
    desk.end(id, Result::served, 1s);
  }
  desk.request(50, 1, 1s, 0, 15s);
  return 50;
}

// Guards against cutting what is only long: its work would be lost and made anew.
TEST(Notes, AnAttemptThatProgressesIsNotCutForItsAge) {
  Desk desk(noted());
  const RequestId id = start_heavy(desk);
  for (int i = 1; i <= 6; ++i) {
    desk.advance(500ms);
    desk.handle(Note{id, 0, NoteKind::progress, 0.15 * i});
  }
  EXPECT_EQ(desk.count<Cancel>(id), 0);
}

// Guards against a bad plan: little is done, and the rest would take longer than a run anew.
TEST(Notes, AnAttemptWithABadPlanIsCutAtItsFirstNotes) {
  Desk desk(noted());
  const RequestId id = start_heavy(desk);
  desk.advance(500ms);
  desk.handle(Note{id, 0, NoteKind::progress, 0.02});
  desk.advance(200ms);
  EXPECT_EQ(desk.count<Cancel>(id), 1);
}

// Guards against lost answers: notes of an attempt that has ended stop, whatever its engine says to others.
TEST(Notes, AnAttemptThatIsNotHeardOfAnyMoreIsCut) {
  Desk desk(noted());
  const RequestId id = start_heavy(desk);
  desk.advance(400ms);
  desk.handle(Note{id, 0, NoteKind::progress, 0.9});
  desk.advance(700ms);
  EXPECT_EQ(desk.count<Cancel>(id), 0);
  desk.advance(300ms);
  EXPECT_EQ(desk.count<Cancel>(id), 1);
}

TEST(Notes, OddNotesAndNotesOfNothingAreIgnored) {
  Desk desk(noted());
  const RequestId id = start_heavy(desk);
  desk.handle(Note{id, 7, NoteKind::progress, 0.5});
  desk.handle(Note{999, 0, NoteKind::progress, 0.5});
  desk.handle(Note{id, 0, NoteKind::progress, -1});
  desk.handle(Note{id, 0, NoteKind::progress, std::numeric_limits<double>::quiet_NaN()});
  desk.handle(Note{1, 0, NoteKind::progress, 0.0});
  desk.advance(100ms);
  EXPECT_EQ(desk.count<Cancel>(id), 0);
}

Settings crowded(Shortage shortage) {
  Settings s = small_site();
  s.instances = 10;
  s.grants_heeded = true;
  s.when_memory_short = shortage;
  return s;
}

int sent_of_ten_large(Shortage shortage) {
  Desk desk(crowded(shortage));
  desk.fleet({engine(1), engine(2), engine(3), engine(4)});
  int sent = 0;
  for (RequestId id = 1; id <= 10; ++id) {
    desk.handle(RequestArrived{id, 0, 0, 0, 5s, 100ms, 2000, 1, false});
    sent += desk.sends(id);
  }
  return sent;
}

// Guards against memory filled over and over: slowed queries hold it longer, and it stays full.
TEST(Memory, AManagersPartBindsWhereShortageHarmsAllThatRun) {
  const int in_line = sent_of_ten_large(Shortage::wait_in_line);
  for (const Shortage shortage : {Shortage::overcommit, Shortage::cut_grant}) {
    const int sent = sent_of_ten_large(shortage);
    EXPECT_GE(sent, 1);
    EXPECT_LE(sent * 2500, 4 * 16384 / 10 * 2);
    EXPECT_LT(sent, in_line);
  }
}

Settings talking() {
  Settings s = crowded(Shortage::overcommit);
  s.may_tell_peers = true;
  s.tell_price = 0.01;
  s.told_attempt_bytes = 3;
  return s;
}

int told(const Desk& desk) {
  int n = 0;
  for (const auto& [at, action] : desk.log()) n += std::holds_alternative<TellPeers>(action) ? 1 : 0;
  return n;
}

TEST(News, StartsAndEndsAreToldWithoutAFlood) {
  Desk desk(talking());
  desk.fleet({engine(1), engine(2), engine(3), engine(4)});
  desk.advance(1s);
  desk.request(1, 1, 1s, 0, 15s);
  ASSERT_EQ(told(desk), 1);
  desk.end(1, Result::served, 1s);
  desk.advance(1s);
  EXPECT_EQ(told(desk), 2);
  desk.advance(60s);
  EXPECT_EQ(told(desk), 2);  // nothing is out, nothing to tell
  for (RequestId id = 10; id < 3000; ++id) {
    desk.request(id, 1, 1s, 0, 15s);
    if (desk.sends(id) > 0) desk.end(id, Result::served, 1s);
    desk.advance(1ms);
  }
  EXPECT_LE(told(desk), 2 + 3 + 3 * 35);  // 350 deliveries a second, over ten managers
}

TEST(News, AnEngineThatPeersHaveFilledIsPassedByUntilTheirWordIsOld) {
  Desk desk(talking());
  desk.fleet({engine(1), engine(2)});
  desk.advance(1s);
  const std::vector<ToldAttempt> out{{1, 4, 0.4}, {1, 4, 0.4}, {77, 4, 0.4}};
  desk.handle(PeerMessage{3, out});
  for (RequestId id = 1; id <= 8; ++id) {
    desk.request(id, 1, 1s, 0, 15s);
    desk.end(id, Result::served, 1s);
  }
  EXPECT_EQ(desk.sends_to(1), 0);
  desk.advance(6s);
  for (RequestId id = 11; id <= 30; ++id) {
    desk.request(id, 1, 1s, 0, 15s);
    desk.end(id, Result::served, 1s);
  }
  EXPECT_GT(desk.sends_to(1), 0);
}

TEST(News, WordsOfUnknownAuthorsAndOfItselfAreIgnored) {
  Desk desk(talking());
  desk.fleet({engine(1)});
  desk.advance(1s);
  const std::vector<ToldAttempt> out{{1, 7, 0.4}, {1, 7, 0.4}, {1, 7, 0.4}};
  for (const std::uint32_t author : {0U, 10U, 65535U, 4000000000U}) desk.handle(PeerMessage{author, out});
  desk.request(1, 1, 1s, 0, 15s);
  EXPECT_EQ(desk.sends(1), 1);
}

TEST(News, NothingIsToldWhereItIsNotAllowedOrNotWorthItsPrice) {
  for (const bool allowed : {false, true}) {
    Settings s = talking();
    s.may_tell_peers = allowed;
    if (allowed) s.tell_price = 10;
    Desk desk(s);
    desk.fleet({engine(1)});
    desk.advance(1s);
    desk.request(1, 1, 1s, 0, 15s);
    desk.advance(3s);
    EXPECT_EQ(told(desk), 0);
  }
}

// Leaving the zone costs a light query much: it stays while engines of both report alike.
TEST(Zones, QueriesStayInTheirZoneAndLeaveItWhereItIsOverrun) {
  Settings s = small_site();
  s.zone_price = 0.04;
  Desk desk(s);
  EngineEntry far = engine(2);
  far.zone = 1;
  desk.fleet({engine(1), far});
  RequestId id = 1;
  const auto serve = [&](int n) {
    for (int i = 0; i < n; ++i, ++id) {
      desk.request(id);
      AttemptEnded end{id, 0, desk.engine_of(id), Result::served, 100ms, true, 100ms, 10, {}};
      end.report.queries = end.engine == 1 && id > 50 ? 40 : 2;
      desk.handle(end);
    }
  };
  serve(50);
  const int stayed = desk.sends_to(1);
  EXPECT_GE(stayed, 45);
  serve(100);
  EXPECT_GE(desk.sends_to(2), 30);
}

// What is given up on is answered at once, and the client told when to come back.
TEST(GivingUp, ARefusalComesAtOnceWithAdvice) {
  Settings s = small_site();
  s.may_advise_retry = true;
  s.longest_retry_advice = 2s;
  Desk desk(s);
  desk.fleet({engine(1)});
  desk.request(1, 0, 4s, 0, 1s);  // it cannot be done in the time that its client has
  ASSERT_EQ(desk.count<Refuse>(1), 1);
  for (const auto& [at, action] : desk.log()) {
    const auto* refuse = std::get_if<Refuse>(&action);
    if (refuse == nullptr) continue;
    EXPECT_EQ(at, desk.now());
    EXPECT_GT(refuse->retry_after, 0s);
    EXPECT_LE(refuse->retry_after, 2s);
  }
}

}  // namespace
}  // namespace paddlestand::test

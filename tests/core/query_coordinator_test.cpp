#include "core/conductor.hpp"

#include <gtest/gtest.h>

#include "core/promises.hpp"
#include "core_desk.hpp"

namespace paddlestand::core::test {
namespace {

TEST(Conductor, ServesAndReusesACleanLink) {
  CoreDesk desk;
  desk.fleet({entry(1)});
  desk.ask(1);
  const LinkId link = desk.run(1);
  desk.finish(link);
  ASSERT_EQ(desk.answers(1).size(), 1U);
  EXPECT_EQ(desk.answers(1)[0].kind, AnswerKind::served);
  EXPECT_EQ(desk.delivered(1), 10U);
  desk.handle(ClientTook{1, 10});
  desk.ask_again(1, 2);
  EXPECT_EQ(desk.link_of(2), link);
  EXPECT_EQ(desk.all<OpenLink>().size(), 1U);
}

TEST(Conductor, MuteAfterHalfOfItsRowsIsAnsweredInTimeAndNothingFollows) {
  CoreDesk desk;
  desk.fleet({entry(1)});
  desk.ask(1, 2);
  const LinkId link = desk.run(1);
  desk.handle(AnswerPart{link, 1500});  // more than is kept: it streams
  EXPECT_EQ(desk.delivered(1), 1500U);
  desk.handle(ClientTook{1, 1500});
  desk.advance(6s);
  ASSERT_EQ(desk.answers(1).size(), 1U);
  const Answer answer = desk.answers(1)[0];
  EXPECT_EQ(answer.kind, AnswerKind::failed);
  EXPECT_TRUE(answer.begun);
  EXPECT_TRUE(answer.time_up);
  EXPECT_LT(answer.took, 5s);
  EXPECT_TRUE(desk.did<CancelOnEngine>(link));
  EXPECT_TRUE(desk.did<CloseLink>(link));
  desk.handle(AnswerPart{link, 700});
  desk.finish(link);
  EXPECT_EQ(desk.delivered(1), 1500U);
  EXPECT_EQ(desk.answers(1).size(), 1U);
  EXPECT_EQ(desk.sends(1), 1U);
}

TEST(Conductor, AfterTheFirstBytesToTheClientThereIsNoFurtherAttempt) {
  CoreDesk desk;
  desk.fleet({entry(1), entry(2)});
  desk.ask(1, 0);
  const LinkId link = desk.run(1);
  desk.handle(AnswerPart{link, 1500});
  desk.handle(LinkLost{link, LinkLoss::closed});
  EXPECT_EQ(desk.sends(1), 1U);
  ASSERT_EQ(desk.answers(1).size(), 1U);
  EXPECT_EQ(desk.answers(1)[0].kind, AnswerKind::failed);
  EXPECT_TRUE(desk.answers(1)[0].begun);
}

TEST(Conductor, WhatIsStillKeptMayBeRepeatedElsewhereAndNoRowOfTheFirstIsSeen) {
  CoreDesk desk;
  desk.fleet({entry(1), entry(2)});
  desk.ask(1, 0);
  const LinkId first = desk.run(1);
  desk.handle(AnswerPart{first, 500});
  desk.handle(LinkLost{first, LinkLoss::closed});
  EXPECT_EQ(desk.delivered(1), 0U);
  const LinkId second = desk.run(1);
  ASSERT_NE(first, second);
  desk.finish(second, Ending::complete, 30);
  EXPECT_EQ(desk.delivered(1), 30U);
  ASSERT_EQ(desk.answers(1).size(), 1U);
  EXPECT_EQ(desk.answers(1)[0].kind, AnswerKind::served);
  ASSERT_EQ(desk.answers(1)[0].attempts.size(), 2U);
  EXPECT_EQ(desk.answers(1)[0].attempts[0].result, Result::reset);
}

TEST(Conductor, UnsafeIsNotRepeatedAfterAResetButIsWhenItNeverRan) {
  CoreDesk desk;
  desk.fleet({entry(1), entry(2)});
  desk.ask(1, 2);
  desk.handle(LinkLost{desk.run(1), LinkLoss::closed});
  EXPECT_EQ(desk.sends(1), 1U);
  EXPECT_EQ(desk.answers(1)[0].kind, AnswerKind::failed);

  CoreDesk other;
  other.fleet({entry(1), entry(2)});
  other.ask(1, 2);
  other.bring_up();
  other.handle(LinkLost{other.link_of(1), LinkLoss::closed});  // its bytes were not wholly handed over
  other.run(1);
  EXPECT_EQ(other.sends(1), 2U);
}

TEST(Conductor, CancelWhileHeldWhileOutAndAfterTheAnswer) {
  CoreDesk desk;
  desk.ask(1);  // no engines: held
  EXPECT_FALSE(desk.was_sent(1));
  desk.handle(CancelAsked{1});
  ASSERT_EQ(desk.answers(1).size(), 1U);
  EXPECT_EQ(desk.answers(1)[0].kind, AnswerKind::cancelled);

  desk.fleet({entry(1)});
  EXPECT_FALSE(desk.was_sent(1));
  desk.ask_again(1, 2);
  const LinkId link = desk.run(2);
  desk.handle(CancelAsked{1});
  ASSERT_EQ(desk.answers(2).size(), 1U);
  EXPECT_TRUE(desk.did<CancelOnEngine>(link));
  desk.finish(link, Ending::cancelled, 40);  // its error is not the client's any more
  EXPECT_EQ(desk.delivered(1), 0U);
  EXPECT_TRUE(desk.did<CloseLink>(link));

  desk.ask_again(1, 3);
  desk.finish(desk.run(3));
  desk.handle(CancelAsked{1});
  EXPECT_EQ(desk.answers(3).size(), 1U);
  EXPECT_EQ(desk.answers(3)[0].kind, AnswerKind::served);
}

TEST(Conductor, ALinkOnWhichACancelWentOutIsNeverUsedAgainEvenIfItsAnswerCameFirst) {
  CoreDesk desk;
  desk.fleet({entry(1)});
  desk.ask(1);
  const LinkId link = desk.run(1);
  desk.handle(CancelAsked{1});
  desk.finish(link);  // it ended before the cancel reached it
  EXPECT_TRUE(desk.did<CloseLink>(link));
  desk.ask_again(1, 2);
  EXPECT_NE(desk.run(2), link);
}

TEST(Conductor, ClientGoneWithAnUnsafeQueryOutSendsNothingAgainAndStopsTheEngine) {
  CoreDesk desk;
  desk.fleet({entry(1), entry(2)});
  desk.ask(1, 2);
  const LinkId link = desk.run(1);
  desk.handle(SessionClosed{1});
  EXPECT_TRUE(desk.did<CancelOnEngine>(link));
  desk.advance(1s);  // the engine says nothing
  EXPECT_TRUE(desk.did<CloseLink>(link));
  EXPECT_EQ(desk.sends(1), 1U);
  EXPECT_EQ(desk.counts().queries_open, 0U);
  EXPECT_EQ(desk.counts().attempts_out, 0U);
}

TEST(Conductor, TimeOutLateAnswerAndResendCross) {
  CoreDesk desk;
  desk.fleet({entry(1), entry(2)});
  for (QueryId id = 10; id < 30; ++id) {  // the module learns the usual pace
    desk.ask(id);
    const LinkId link = desk.run(id);
    desk.advance(20ms);
    desk.finish(link);
  }
  desk.ask(1);
  const LinkId first = desk.run(1);
  const std::size_t before = desk.delivered(1);
  const std::size_t opened = desk.all<OpenLink>().size();  // far past its time: cut, and sent elsewhere
  for (int i = 0; i < 200 && desk.all<OpenLink>().size() == opened; ++i) desk.advance(10ms);
  ASSERT_TRUE(desk.did<CancelOnEngine>(first));
  const LinkId second = desk.run(1);
  ASSERT_NE(first, second);
  desk.handle(AnswerPart{first, 300});  // late rows of a link that was closed
  desk.finish(first, Ending::complete, 300);
  EXPECT_EQ(desk.delivered(1), before);
  desk.finish(second, Ending::complete, 25);
  EXPECT_EQ(desk.delivered(1), before + 25);
  EXPECT_EQ(desk.answers(1).size(), 1U);
}

TEST(Conductor, DrainWhileALinkOpensAndWhileOthersAreIdle) {
  CoreDesk desk;
  desk.fleet({entry(1)});
  desk.ask(1);
  const LinkId idle = desk.run(1);
  desk.ask(2);  // a second link opens for this one
  const LinkId opening = desk.all<OpenLink>().back().link;
  desk.finish(idle);
  ASSERT_NE(idle, opening);
  desk.fleet({entry(1, EngineState::draining), entry(2)});
  EXPECT_TRUE(desk.did<CloseLink>(idle));
  EXPECT_TRUE(desk.did<CloseLink>(opening));
  desk.advance(250ms);
  desk.handle(LinkUp{opening});  // crossed with its close
  EXPECT_FALSE(desk.was_sent(2));
  desk.bring_up(2);
  ASSERT_TRUE(desk.was_sent(2));
  for (const SendQuery& send : desk.all<SendQuery>()) EXPECT_TRUE(send.query != 2 || send.link > opening);
}

TEST(Conductor, EngineThatRefusesAndEngineThatNeverSpeaks) {
  CoreDesk desk;
  desk.fleet({entry(1), entry(2), entry(3)});
  desk.ask(1, 2);
  const LinkId first = desk.all<OpenLink>().back().link;
  desk.handle(LinkLost{first, LinkLoss::refused});
  const LinkId second = desk.all<OpenLink>().back().link;
  ASSERT_NE(first, second);
  desk.advance(310ms);  // accepts, and never speaks
  EXPECT_TRUE(desk.did<CloseLink>(second));
  const LinkId third = desk.all<OpenLink>().back().link;
  ASSERT_NE(second, third);
  desk.finish(desk.run(1));
  EXPECT_EQ(desk.answers(1)[0].kind, AnswerKind::served);
}

TEST(Conductor, WantOfDescriptorsSpeaksAgainstNoEngine) {
  CoreDesk desk;
  desk.fleet({entry(1)});
  for (QueryId id = 1; id <= 8; ++id) {
    desk.ask(id);
    while (desk.answers(id).empty()) {
      desk.handle(LinkLost{desk.all<OpenLink>().back().link, LinkLoss::local});
    }
    EXPECT_EQ(desk.answers(id)[0].kind, AnswerKind::refused);
    EXPECT_LE(desk.answers(id)[0].attempts.size(), 3U);
  }
  EXPECT_TRUE(desk.all<Remark>().empty());  // no judgment of the engine
}

TEST(Conductor, PoolIsBoundedAndItsBoundIsToldAsFull) {
  auto settings = small_core();
  settings.links_per_engine = 2;
  CoreDesk desk(settings);
  desk.fleet({entry(1)});
  for (QueryId id = 1; id <= 4; ++id) desk.ask(id);
  EXPECT_EQ(desk.counts().links, 2U);
  desk.finish(desk.run(1));
  desk.advance(300ms);
  EXPECT_LE(desk.counts().links, 2U);
  bool full = false;
  for (QueryId id = 1; id <= 4; ++id) {
    if (!desk.answers(id).empty() && desk.answers(id)[0].kind == AnswerKind::served) continue;
    full = true;
  }
  EXPECT_TRUE(full);
}

TEST(Conductor, SlowReaderSlowsItsEngineAndMemoryIsBounded) {
  CoreDesk desk;
  desk.fleet({entry(1)});
  desk.ask(1);
  const LinkId link = desk.run(1);
  for (int i = 0; i < 5; ++i) desk.handle(AnswerPart{link, 1000});
  EXPECT_TRUE(desk.did<PauseLink>(link));
  EXPECT_FALSE(desk.did<ResumeLink>(link));
  desk.handle(ClientTook{1, 1000});
  EXPECT_FALSE(desk.did<ResumeLink>(link));
  desk.handle(ClientTook{1, 2500});
  EXPECT_TRUE(desk.did<ResumeLink>(link));
  desk.finish(link);
  desk.handle(ClientTook{1, 1510});
  EXPECT_EQ(desk.counts().bytes_buffered, 0U);
}

TEST(Conductor, FullBuffersOfOthersLeaveEveryLinkOnePart) {
  auto settings = small_core();
  settings.buffers_in_total = 3000;
  CoreDesk desk(settings);
  desk.fleet({entry(1)});
  desk.ask(1);
  const LinkId slow = desk.run(1);
  desk.handle(AnswerPart{slow, 3500});
  EXPECT_TRUE(desk.did<PauseLink>(slow));
  desk.ask(2);
  const LinkId quick = desk.run(2);
  desk.handle(AnswerPart{quick, 500});
  EXPECT_EQ(desk.delivered(2), 500U);  // streamed early, since nothing more may be kept
  EXPECT_TRUE(desk.did<PauseLink>(quick));
  desk.handle(ClientTook{2, 500});
  EXPECT_TRUE(desk.did<ResumeLink>(quick));
  desk.finish(quick);
  EXPECT_EQ(desk.answers(2)[0].kind, AnswerKind::served);
}

TEST(Conductor, KeyedInTurnThroughResetCancelAndTimeOut) {
  auto settings = small_core();
  settings.module.order_settle = 100ms;
  CoreDesk desk(settings);
  desk.fleet({entry(1), entry(2)});
  desk.ask(1, 1, 77);
  desk.ask(2, 1, 77);
  desk.ask(3, 1, 77);
  const LinkId first = desk.run(1);
  EXPECT_FALSE(desk.was_sent(2));
  desk.handle(LinkLost{first, LinkLoss::closed});
  const LinkId again = desk.run(1);  // inside the window in which its repeat is dropped
  EXPECT_FALSE(desk.was_sent(2));
  desk.finish(again);
  desk.advance(200ms);
  const LinkId second = desk.run(2);
  desk.handle(CancelAsked{2});
  EXPECT_FALSE(desk.was_sent(3));  // it may still run
  desk.finish(second, Ending::cancelled);
  EXPECT_FALSE(desk.was_sent(3));  // the key rests
  desk.advance(200ms);
  desk.bring_up();
  EXPECT_TRUE(desk.was_sent(3));
}

TEST(Conductor, LeavesOnceAllIsAnsweredAndTakesNoMore) {
  CoreDesk desk;
  desk.fleet({entry(1)});
  desk.ask(1);
  const LinkId link = desk.run(1);
  desk.handle(Leave{2s});
  desk.ask(2);
  ASSERT_EQ(desk.answers(2).size(), 1U);
  EXPECT_TRUE(desk.answers(2)[0].leaving);
  EXPECT_EQ(desk.answers(2)[0].kind, AnswerKind::refused);
  EXPECT_TRUE(desk.all<Left>().empty());
  desk.finish(link);
  EXPECT_EQ(desk.all<Left>().size(), 1U);

  CoreDesk slow;
  slow.fleet({entry(1)});
  slow.ask(1, 2);
  slow.run(1);
  slow.handle(Leave{2s});
  slow.advance(2100ms);
  ASSERT_EQ(slow.answers(1).size(), 1U);
  EXPECT_EQ(slow.answers(1)[0].kind, AnswerKind::failed);
  slow.advance(1s);
  EXPECT_EQ(slow.all<Left>().size(), 1U);
}

TEST(Conductor, ProbesGoOverLinksOfTheirOwnAndEnd) {
  CoreDesk desk;
  desk.fleet({entry(1), entry(2), entry(3), entry(4)});
  QueryId id = 0;
  for (int i = 0; i < 40 && desk.all<SendProbe>().empty(); ++i) {
    desk.ask(++id);
    desk.bring_up();
    if (desk.was_sent(id)) {
      const LinkId link = desk.link_of(id);
      if (desk.all<OpenLink>().back().engine == 1)
        desk.finish(link, Ending::engine_error);
      else
        desk.finish(link);
    }
    desk.advance(400ms);
    desk.bring_up();
  }
  ASSERT_FALSE(desk.all<SendProbe>().empty());
  const LinkId probe = desk.all<SendProbe>().back().link;
  EXPECT_FALSE(desk.did<SendQuery>(probe));
  EXPECT_FALSE(desk.did<CloseLink>(probe));
  desk.advance(400ms);
  EXPECT_TRUE(desk.did<CloseLink>(probe));
}

// Its answer would be credited to the process that runs there from now on.
TEST(Conductor, AProbeThatIsUnderWayEndsWhenItsEngineRestarts) {
  CoreDesk desk;
  desk.fleet({entry(1)});
  for (QueryId id = 1; id <= 40 && desk.all<SendProbe>().empty(); ++id) {
    desk.ask(id);
    desk.bring_up();
    if (desk.was_sent(id)) desk.finish(desk.link_of(id), Ending::engine_error);
    desk.advance(400ms);
    desk.bring_up();
  }
  ASSERT_FALSE(desk.all<SendProbe>().empty());
  const LinkId probe = desk.all<SendProbe>().back().link;
  desk.handle(QuerySent{probe});
  ASSERT_FALSE(desk.did<CloseLink>(probe));
  desk.fleet({entry(1, EngineState::ready, 1h)});
  EXPECT_TRUE(desk.did<CloseLink>(probe));
}

// An attempt that timed out is out until its engine has heard of the cancel: the next one waits for that.
TEST(Conductor, AfterATimeOutNothingIsSentBeforeTheCancelIsHeard) {
  CoreSettings settings = small_core();
  settings.module.may_cancel = false;  // nothing but the time-out ends it
  CoreDesk desk(settings);
  desk.fleet({entry(1), entry(2)});
  desk.ask(1);
  const LinkId first = desk.run(1);
  for (int i = 0; i < 100 && desk.all<CancelOnEngine>().empty(); ++i) desk.advance(50ms);
  ASSERT_FALSE(desk.all<CancelOnEngine>().empty());
  desk.bring_up();
  EXPECT_EQ(desk.all<SendQuery>().size(), 1U);
  EXPECT_FALSE(desk.did<CloseLink>(first));
  desk.handle(LinkLost{first, LinkLoss::closed});
  EXPECT_TRUE(desk.did<CloseLink>(first));
}

TEST(Conductor, EventsOfClosedLinksArePassedOverOthersOutOfPlaceAreNot) {
  CoreDesk desk;
  desk.fleet({entry(1)});
  desk.handle(LinkUp{99});
  desk.handle(AnswerPart{99, 5});
  desk.finish(99);
  desk.ask(1);
  const LinkId link = desk.run(1);
  EXPECT_THROW(desk.handle(LinkUp{link}), IllegalTransition);
  EXPECT_THROW(desk.handle(SessionClosed{42}), IllegalTransition);
  EXPECT_THROW(desk.handle(QueryArrived{1, 9, 0, 0, 0, 1s, {}, 0, 0, false}), IllegalTransition);
}

// A further attempt decided now may go out a connect later: on the way to engines, too, a window holds no
// more.
TEST(Conductor, FurtherAttemptsAreCountedWhereALinkComesUpLate) {
  CoreSettings settings = small_core();
  settings.module.attempt_budget = AttemptBudget{1, 0, 2s};
  CoreDesk desk(settings);
  desk.fleet({entry(1), entry(2), entry(3), entry(4)});
  desk.ask(1);
  desk.handle(LinkLost{desk.run(1), LinkLoss::closed});
  desk.advance(250ms);
  desk.bring_up();
  ASSERT_EQ(desk.sends(1), 2U);
  desk.finish(desk.link_of(1));
  desk.advance(1850ms);
  desk.ask(2);
  desk.handle(LinkLost{desk.run(2), LinkLoss::closed});
  desk.bring_up();
  EXPECT_EQ(desk.sends(2), 1U);  // 1.85 s after the other one: given up on at once
  EXPECT_EQ(desk.answers(2).size(), 1U);
  desk.advance(300ms);
  desk.ask(3);
  desk.handle(LinkLost{desk.run(3), LinkLoss::closed});
  desk.bring_up();
  EXPECT_EQ(desk.sends(3), 2U);
}

// Where nothing can be sent, arrivals are all that a watch hears of: its account must not grow by them.
TEST(Promises, AccountDoesNotGrowWhileNothingIsSent) {
  CoreSettings settings = small_core();
  settings.module.attempt_budget = AttemptBudget{1, 0, 1s};
  Promises watch(settings);
  for (QueryId id = 1; id <= 1000; ++id) {
    const TimePoint now = 1h + static_cast<int>(id) * 100ms;
    watch.told(now, QueryArrived{1, id, 0, 0, 0, 5s, 20ms, 0, 0, false});
    Answer answer;
    answer.session = 1;
    answer.query = id;
    answer.kind = AnswerKind::refused;
    watch.did(now, answer);
  }
  EXPECT_TRUE(watch.breaches().empty());
  Entries entries;
  watch.visit(entries);
  EXPECT_LE(entries.all, 11U);  // those of the last window
}

TEST(Conductor, SameEventsGiveTheSameEffects) {
  const auto play = [] {
    CoreDesk desk;
    desk.fleet({entry(1), entry(2), entry(3)});
    for (QueryId id = 1; id <= 60; ++id) {
      desk.ask(id, static_cast<std::uint32_t>(id % 3), id % 5);
      desk.bring_up();
      if (id % 4 == 0 && desk.was_sent(id)) desk.finish(desk.link_of(id));
      if (id % 7 == 0 && desk.was_sent(id)) desk.handle(LinkLost{desk.link_of(id), LinkLoss::closed});
      desk.advance(60ms);
    }
    desk.advance(10s);
    std::string text;
    for (const Effect& effect : desk.log()) {
      text += std::to_string(effect.index()) + ",";
      if (const auto* send = std::get_if<SendQuery>(&effect)) text += std::to_string(send->link) + ";";
      if (const auto* answer = std::get_if<Answer>(&effect))
        text += std::to_string(answer->query) + ":" + std::to_string(answer->took.count()) + ";";
    }
    EXPECT_EQ(desk.counts().queries_open, 0U);
    EXPECT_EQ(desk.counts().attempts_out, 0U);
    return text;
  };
  EXPECT_EQ(play(), play());
}

}  // namespace
}  // namespace paddlestand::core::test

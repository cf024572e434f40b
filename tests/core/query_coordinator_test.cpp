#include "core/query_coordinator.hpp"

#include <gtest/gtest.h>

#include "coordinator_harness.hpp"
#include "core/invariant_monitor.hpp"

namespace paddlestand::core::test {
namespace {

TEST(QueryCoordinator, ServesAndReusesACleanLink) {
  CoordinatorHarness harness;
  harness.fleet({entry(1)});
  harness.ask(1);
  const ChannelId channel = harness.run(1);
  harness.finish(channel);
  ASSERT_EQ(harness.answers(1).size(), 1U);
  EXPECT_EQ(harness.answers(1)[0].kind, AnswerKind::served);
  EXPECT_EQ(harness.delivered(1), 10U);
  harness.handle(ClientConsumed{1, 10});
  harness.ask_again(1, 2);
  EXPECT_EQ(harness.channel_of(2), channel);
  EXPECT_EQ(harness.all<OpenChannel>().size(), 1U);
}

TEST(QueryCoordinator, MuteAfterHalfOfItsRowsIsAnsweredInTimeAndNothingFollows) {
  CoordinatorHarness harness;
  harness.fleet({entry(1)});
  harness.ask(1, 2);
  const ChannelId channel = harness.run(1);
  harness.handle(AnswerPart{channel, 1500});  // more than is kept: it streams
  EXPECT_EQ(harness.delivered(1), 1500U);
  harness.handle(ClientConsumed{1, 1500});
  harness.advance(6s);
  ASSERT_EQ(harness.answers(1).size(), 1U);
  const Answer answer = harness.answers(1)[0];
  EXPECT_EQ(answer.kind, AnswerKind::failed);
  EXPECT_TRUE(answer.begun);
  EXPECT_TRUE(answer.deadline_exceeded);
  EXPECT_LT(answer.took, 5s);
  EXPECT_TRUE(harness.did<CancelOnEngine>(channel));
  EXPECT_TRUE(harness.did<CloseChannel>(channel));
  harness.handle(AnswerPart{channel, 700});
  harness.finish(channel);
  EXPECT_EQ(harness.delivered(1), 1500U);
  EXPECT_EQ(harness.answers(1).size(), 1U);
  EXPECT_EQ(harness.sends(1), 1U);
}

TEST(QueryCoordinator, AfterTheFirstBytesToTheClientThereIsNoFurtherAttempt) {
  CoordinatorHarness harness;
  harness.fleet({entry(1), entry(2)});
  harness.ask(1, 0);
  const ChannelId channel = harness.run(1);
  harness.handle(AnswerPart{channel, 1500});
  harness.handle(ChannelLost{channel, ChannelLossReason::closed});
  EXPECT_EQ(harness.sends(1), 1U);
  ASSERT_EQ(harness.answers(1).size(), 1U);
  EXPECT_EQ(harness.answers(1)[0].kind, AnswerKind::failed);
  EXPECT_TRUE(harness.answers(1)[0].begun);
}

TEST(QueryCoordinator, WhatIsStillKeptMayBeRepeatedElsewhereAndNoRowOfTheFirstIsSeen) {
  CoordinatorHarness harness;
  harness.fleet({entry(1), entry(2)});
  harness.ask(1, 0);
  const ChannelId first = harness.run(1);
  harness.handle(AnswerPart{first, 500});
  harness.handle(ChannelLost{first, ChannelLossReason::closed});
  EXPECT_EQ(harness.delivered(1), 0U);
  const ChannelId second = harness.run(1);
  ASSERT_NE(first, second);
  harness.finish(second, Ending::complete, 30);
  EXPECT_EQ(harness.delivered(1), 30U);
  ASSERT_EQ(harness.answers(1).size(), 1U);
  EXPECT_EQ(harness.answers(1)[0].kind, AnswerKind::served);
  ASSERT_EQ(harness.answers(1)[0].attempts.size(), 2U);
  EXPECT_EQ(harness.answers(1)[0].attempts[0].result, AttemptResult::reset);
}

TEST(QueryCoordinator, UnsafeIsNotRepeatedAfterAResetButIsWhenItNeverRan) {
  CoordinatorHarness harness;
  harness.fleet({entry(1), entry(2)});
  harness.ask(1, 2);
  harness.handle(ChannelLost{harness.run(1), ChannelLossReason::closed});
  EXPECT_EQ(harness.sends(1), 1U);
  EXPECT_EQ(harness.answers(1)[0].kind, AnswerKind::failed);

  CoordinatorHarness other;
  other.fleet({entry(1), entry(2)});
  other.ask(1, 2);
  other.bring_up();
  other.handle(
      ChannelLost{other.channel_of(1), ChannelLossReason::closed});  // its bytes were not wholly handed over
  other.run(1);
  EXPECT_EQ(other.sends(1), 2U);
}

TEST(QueryCoordinator, CancelWhileHeldWhileOutAndAfterTheAnswer) {
  CoordinatorHarness harness;
  harness.ask(1);  // no engines: held
  EXPECT_FALSE(harness.was_sent(1));
  harness.handle(ClientCancelled{1});
  ASSERT_EQ(harness.answers(1).size(), 1U);
  EXPECT_EQ(harness.answers(1)[0].kind, AnswerKind::cancelled);

  harness.fleet({entry(1)});
  EXPECT_FALSE(harness.was_sent(1));
  harness.ask_again(1, 2);
  const ChannelId channel = harness.run(2);
  harness.handle(ClientCancelled{1});
  ASSERT_EQ(harness.answers(2).size(), 1U);
  EXPECT_TRUE(harness.did<CancelOnEngine>(channel));
  harness.finish(channel, Ending::cancelled, 40);  // its error is not the client's any more
  EXPECT_EQ(harness.delivered(1), 0U);
  EXPECT_TRUE(harness.did<CloseChannel>(channel));

  harness.ask_again(1, 3);
  harness.finish(harness.run(3));
  harness.handle(ClientCancelled{1});
  EXPECT_EQ(harness.answers(3).size(), 1U);
  EXPECT_EQ(harness.answers(3)[0].kind, AnswerKind::served);
}

TEST(QueryCoordinator, ALinkOnWhichACancelWentOutIsNeverUsedAgainEvenIfItsAnswerCameFirst) {
  CoordinatorHarness harness;
  harness.fleet({entry(1)});
  harness.ask(1);
  const ChannelId channel = harness.run(1);
  harness.handle(ClientCancelled{1});
  harness.finish(channel);  // it ended before the cancel reached it
  EXPECT_TRUE(harness.did<CloseChannel>(channel));
  harness.ask_again(1, 2);
  EXPECT_NE(harness.run(2), channel);
}

TEST(QueryCoordinator, ClientGoneWithAnUnsafeQueryOutSendsNothingAgainAndStopsTheEngine) {
  CoordinatorHarness harness;
  harness.fleet({entry(1), entry(2)});
  harness.ask(1, 2);
  const ChannelId channel = harness.run(1);
  harness.handle(SessionClosed{1});
  EXPECT_TRUE(harness.did<CancelOnEngine>(channel));
  harness.advance(1s);  // the engine says nothing
  EXPECT_TRUE(harness.did<CloseChannel>(channel));
  EXPECT_EQ(harness.sends(1), 1U);
  EXPECT_EQ(harness.counts().queries_open, 0U);
  EXPECT_EQ(harness.counts().attempts_out, 0U);
}

TEST(QueryCoordinator, TimeOutLateAnswerAndResendCross) {
  CoordinatorHarness harness;
  harness.fleet({entry(1), entry(2)});
  for (QueryId id = 10; id < 30; ++id) {  // the module learns the usual pace
    harness.ask(id);
    const ChannelId channel = harness.run(id);
    harness.advance(20ms);
    harness.finish(channel);
  }
  harness.ask(1);
  const ChannelId first = harness.run(1);
  const std::size_t before = harness.delivered(1);
  const std::size_t opened = harness.all<OpenChannel>().size();  // far past its time: cut, and sent elsewhere
  for (int i = 0; i < 200 && harness.all<OpenChannel>().size() == opened; ++i) harness.advance(10ms);
  ASSERT_TRUE(harness.did<CancelOnEngine>(first));
  const ChannelId second = harness.run(1);
  ASSERT_NE(first, second);
  harness.handle(AnswerPart{first, 300});  // late rows of a channel that was closed
  harness.finish(first, Ending::complete, 300);
  EXPECT_EQ(harness.delivered(1), before);
  harness.finish(second, Ending::complete, 25);
  EXPECT_EQ(harness.delivered(1), before + 25);
  EXPECT_EQ(harness.answers(1).size(), 1U);
}

TEST(QueryCoordinator, DrainWhileALinkOpensAndWhileOthersAreIdle) {
  CoordinatorHarness harness;
  harness.fleet({entry(1)});
  harness.ask(1);
  const ChannelId idle = harness.run(1);
  harness.ask(2);  // a second channel opens for this one
  const ChannelId opening = harness.all<OpenChannel>().back().channel;
  harness.finish(idle);
  ASSERT_NE(idle, opening);
  harness.fleet({entry(1, EngineState::draining), entry(2)});
  EXPECT_TRUE(harness.did<CloseChannel>(idle));
  EXPECT_TRUE(harness.did<CloseChannel>(opening));
  harness.advance(250ms);
  harness.handle(ChannelOpened{opening});  // crossed with its close
  EXPECT_FALSE(harness.was_sent(2));
  harness.bring_up(2);
  ASSERT_TRUE(harness.was_sent(2));
  for (const SendQuery& send : harness.all<SendQuery>())
    EXPECT_TRUE(send.query != 2 || send.channel > opening);
}

TEST(QueryCoordinator, EngineThatRefusesAndEngineThatNeverSpeaks) {
  CoordinatorHarness harness;
  harness.fleet({entry(1), entry(2), entry(3)});
  harness.ask(1, 2);
  const ChannelId first = harness.all<OpenChannel>().back().channel;
  harness.handle(ChannelLost{first, ChannelLossReason::refused});
  const ChannelId second = harness.all<OpenChannel>().back().channel;
  ASSERT_NE(first, second);
  harness.advance(310ms);  // accepts, and never speaks
  EXPECT_TRUE(harness.did<CloseChannel>(second));
  const ChannelId third = harness.all<OpenChannel>().back().channel;
  ASSERT_NE(second, third);
  harness.finish(harness.run(1));
  EXPECT_EQ(harness.answers(1)[0].kind, AnswerKind::served);
}

TEST(QueryCoordinator, WantOfDescriptorsSpeaksAgainstNoEngine) {
  CoordinatorHarness harness;
  harness.fleet({entry(1)});
  for (QueryId id = 1; id <= 8; ++id) {
    harness.ask(id);
    while (harness.answers(id).empty()) {
      harness.handle(ChannelLost{harness.all<OpenChannel>().back().channel, ChannelLossReason::local});
    }
    EXPECT_EQ(harness.answers(id)[0].kind, AnswerKind::rejected);
    EXPECT_LE(harness.answers(id)[0].attempts.size(), 3U);
  }
  EXPECT_TRUE(harness.all<LogMessage>().empty());  // no judgment of the engine
}

TEST(QueryCoordinator, PoolIsBoundedAndItsBoundIsToldAsFull) {
  auto settings = small_core();
  settings.channels_per_engine = 2;
  CoordinatorHarness harness(settings);
  harness.fleet({entry(1)});
  for (QueryId id = 1; id <= 4; ++id) harness.ask(id);
  EXPECT_EQ(harness.counts().channels, 2U);
  harness.finish(harness.run(1));
  harness.advance(300ms);
  EXPECT_LE(harness.counts().channels, 2U);
  bool full = false;
  for (QueryId id = 1; id <= 4; ++id) {
    if (!harness.answers(id).empty() && harness.answers(id)[0].kind == AnswerKind::served) continue;
    full = true;
  }
  EXPECT_TRUE(full);
}

TEST(QueryCoordinator, SlowReaderSlowsItsEngineAndMemoryIsBounded) {
  CoordinatorHarness harness;
  harness.fleet({entry(1)});
  harness.ask(1);
  const ChannelId channel = harness.run(1);
  for (int i = 0; i < 5; ++i) harness.handle(AnswerPart{channel, 1000});
  EXPECT_TRUE(harness.did<PauseChannel>(channel));
  EXPECT_FALSE(harness.did<ResumeChannel>(channel));
  harness.handle(ClientConsumed{1, 1000});
  EXPECT_FALSE(harness.did<ResumeChannel>(channel));
  harness.handle(ClientConsumed{1, 2500});
  EXPECT_TRUE(harness.did<ResumeChannel>(channel));
  harness.finish(channel);
  harness.handle(ClientConsumed{1, 1510});
  EXPECT_EQ(harness.counts().bytes_buffered, 0U);
}

TEST(QueryCoordinator, FullBuffersOfOthersLeaveEveryLinkOnePart) {
  auto settings = small_core();
  settings.buffers_in_total = 3000;
  CoordinatorHarness harness(settings);
  harness.fleet({entry(1)});
  harness.ask(1);
  const ChannelId slow = harness.run(1);
  harness.handle(AnswerPart{slow, 3500});
  EXPECT_TRUE(harness.did<PauseChannel>(slow));
  harness.ask(2);
  const ChannelId quick = harness.run(2);
  harness.handle(AnswerPart{quick, 500});
  EXPECT_EQ(harness.delivered(2), 500U);  // streamed early, since nothing more may be kept
  EXPECT_TRUE(harness.did<PauseChannel>(quick));
  harness.handle(ClientConsumed{2, 500});
  EXPECT_TRUE(harness.did<ResumeChannel>(quick));
  harness.finish(quick);
  EXPECT_EQ(harness.answers(2)[0].kind, AnswerKind::served);
}

TEST(QueryCoordinator, KeyedInTurnThroughResetCancelAndTimeOut) {
  auto settings = small_core();
  settings.module.ordering_settle_time = 100ms;
  CoordinatorHarness harness(settings);
  harness.fleet({entry(1), entry(2)});
  harness.ask(1, 1, 77);
  harness.ask(2, 1, 77);
  harness.ask(3, 1, 77);
  const ChannelId first = harness.run(1);
  EXPECT_FALSE(harness.was_sent(2));
  harness.handle(ChannelLost{first, ChannelLossReason::closed});
  const ChannelId again = harness.run(1);  // inside the window in which its repeat is dropped
  EXPECT_FALSE(harness.was_sent(2));
  harness.finish(again);
  harness.advance(200ms);
  const ChannelId second = harness.run(2);
  harness.handle(ClientCancelled{2});
  EXPECT_FALSE(harness.was_sent(3));  // it may still run
  harness.finish(second, Ending::cancelled);
  EXPECT_FALSE(harness.was_sent(3));  // the key rests
  harness.advance(200ms);
  harness.bring_up();
  EXPECT_TRUE(harness.was_sent(3));
}

TEST(QueryCoordinator, LeavesOnceAllIsAnsweredAndTakesNoMore) {
  CoordinatorHarness harness;
  harness.fleet({entry(1)});
  harness.ask(1);
  const ChannelId channel = harness.run(1);
  harness.handle(BeginShutdown{2s});
  harness.ask(2);
  ASSERT_EQ(harness.answers(2).size(), 1U);
  EXPECT_TRUE(harness.answers(2)[0].shutting_down);
  EXPECT_EQ(harness.answers(2)[0].kind, AnswerKind::rejected);
  EXPECT_TRUE(harness.all<ShutdownComplete>().empty());
  harness.finish(channel);
  EXPECT_EQ(harness.all<ShutdownComplete>().size(), 1U);

  CoordinatorHarness slow;
  slow.fleet({entry(1)});
  slow.ask(1, 2);
  slow.run(1);
  slow.handle(BeginShutdown{2s});
  slow.advance(2100ms);
  ASSERT_EQ(slow.answers(1).size(), 1U);
  EXPECT_EQ(slow.answers(1)[0].kind, AnswerKind::failed);
  slow.advance(1s);
  EXPECT_EQ(slow.all<ShutdownComplete>().size(), 1U);
}

TEST(QueryCoordinator, ProbesGoOverLinksOfTheirOwnAndEnd) {
  CoordinatorHarness harness;
  harness.fleet({entry(1), entry(2), entry(3), entry(4)});
  QueryId id = 0;
  for (int i = 0; i < 40 && harness.all<SendProbe>().empty(); ++i) {
    harness.ask(++id);
    harness.bring_up();
    if (harness.was_sent(id)) {
      const ChannelId channel = harness.channel_of(id);
      if (harness.all<OpenChannel>().back().engine == 1)
        harness.finish(channel, Ending::engine_error);
      else
        harness.finish(channel);
    }
    harness.advance(400ms);
    harness.bring_up();
  }
  ASSERT_FALSE(harness.all<SendProbe>().empty());
  const ChannelId probe = harness.all<SendProbe>().back().channel;
  EXPECT_FALSE(harness.did<SendQuery>(probe));
  EXPECT_FALSE(harness.did<CloseChannel>(probe));
  harness.advance(400ms);
  EXPECT_TRUE(harness.did<CloseChannel>(probe));
}

// Its answer would be credited to the process that runs there from now on.
TEST(QueryCoordinator, AProbeThatIsUnderWayEndsWhenItsEngineRestarts) {
  CoordinatorHarness harness;
  harness.fleet({entry(1)});
  for (QueryId id = 1; id <= 40 && harness.all<SendProbe>().empty(); ++id) {
    harness.ask(id);
    harness.bring_up();
    if (harness.was_sent(id)) harness.finish(harness.channel_of(id), Ending::engine_error);
    harness.advance(400ms);
    harness.bring_up();
  }
  ASSERT_FALSE(harness.all<SendProbe>().empty());
  const ChannelId probe = harness.all<SendProbe>().back().channel;
  harness.handle(QuerySent{probe});
  ASSERT_FALSE(harness.did<CloseChannel>(probe));
  harness.fleet({entry(1, EngineState::ready, 1h)});
  EXPECT_TRUE(harness.did<CloseChannel>(probe));
}

// An attempt that timed out is out until its engine has heard of the cancel: the next one waits for that.
TEST(QueryCoordinator, AfterATimeOutNothingIsSentBeforeTheCancelIsHeard) {
  CoreSettings settings = small_core();
  settings.module.may_cancel = false;  // nothing but the time-out ends it
  CoordinatorHarness harness(settings);
  harness.fleet({entry(1), entry(2)});
  harness.ask(1);
  const ChannelId first = harness.run(1);
  for (int i = 0; i < 100 && harness.all<CancelOnEngine>().empty(); ++i) harness.advance(50ms);
  ASSERT_FALSE(harness.all<CancelOnEngine>().empty());
  harness.bring_up();
  EXPECT_EQ(harness.all<SendQuery>().size(), 1U);
  EXPECT_FALSE(harness.did<CloseChannel>(first));
  harness.handle(ChannelLost{first, ChannelLossReason::closed});
  EXPECT_TRUE(harness.did<CloseChannel>(first));
}

TEST(QueryCoordinator, EventsOfClosedLinksArePassedOverOthersOutOfPlaceAreNot) {
  CoordinatorHarness harness;
  harness.fleet({entry(1)});
  harness.handle(ChannelOpened{99});
  harness.handle(AnswerPart{99, 5});
  harness.finish(99);
  harness.ask(1);
  const ChannelId channel = harness.run(1);
  EXPECT_THROW(harness.handle(ChannelOpened{channel}), IllegalTransition);
  EXPECT_THROW(harness.handle(SessionClosed{42}), IllegalTransition);
  EXPECT_THROW(harness.handle(QueryArrived{1, 9, 0, 0, 0, 1s, {}, 0, 0, false}), IllegalTransition);
}

// A further attempt decided now may go out a connect later: on the way to engines, too, a window holds no
// more.
TEST(QueryCoordinator, FurtherAttemptsAreCountedWhereALinkComesUpLate) {
  CoreSettings settings = small_core();
  settings.module.retry_budget = RetryBudgetSettings{1, 0, 2s};
  CoordinatorHarness harness(settings);
  harness.fleet({entry(1), entry(2), entry(3), entry(4)});
  harness.ask(1);
  harness.handle(ChannelLost{harness.run(1), ChannelLossReason::closed});
  harness.advance(250ms);
  harness.bring_up();
  ASSERT_EQ(harness.sends(1), 2U);
  harness.finish(harness.channel_of(1));
  harness.advance(1850ms);
  harness.ask(2);
  harness.handle(ChannelLost{harness.run(2), ChannelLossReason::closed});
  harness.bring_up();
  EXPECT_EQ(harness.sends(2), 1U);  // 1.85 s after the other one: given up on at once
  EXPECT_EQ(harness.answers(2).size(), 1U);
  harness.advance(300ms);
  harness.ask(3);
  harness.handle(ChannelLost{harness.run(3), ChannelLossReason::closed});
  harness.bring_up();
  EXPECT_EQ(harness.sends(3), 2U);
}

// Where nothing can be sent, arrivals are all that a watch hears of: its account must not grow by them.
TEST(InvariantMonitor, AccountDoesNotGrowWhileNothingIsSent) {
  CoreSettings settings = small_core();
  settings.module.retry_budget = RetryBudgetSettings{1, 0, 1s};
  InvariantMonitor watch(settings);
  for (QueryId id = 1; id <= 1000; ++id) {
    const TimePoint now = 1h + static_cast<int>(id) * 100ms;
    watch.on_event(now, QueryArrived{1, id, 0, 0, 0, 5s, 20ms, 0, 0, false});
    Answer answer;
    answer.session = 1;
    answer.query = id;
    answer.kind = AnswerKind::rejected;
    watch.on_action(now, answer);
  }
  EXPECT_TRUE(watch.violations().empty());
  Entries entries;
  watch.visit(entries);
  EXPECT_LE(entries.all, 11U);  // those of the last window
}

TEST(QueryCoordinator, SameEventsGiveTheSameEffects) {
  const auto play = [] {
    CoordinatorHarness harness;
    harness.fleet({entry(1), entry(2), entry(3)});
    for (QueryId id = 1; id <= 60; ++id) {
      harness.ask(id, static_cast<std::uint32_t>(id % 3), id % 5);
      harness.bring_up();
      if (id % 4 == 0 && harness.was_sent(id)) harness.finish(harness.channel_of(id));
      if (id % 7 == 0 && harness.was_sent(id))
        harness.handle(ChannelLost{harness.channel_of(id), ChannelLossReason::closed});
      harness.advance(60ms);
    }
    harness.advance(10s);
    std::string text;
    for (const HostAction& action : harness.log()) {
      text += std::to_string(action.index()) + ",";
      if (const auto* send = std::get_if<SendQuery>(&action)) text += std::to_string(send->channel) + ";";
      if (const auto* answer = std::get_if<Answer>(&action))
        text += std::to_string(answer->query) + ":" + std::to_string(answer->took.count()) + ";";
    }
    EXPECT_EQ(harness.counts().queries_open, 0U);
    EXPECT_EQ(harness.counts().attempts_out, 0U);
    return text;
  };
  EXPECT_EQ(play(), play());
}

}  // namespace
}  // namespace paddlestand::core::test

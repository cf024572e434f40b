// Queries of the query coordinator: answers, retries, cancels, order, and the graceful shutdown.
#include "core/query_coordinator.hpp"

#include <gtest/gtest.h>

#include "coordinator_harness.hpp"

namespace paddlestand::core::test {
namespace {

TEST(QueryCoordinator, ServesAQueryAndReusesItsCleanChannel) {
  CoordinatorHarness harness;
  harness.set_endpoints({entry(1)});

  harness.submit(1);
  const ChannelId channel = harness.start(1);
  harness.end_answer(channel);

  ASSERT_EQ(harness.answers(1).size(), 1U);
  EXPECT_EQ(harness.answers(1)[0].kind, AnswerKind::served);
  EXPECT_EQ(harness.delivered(1), 10U);

  harness.handle(ClientConsumed{1, 10});
  harness.submit_on(1, 2);

  EXPECT_EQ(harness.channel_of(2), channel);
  EXPECT_EQ(harness.actions<OpenChannel>().size(), 1U);
}

TEST(QueryCoordinator, EngineThatStallsMidAnswerIsCancelledAndItsQueryFailsInTime) {
  CoordinatorHarness harness;
  harness.set_endpoints({entry(1)});

  harness.submit(1, 2);
  const ChannelId channel = harness.start(1);
  harness.handle(AnswerPart{channel, 1500});  // more than the answer buffer: it is streamed

  EXPECT_EQ(harness.delivered(1), 1500U);

  harness.handle(ClientConsumed{1, 1500});
  harness.advance(6s);
  ASSERT_EQ(harness.answers(1).size(), 1U);
  const Answer answer = harness.answers(1)[0];

  EXPECT_EQ(answer.kind, AnswerKind::failed);
  EXPECT_TRUE(answer.begun);
  EXPECT_TRUE(answer.deadline_exceeded);
  EXPECT_LT(answer.elapsed, 5s);
  EXPECT_TRUE(harness.emitted<CancelOnEngine>(channel));
  EXPECT_TRUE(harness.emitted<CloseChannel>(channel));

  harness.handle(AnswerPart{channel, 700});
  harness.end_answer(channel);

  EXPECT_EQ(harness.delivered(1), 1500U);
  EXPECT_EQ(harness.answers(1).size(), 1U);
  EXPECT_EQ(harness.sends(1), 1U);
}

TEST(QueryCoordinator, NoRetryAfterBytesWereDelivered) {
  CoordinatorHarness harness;
  harness.set_endpoints({entry(1), entry(2)});

  harness.submit(1, 0);
  const ChannelId channel = harness.start(1);
  harness.handle(AnswerPart{channel, 1500});
  harness.handle(ChannelLost{channel, ChannelLossReason::closed});

  EXPECT_EQ(harness.sends(1), 1U);
  ASSERT_EQ(harness.answers(1).size(), 1U);
  EXPECT_EQ(harness.answers(1)[0].kind, AnswerKind::failed);
  EXPECT_TRUE(harness.answers(1)[0].begun);
}

TEST(QueryCoordinator, BufferedAnswerIsDiscardedAndTheQueryRetriedOnAnotherEngine) {
  CoordinatorHarness harness;
  harness.set_endpoints({entry(1), entry(2)});

  harness.submit(1, 0);
  const ChannelId first = harness.start(1);
  harness.handle(AnswerPart{first, 500});
  harness.handle(ChannelLost{first, ChannelLossReason::closed});

  EXPECT_EQ(harness.delivered(1), 0U);

  const ChannelId second = harness.start(1);
  ASSERT_NE(first, second);
  harness.end_answer(second, Ending::complete, 30);

  EXPECT_EQ(harness.delivered(1), 30U);
  ASSERT_EQ(harness.answers(1).size(), 1U);
  EXPECT_EQ(harness.answers(1)[0].kind, AnswerKind::served);
  ASSERT_EQ(harness.answers(1)[0].attempts.size(), 2U);
  EXPECT_EQ(harness.answers(1)[0].attempts[0].result, AttemptResult::reset);
}

TEST(QueryCoordinator, NonIdempotentQueryIsRetriedOnlyIfItNeverRan) {
  CoordinatorHarness harness;
  harness.set_endpoints({entry(1), entry(2)});

  harness.submit(1, 2);
  harness.handle(ChannelLost{harness.start(1), ChannelLossReason::closed});

  EXPECT_EQ(harness.sends(1), 1U);
  EXPECT_EQ(harness.answers(1)[0].kind, AnswerKind::failed);

  CoordinatorHarness other;
  other.set_endpoints({entry(1), entry(2)});

  other.submit(1, 2);
  other.open_channels();
  other.handle(
      ChannelLost{other.channel_of(1), ChannelLossReason::closed});  // the query was not sent completely
  other.start(1);

  EXPECT_EQ(other.sends(1), 2U);
}

TEST(QueryCoordinator, ClientCancelsWhileQueuedWhileRunningAndAfterTheAnswer) {
  CoordinatorHarness harness;

  harness.submit(1);  // no engines: queued

  EXPECT_FALSE(harness.was_sent(1));

  harness.handle(ClientCancelled{1});

  ASSERT_EQ(harness.answers(1).size(), 1U);
  EXPECT_EQ(harness.answers(1)[0].kind, AnswerKind::cancelled);

  harness.set_endpoints({entry(1)});

  EXPECT_FALSE(harness.was_sent(1));

  harness.submit_on(1, 2);
  const ChannelId channel = harness.start(2);
  harness.handle(ClientCancelled{1});

  ASSERT_EQ(harness.answers(2).size(), 1U);
  EXPECT_TRUE(harness.emitted<CancelOnEngine>(channel));

  harness.end_answer(channel, Ending::cancelled, 40);  // its error is not delivered to the client

  EXPECT_EQ(harness.delivered(1), 0U);
  EXPECT_TRUE(harness.emitted<CloseChannel>(channel));

  harness.submit_on(1, 3);
  harness.end_answer(harness.start(3));
  harness.handle(ClientCancelled{1});

  EXPECT_EQ(harness.answers(3).size(), 1U);
  EXPECT_EQ(harness.answers(3)[0].kind, AnswerKind::served);
}

TEST(QueryCoordinator, ClientDisconnectCancelsANonIdempotentQueryWithoutRetry) {
  CoordinatorHarness harness;
  harness.set_endpoints({entry(1), entry(2)});

  harness.submit(1, 2);
  const ChannelId channel = harness.start(1);
  harness.handle(SessionClosed{1});

  EXPECT_TRUE(harness.emitted<CancelOnEngine>(channel));

  harness.advance(1s);  // the engine does not confirm

  EXPECT_TRUE(harness.emitted<CloseChannel>(channel));
  EXPECT_EQ(harness.sends(1), 1U);
  EXPECT_EQ(harness.counts().queries_open, 0U);
  EXPECT_EQ(harness.counts().attempts_out, 0U);
}

TEST(QueryCoordinator, LateAnswerOfATimedOutAttemptIsIgnoredAfterItsRetry) {
  CoordinatorHarness harness;
  harness.set_endpoints({entry(1), entry(2)});

  for (QueryId id = 10; id < 30; ++id) {  // the module learns the usual run time
    harness.submit(id);
    const ChannelId channel = harness.start(id);
    harness.advance(20ms);
    harness.end_answer(channel);
  }
  harness.submit(1);
  const ChannelId first = harness.start(1);
  const std::size_t before = harness.delivered(1);
  // The first attempt is slow, so it is cancelled and retried on another engine.
  const std::size_t opened = harness.actions<OpenChannel>().size();
  for (int i = 0; i < 200 && harness.actions<OpenChannel>().size() == opened; ++i) harness.advance(10ms);
  ASSERT_TRUE(harness.emitted<CancelOnEngine>(first));
  const ChannelId second = harness.start(1);
  ASSERT_NE(first, second);
  harness.handle(AnswerPart{first, 300});  // late bytes of a closed channel
  harness.end_answer(first, Ending::complete, 300);

  EXPECT_EQ(harness.delivered(1), before);

  harness.end_answer(second, Ending::complete, 25);

  EXPECT_EQ(harness.delivered(1), before + 25);
  EXPECT_EQ(harness.answers(1).size(), 1U);
}

TEST(QueryCoordinator, QueriesOfOneKeyRunInOrderThroughResetCancelAndSettleTime) {
  auto settings = small_core();
  settings.module.ordering_settle_time = 100ms;
  CoordinatorHarness harness(settings);
  harness.set_endpoints({entry(1), entry(2)});

  harness.submit(1, 1, 77);
  harness.submit(2, 1, 77);
  harness.submit(3, 1, 77);
  const ChannelId first = harness.start(1);

  EXPECT_FALSE(harness.was_sent(2));

  harness.handle(ChannelLost{first, ChannelLossReason::closed});
  const ChannelId again = harness.start(1);  // within the idempotency window

  EXPECT_FALSE(harness.was_sent(2));

  harness.end_answer(again);
  harness.advance(200ms);
  const ChannelId second = harness.start(2);
  harness.handle(ClientCancelled{2});

  EXPECT_FALSE(harness.was_sent(3));  // the second may still run

  harness.end_answer(second, Ending::cancelled);

  EXPECT_FALSE(harness.was_sent(3));  // the key settles

  harness.advance(200ms);
  harness.open_channels();

  EXPECT_TRUE(harness.was_sent(3));
}

TEST(QueryCoordinator, GracefulShutdownRejectsNewQueriesAndCompletesWhenIdle) {
  CoordinatorHarness harness;
  harness.set_endpoints({entry(1)});

  harness.submit(1);
  const ChannelId channel = harness.start(1);
  harness.handle(BeginShutdown{2s});
  harness.submit(2);

  ASSERT_EQ(harness.answers(2).size(), 1U);
  EXPECT_TRUE(harness.answers(2)[0].shutting_down);
  EXPECT_EQ(harness.answers(2)[0].kind, AnswerKind::rejected);
  EXPECT_TRUE(harness.actions<ShutdownComplete>().empty());

  harness.end_answer(channel);

  EXPECT_EQ(harness.actions<ShutdownComplete>().size(), 1U);

  CoordinatorHarness slow;
  slow.set_endpoints({entry(1)});

  slow.submit(1, 2);
  slow.start(1);
  slow.handle(BeginShutdown{2s});
  slow.advance(2100ms);

  ASSERT_EQ(slow.answers(1).size(), 1U);
  EXPECT_EQ(slow.answers(1)[0].kind, AnswerKind::failed);

  slow.advance(1s);

  EXPECT_EQ(slow.actions<ShutdownComplete>().size(), 1U);
}

// An attempt that timed out is active until its engine confirms the cancel.
TEST(QueryCoordinator, NoRetryAfterATimeoutBeforeTheCancelIsConfirmed) {
  CoreSettings settings = small_core();
  settings.module.may_cancel = false;  // only the timeout ends it
  CoordinatorHarness harness(settings);
  harness.set_endpoints({entry(1), entry(2)});

  harness.submit(1);
  const ChannelId first = harness.start(1);
  for (int i = 0; i < 100 && harness.actions<CancelOnEngine>().empty(); ++i) harness.advance(50ms);
  ASSERT_FALSE(harness.actions<CancelOnEngine>().empty());
  harness.open_channels();

  EXPECT_EQ(harness.actions<SendQuery>().size(), 1U);
  EXPECT_FALSE(harness.emitted<CloseChannel>(first));

  harness.handle(ChannelLost{first, ChannelLossReason::closed});

  EXPECT_TRUE(harness.emitted<CloseChannel>(first));
}

// A retry is sent when its channel opens, which may be later than it was decided: the budget must hold for
// the times of the sends.
TEST(QueryCoordinator, RetryBudgetHoldsWhenAChannelOpensLate) {
  CoreSettings settings = small_core();
  settings.module.retry_budget = RetryBudgetSettings{1, 0, 2s};
  CoordinatorHarness harness(settings);
  harness.set_endpoints({entry(1), entry(2), entry(3), entry(4)});

  harness.submit(1);
  harness.handle(ChannelLost{harness.start(1), ChannelLossReason::closed});
  harness.advance(250ms);
  harness.open_channels();
  ASSERT_EQ(harness.sends(1), 2U);
  harness.end_answer(harness.channel_of(1));
  harness.advance(1850ms);
  harness.submit(2);
  harness.handle(ChannelLost{harness.start(2), ChannelLossReason::closed});
  harness.open_channels();

  EXPECT_EQ(harness.sends(2), 1U);  // 1.85 s after the first retry: answered at once
  EXPECT_EQ(harness.answers(2).size(), 1U);

  harness.advance(300ms);
  harness.submit(3);
  harness.handle(ChannelLost{harness.start(3), ChannelLossReason::closed});
  harness.open_channels();

  EXPECT_EQ(harness.sends(3), 2U);
}

TEST(QueryCoordinator, SameEventsGiveTheSameActions) {
  const auto run = [] {
    CoordinatorHarness harness;
    harness.set_endpoints({entry(1), entry(2), entry(3)});
    for (QueryId id = 1; id <= 60; ++id) {
      harness.submit(id, static_cast<std::uint32_t>(id % 3), id % 5);
      harness.open_channels();
      if (id % 4 == 0 && harness.was_sent(id)) harness.end_answer(harness.channel_of(id));
      if (id % 7 == 0 && harness.was_sent(id))
        harness.handle(ChannelLost{harness.channel_of(id), ChannelLossReason::closed});
      harness.advance(60ms);
    }
    harness.advance(10s);
    std::string text;
    for (const HostAction& action : harness.all_actions()) {
      text += std::to_string(action.index()) + ",";
      if (const auto* send = std::get_if<SendQuery>(&action)) text += std::to_string(send->channel) + ";";
      if (const auto* answer = std::get_if<Answer>(&action))
        text += std::to_string(answer->query) + ":" + std::to_string(answer->elapsed.count()) + ";";
    }
    EXPECT_EQ(harness.counts().queries_open, 0U);
    EXPECT_EQ(harness.counts().attempts_out, 0U);
    return text;
  };

  EXPECT_EQ(run(), run());
}

}  // namespace
}  // namespace paddlestand::core::test

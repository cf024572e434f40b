// Channels of the query coordinator: pools, flow control, drain, connect failures, and probes.
#include <gtest/gtest.h>

#include "coordinator_harness.hpp"
#include "core/query_coordinator.hpp"

namespace paddlestand::core::test {
namespace {

TEST(QueryCoordinatorChannels, CancelledChannelIsNeverReusedEvenIfItsAnswerEndsFirst) {
  CoordinatorHarness harness;
  harness.set_endpoints({entry(1)});

  harness.submit(1);
  const ChannelId channel = harness.start(1);
  harness.handle(ClientCancelled{1});
  harness.end_answer(channel);  // the answer ended before the cancel reached the engine

  EXPECT_TRUE(harness.emitted<CloseChannel>(channel));

  harness.submit_on(1, 2);

  EXPECT_NE(harness.start(2), channel);
}

TEST(QueryCoordinatorChannels, DrainingEngineLosesItsIdleAndOpeningChannels) {
  CoordinatorHarness harness;
  harness.set_endpoints({entry(1)});

  harness.submit(1);
  const ChannelId idle = harness.start(1);
  harness.submit(2);  // opens a second channel
  const ChannelId opening = harness.actions<OpenChannel>().back().channel;
  harness.end_answer(idle);
  ASSERT_NE(idle, opening);
  harness.set_endpoints({entry(1, EngineState::draining), entry(2)});

  EXPECT_TRUE(harness.emitted<CloseChannel>(idle));
  EXPECT_TRUE(harness.emitted<CloseChannel>(opening));

  harness.advance(250ms);
  harness.handle(ChannelOpened{opening});  // was pending when the channel was closed

  EXPECT_FALSE(harness.was_sent(2));

  harness.open_channels(2);

  ASSERT_TRUE(harness.was_sent(2));
  for (const SendQuery& send : harness.actions<SendQuery>())
    EXPECT_TRUE(send.query != 2 || send.channel > opening);
}

TEST(QueryCoordinatorChannels, RefusedConnectAndConnectTimeoutAreRetriedOnOtherEngines) {
  CoordinatorHarness harness;
  harness.set_endpoints({entry(1), entry(2), entry(3)});

  harness.submit(1, 2);
  const ChannelId first = harness.actions<OpenChannel>().back().channel;
  harness.handle(ChannelLost{first, ChannelLossReason::refused});
  const ChannelId second = harness.actions<OpenChannel>().back().channel;
  ASSERT_NE(first, second);
  harness.advance(310ms);  // the engine does not complete the connect

  EXPECT_TRUE(harness.emitted<CloseChannel>(second));

  const ChannelId third = harness.actions<OpenChannel>().back().channel;
  ASSERT_NE(second, third);
  harness.end_answer(harness.start(1));

  EXPECT_EQ(harness.answers(1)[0].kind, AnswerKind::served);
}

TEST(QueryCoordinatorChannels, DescriptorShortageDoesNotCountAgainstEngines) {
  CoordinatorHarness harness;
  harness.set_endpoints({entry(1)});

  for (QueryId id = 1; id <= 8; ++id) {
    harness.submit(id);
    while (harness.answers(id).empty()) {
      harness.handle(ChannelLost{harness.actions<OpenChannel>().back().channel, ChannelLossReason::local});
    }
    EXPECT_EQ(harness.answers(id)[0].kind, AnswerKind::rejected);
    EXPECT_LE(harness.answers(id)[0].attempts.size(), 3U);
  }

  EXPECT_TRUE(harness.actions<LogMessage>().empty());  // the engine is not ejected
}

TEST(QueryCoordinatorChannels, ChannelPoolIsBoundedAndRejectsWhenFull) {
  auto settings = small_core();
  settings.channels_per_engine = 2;
  CoordinatorHarness harness(settings);
  harness.set_endpoints({entry(1)});

  for (QueryId id = 1; id <= 4; ++id) harness.submit(id);

  EXPECT_EQ(harness.counts().channels, 2U);

  harness.end_answer(harness.start(1));
  harness.advance(300ms);

  EXPECT_LE(harness.counts().channels, 2U);

  bool full = false;
  for (QueryId id = 1; id <= 4; ++id) {
    if (!harness.answers(id).empty() && harness.answers(id)[0].kind == AnswerKind::served) continue;
    full = true;
  }

  EXPECT_TRUE(full);
}

TEST(QueryCoordinatorChannels, SlowClientPausesItsChannelAndBuffersStayBounded) {
  CoordinatorHarness harness;
  harness.set_endpoints({entry(1)});

  harness.submit(1);
  const ChannelId channel = harness.start(1);
  for (int i = 0; i < 5; ++i) harness.handle(AnswerPart{channel, 1000});

  EXPECT_TRUE(harness.emitted<PauseChannel>(channel));
  EXPECT_FALSE(harness.emitted<ResumeChannel>(channel));

  harness.handle(ClientConsumed{1, 1000});

  EXPECT_FALSE(harness.emitted<ResumeChannel>(channel));

  harness.handle(ClientConsumed{1, 2500});

  EXPECT_TRUE(harness.emitted<ResumeChannel>(channel));

  harness.end_answer(channel);
  harness.handle(ClientConsumed{1, 1510});

  EXPECT_EQ(harness.counts().bytes_buffered, 0U);
}

TEST(QueryCoordinatorChannels, EveryChannelMayHoldOnePartWhenTotalBuffersAreFull) {
  auto settings = small_core();
  settings.buffers_in_total = 3000;
  CoordinatorHarness harness(settings);
  harness.set_endpoints({entry(1)});

  harness.submit(1);
  const ChannelId slow = harness.start(1);
  harness.handle(AnswerPart{slow, 3500});

  EXPECT_TRUE(harness.emitted<PauseChannel>(slow));

  harness.submit(2);
  const ChannelId quick = harness.start(2);
  harness.handle(AnswerPart{quick, 500});

  EXPECT_EQ(harness.delivered(2), 500U);  // streamed early, since the buffers are full
  EXPECT_TRUE(harness.emitted<PauseChannel>(quick));

  harness.handle(ClientConsumed{2, 500});

  EXPECT_TRUE(harness.emitted<ResumeChannel>(quick));

  harness.end_answer(quick);

  EXPECT_EQ(harness.answers(2)[0].kind, AnswerKind::served);
}

TEST(QueryCoordinatorChannels, ProbesUseSeparateChannelsAndTimeOut) {
  CoordinatorHarness harness;
  harness.set_endpoints({entry(1), entry(2), entry(3), entry(4)});

  QueryId id = 0;
  for (int i = 0; i < 40 && harness.actions<SendProbe>().empty(); ++i) {
    harness.submit(++id);
    harness.open_channels();
    if (harness.was_sent(id)) {
      const ChannelId channel = harness.channel_of(id);
      if (harness.actions<OpenChannel>().back().engine == 1) {
        harness.end_answer(channel, Ending::engine_error);
      } else {
        harness.end_answer(channel);
      }
    }
    harness.advance(400ms);
    harness.open_channels();
  }
  ASSERT_FALSE(harness.actions<SendProbe>().empty());
  const ChannelId probe = harness.actions<SendProbe>().back().channel;

  EXPECT_FALSE(harness.emitted<SendQuery>(probe));
  EXPECT_FALSE(harness.emitted<CloseChannel>(probe));

  harness.advance(400ms);

  EXPECT_TRUE(harness.emitted<CloseChannel>(probe));
}

// Otherwise the probe's answer would be attributed to the engine's new process.
TEST(QueryCoordinatorChannels, ActiveProbeEndsWhenItsEngineRestarts) {
  CoordinatorHarness harness;
  harness.set_endpoints({entry(1)});

  for (QueryId id = 1; id <= 40 && harness.actions<SendProbe>().empty(); ++id) {
    harness.submit(id);
    harness.open_channels();
    if (harness.was_sent(id)) harness.end_answer(harness.channel_of(id), Ending::engine_error);
    harness.advance(400ms);
    harness.open_channels();
  }
  ASSERT_FALSE(harness.actions<SendProbe>().empty());
  const ChannelId probe = harness.actions<SendProbe>().back().channel;
  harness.handle(QuerySent{probe});
  ASSERT_FALSE(harness.emitted<CloseChannel>(probe));
  harness.set_endpoints({entry(1, EngineState::ready, 1h)});

  EXPECT_TRUE(harness.emitted<CloseChannel>(probe));
}

TEST(QueryCoordinatorChannels, EventsOfClosedChannelsAreIgnoredAndOtherIllegalEventsThrow) {
  CoordinatorHarness harness;
  harness.set_endpoints({entry(1)});

  harness.handle(ChannelOpened{99});
  harness.handle(AnswerPart{99, 5});
  harness.end_answer(99);
  harness.submit(1);
  const ChannelId channel = harness.start(1);

  EXPECT_THROW(harness.handle(ChannelOpened{channel}), IllegalTransition);
  EXPECT_THROW(harness.handle(SessionClosed{42}), IllegalTransition);
  EXPECT_THROW(harness.handle(QueryArrived{1, 9, 0, 0, 0, 1s, {}, 0, 0, false}), IllegalTransition);
}

}  // namespace
}  // namespace paddlestand::core::test

// The estimated arrival times of input, and the time limits of partial messages.
#include "platform/input_times.hpp"

#include <gtest/gtest.h>

#include "platform/partial_message.hpp"

namespace paddlestand::platform {
namespace {

using namespace std::chrono_literals;

constexpr Duration no_lag{};

TEST(InputTimes, TheArrivalIsTheReadTimeIfNothingWasDelayed) {
  InputTimes times(0ms);
  times.record_read(ReadOutcome::drained, 100ms, 101ms, no_lag);
  EXPECT_EQ(times.arrived(), TimePoint{100ms});
  EXPECT_EQ(times.drained_at(), TimePoint{100ms});
}

// Guards against computing a client's deadline from the time of the read if accept or the event loop was
// delayed.
TEST(InputTimes, TheArrivalIsEarlierByTheDelayOfAcceptOrTheEventLoop) {
  InputTimes delayed_accept(300ms);
  delayed_accept.record_read(ReadOutcome::drained, 1000ms, 1000ms, no_lag);
  EXPECT_EQ(delayed_accept.arrived(), TimePoint{700ms});

  InputTimes delayed_loop(0ms);
  delayed_loop.record_read(ReadOutcome::drained, 1000ms, 1000ms, 200ms);
  EXPECT_EQ(delayed_loop.arrived(), TimePoint{800ms});
}

// Guards against granting a request the time that its connection was not read for lack of memory.
TEST(InputTimes, TheArrivalIsAtTheBeginningOfAPause) {
  InputTimes times(0ms);
  times.record_read(ReadOutcome::drained, 1000ms, 1000ms, no_lag);
  times.record_pause(1200ms, 50ms);
  times.record_read(ReadOutcome::more_possible, 3000ms, 3000ms, no_lag);
  EXPECT_EQ(times.arrived(), TimePoint{1150ms});
  times.record_read(ReadOutcome::drained, 3001ms, 3001ms, no_lag);
  EXPECT_EQ(times.arrived(), TimePoint{1150ms});
  times.record_read(ReadOutcome::drained, 3100ms, 3100ms, no_lag);
  EXPECT_EQ(times.arrived(), TimePoint{3100ms});
}

TEST(PartialMessage, APauseDoesNotCountButShortensTheWaitForWhatDoesNotGoOn) {
  PartialMessage message;
  message.record_input(true, false, 1000ms);
  message.record_pause(1000ms, 2500ms);
  message.record_input(true, false, 2500ms);  // what was sent during the pause
  EXPECT_FALSE(message.is_overdue(3000ms));
  EXPECT_TRUE(message.is_overdue(3001ms));

  message.record_input(true, false, 2900ms);  // goes on
  EXPECT_FALSE(message.is_overdue(4900ms));
  EXPECT_TRUE(message.is_overdue(4901ms));
  for (auto received = 3000ms; received <= 8000ms; received += 1000ms)
    message.record_input(true, false, received);
  EXPECT_FALSE(message.is_overdue(8500ms));
  EXPECT_TRUE(message.is_overdue(8501ms));  // 6 s and the pause
}

TEST(InputTimes, TheArrivalIsNotBeforeTheInputWasLastDrained) {
  InputTimes times(300ms);
  times.record_read(ReadOutcome::drained, 1000ms, 1000ms, no_lag);
  times.record_read(ReadOutcome::more_possible, 1100ms, 1100ms, 500ms);
  EXPECT_EQ(times.arrived(), TimePoint{1000ms});
}

// Guards against timing input from the first successful read if earlier reads failed while it was available.
TEST(InputTimes, TheArrivalCountsFromTheFirstFailedRead) {
  InputTimes times(0ms);
  times.record_read(ReadOutcome::drained, 1000ms, 1000ms, no_lag);
  times.record_read(ReadOutcome::failing, 1200ms, 1200ms, 50ms);
  times.record_read(ReadOutcome::failing, 1400ms, 1400ms, no_lag);
  times.record_read(ReadOutcome::drained, 1600ms, 1600ms, no_lag);
  EXPECT_EQ(times.arrived(), TimePoint{1150ms});

  times.record_read(ReadOutcome::drained, 1700ms, 1700ms, no_lag);
  EXPECT_EQ(times.arrived(), TimePoint{1700ms});
}

TEST(PartialMessage, IsOverdueIfItsRemainderIsMissingOrTooSlow) {
  PartialMessage message;
  EXPECT_FALSE(message.is_overdue(100s));
  message.record_input(true, false, 1s);
  EXPECT_FALSE(message.is_overdue(3s));
  EXPECT_TRUE(message.is_overdue(3100ms));

  for (const TimePoint received : {2s, 3s, 4s, 5s, 6s, 7s}) message.record_input(true, false, received);
  EXPECT_FALSE(message.is_overdue(7s));
  EXPECT_TRUE(message.is_overdue(7100ms));
}

TEST(PartialMessage, RestartsItsTimeLimitsAfterACompleteMessage) {
  PartialMessage message;
  message.record_input(true, false, 1s);
  message.record_input(true, true, 6900ms);
  EXPECT_FALSE(message.is_overdue(7100ms));
  message.record_input(false, true, 7s);
  EXPECT_FALSE(message.exists());
}

}  // namespace
}  // namespace paddlestand::platform

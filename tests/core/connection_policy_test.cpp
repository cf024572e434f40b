// Classification of failed system calls, and policies for connections.
#include "core/connection_policy.hpp"

#include <gtest/gtest.h>

#include <cerrno>

#include "core/recent_stops.hpp"

namespace paddlestand::core {
namespace {

using namespace std::chrono_literals;

TEST(CallVerdicts, InterruptedCallIsRetriedAtOnce) {
  for (int call = 0; call <= static_cast<int>(SystemCall::read_file); ++call)
    EXPECT_EQ(verdict_of(static_cast<SystemCall>(call), EINTR), CallVerdict::retry_now) << call;
}

TEST(CallVerdicts, ResourceShortageIsRetriedLater) {
  for (const int error : {EMFILE, ENFILE, ENOBUFS, ENOMEM}) {
    for (int call = 0; call <= static_cast<int>(SystemCall::read_file); ++call)
      EXPECT_EQ(verdict_of(static_cast<SystemCall>(call), error), CallVerdict::retry_later) << call << error;
  }
}

TEST(CallVerdicts, BrokenConnectionHasEnded) {
  for (const int error : {ECONNRESET, EPIPE, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, EBADF, ENOTCONN}) {
    for (const SystemCall call : {SystemCall::receive, SystemCall::send})
      EXPECT_EQ(verdict_of(call, error), CallVerdict::ended) << error;
  }
}

TEST(CallVerdicts, BlockedCallWaitsUntilReady) {
  EXPECT_EQ(verdict_of(SystemCall::receive, EAGAIN), CallVerdict::wait_until_ready);
  EXPECT_EQ(verdict_of(SystemCall::send, EAGAIN), CallVerdict::wait_until_ready);
  EXPECT_EQ(verdict_of(SystemCall::accept, EAGAIN), CallVerdict::wait_until_ready);
}

TEST(CallVerdicts, AbortedConnectionDoesNotEndTheListener) {
  for (const int error : {ECONNABORTED, EPROTO, ENETDOWN, EHOSTUNREACH, ENETUNREACH, EPERM})
    EXPECT_EQ(verdict_of(SystemCall::accept, error), CallVerdict::retry_now) << error;
  EXPECT_EQ(verdict_of(SystemCall::accept, EBADF), CallVerdict::ended);
}

TEST(CallVerdicts, LocalConnectErrorIsNotARefusal) {
  for (const int error : {EADDRNOTAVAIL, ENETUNREACH, EAGAIN, EADDRINUSE})
    EXPECT_EQ(verdict_of(SystemCall::connect, error), CallVerdict::retry_later) << error;
  for (const int error : {ECONNREFUSED, ETIMEDOUT, EHOSTUNREACH, ECONNRESET})
    EXPECT_EQ(verdict_of(SystemCall::connect, error), CallVerdict::refused) << error;
}

TEST(CallVerdicts, BindToAnAddressInUseIsRetriedLater) {
  EXPECT_EQ(verdict_of(SystemCall::bind, EADDRINUSE), CallVerdict::retry_later);
  EXPECT_EQ(verdict_of(SystemCall::bind, EACCES), CallVerdict::ended);
}

TEST(Dispatch, NothingIsDispatchedForADisconnectedOrTimedOutClient) {
  EXPECT_EQ(may_dispatch({true, 1ms, 1s}), DispatchDecision::dispatch);
  EXPECT_EQ(may_dispatch({false, 1ms, 1s}), DispatchDecision::client_disconnected);
  EXPECT_EQ(may_dispatch({true, 1ms, 0s}), DispatchDecision::deadline_exceeded);
}

TEST(Dispatch, ClientThatWasNotReadRecentlyIsReadFirst) {
  EXPECT_EQ(may_dispatch({true, 300ms, 1s}), DispatchDecision::read_client_first);
  EXPECT_EQ(may_dispatch({true, 300ms, 1s, true}), DispatchDecision::dispatch);
  EXPECT_EQ(may_dispatch({true, 300ms, 0s, true}), DispatchDecision::deadline_exceeded);
  EXPECT_EQ(may_dispatch({false, 300ms, 1s, true}), DispatchDecision::client_disconnected);
}

TEST(Dispatch, EndpointEventsAreReadFirstAfterAStopOrALagOfTheLoop) {
  EXPECT_FALSE(must_read_endpoint_events({5s, 1ms, false}));
  EXPECT_FALSE(must_read_endpoint_events({1ms, 300ms, false}));
  EXPECT_TRUE(must_read_endpoint_events({300ms, 300ms, false}));
  EXPECT_TRUE(must_read_endpoint_events({1ms, 0ms, true}));
}

TEST(RecentStops, InputHasWaitedSinceTheFirstOfSeveralStopsInARow) {
  RecentStops stops;
  EXPECT_EQ(stops.delay(1s), 0s);

  stops.add(10s, 10250ms);
  stops.add(10260ms, 10510ms);

  EXPECT_EQ(stops.delay(10520ms), 520ms);
  EXPECT_EQ(stops.delay(10600ms), 0s);
}

TEST(RecentStops, AStopLongAfterAnotherOneIsCountedAlone) {
  RecentStops stops;

  stops.add(10s, 10250ms);
  stops.add(11s, 11250ms);

  EXPECT_EQ(stops.delay(11260ms), 260ms);
}

TEST(Close, OnlyAnIdleConnectionMayBeClosed) {
  EXPECT_EQ(may_close({0, 0, true, false}), CloseDecision::close);
  EXPECT_EQ(may_close({1, 0, true, false}), CloseDecision::has_open_requests);
  EXPECT_EQ(may_close({0, 9, true, false}), CloseDecision::has_unsent_answers);
  EXPECT_EQ(may_close({0, 0, true, true}), CloseDecision::has_unread_input);
}

TEST(Close, ConnectionWhoseInputIsUnknownMayNotBeClosed) {
  EXPECT_EQ(may_close({0, 0, false, false}), CloseDecision::has_unread_input);
}

TEST(Violations, AreCountedByKindAndTheFirstOfAKindIsReported) {
  ViolationCounter counter;

  EXPECT_TRUE(counter.add(Violation::deadline_after_client_timeout));
  EXPECT_FALSE(counter.add(Violation::deadline_after_client_timeout));
  EXPECT_TRUE(counter.add(Violation::sent_after_disconnect));
  EXPECT_EQ(counter.count(Violation::deadline_after_client_timeout), 2U);
  EXPECT_EQ(counter.total(), 3U);
}

}  // namespace
}  // namespace paddlestand::core

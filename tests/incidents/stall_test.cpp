/// Guards against granting an engine more time than the client of its request has left, after the manager's
/// process was stopped for a short time.
///
/// In one of 50 fault runs with short stops and failing accept calls, an engine was granted 172 ms more than
/// the client's remaining time, 22 ms beyond the tolerance. A client connected and sent its request while the
/// manager was stopped; it was the first request on its connection. The manager was resumed 173 ms later,
/// accept failed, and succeeded after another 75 ms. Of the 248 ms between the request and its arrival at the
/// engine the manager counted only 75 ms, the time since it was resumed: it computed the time in the accept
/// queue from the first failed accept, as if that call had been made in time. Failed reads had the same
/// defect. The event loop's lag at the first failure must be part of the wait. Runs without failing accept
/// calls stayed within the tolerance after stalls of the same length.
#include "incident_test.hpp"

namespace paddlestand::platform::test {
namespace {

constexpr std::uint64_t request_trace = 0x7700000000000003;
constexpr int requested_client_timeout_ms = 3000;
constexpr int slack_ms = 150;  // that an engine may be granted beyond the client's remaining time
// Times since the start of the manager. System calls with a fault rule fail from 1 s to 1.45 s.
constexpr auto stop_at = 950ms;
constexpr auto resume_at = 1250ms;

class StalledManager : public IncidentTest {
 protected:
  explicit StalledManager(const std::string& call_faults = "")
      : IncidentTest(1, {.call_faults = call_faults}) {}

  /// Serves requests sent at `requested_at` and checks that the engine is granted no more than the client's
  /// remaining time.
  FrameHandler check_deadlines(Clock::time_point requested_at) {
    return [this, requested_at](CountingEngine& engine, Connection& connection,
                                const engine_frames::Frame& frame) {
      if (is_command(frame, engine_frames::Command::request)) {
        const auto granted_ms =
            engine_frames::parse_count(engine_frames::field(frame.fields, "ms").value_or(""));
        const auto waited =
            std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - requested_at);
        EXPECT_LE(granted_ms.value_or(requested_client_timeout_ms),
                  requested_client_timeout_ms - waited.count() + slack_ms)
            << "waited " << waited.count() << " ms";
      }
      serve_request(engine, connection, frame);
    };
  }
  void expect_correct_deadline(RawClient& client, Clock::time_point requested_at) {
    EXPECT_EQ(outcome_while(client, check_deadlines(requested_at)), "served:a\tb\tc\n");
  }
};

TEST_F(StalledManager, GrantsAnEngineNoMoreThanTheClientsTime) {
  constexpr unsigned stalls = 6;
  for (unsigned i = 0; i < stalls; ++i) {
    const std::uint64_t id = request_trace + i;
    manager().stop();
    const auto requested_at = Clock::now();
    ASSERT_TRUE(client().wire().write(
        RawClient::request_line(next_number(), id, "report", "", requested_client_timeout_ms)));
    std::this_thread::sleep_for(300ms);
    manager().resume();
    expect_correct_deadline(client(), requested_at);
    // Varies the phase relative to the manager's timers.
    std::this_thread::sleep_for(std::chrono::milliseconds(17 * i));
  }
}

// A failure of another soak run: of four requests received in one read the manager forwarded two, was
// stopped, and forwarded the other two 278 ms later with the full client timeout. It counted the time from
// the handling of a request instead of from the read. This test stops the manager at many points of such
// turns of its event loop.
TEST_F(StalledManager, GrantsAnEngineNoMoreThanTheClientsTimeWhereverATurnIsInterrupted) {
  constexpr unsigned max_tries = 60;
  constexpr unsigned wanted_interruptions = 4;
  constexpr unsigned requests = 30;
  // Input read right after a stall counts as received before the stall.
  constexpr auto pause_between_tries = 100ms;
  constexpr auto stall = 250ms;
  // Time from sending the requests to the stop; adapts to the speed of the build and the machine.
  std::chrono::microseconds delay{100};
  auto send_together = [&, id = request_trace + 100]() mutable {
    std::string lines;
    for (unsigned k = 0; k < requests; ++k)
      lines += RawClient::request_line(next_number(), ++id, "report", "", requested_client_timeout_ms);
    EXPECT_TRUE(client().wire().write(lines));
    return Clock::now();
  };
  const auto expect_all_answered = [&](Clock::time_point requested_at) {
    for (unsigned k = 0; k < requests; ++k) expect_correct_deadline(client(), requested_at);
  };
  // Opens a connection for each request, so that later requests are forwarded without waiting for one.
  expect_all_answered(send_together());
  unsigned interruptions = 0;

  for (unsigned i = 0; i < max_tries && interruptions < wanted_interruptions; ++i) {
    std::this_thread::sleep_for(pause_between_tries);
    const auto requested_at = send_together();
    while (Clock::now() < requested_at + delay) {}  // busy-waits, since a sleep would take too long
    manager().stop();
    std::this_thread::sleep_for(stall);
    unsigned forwarded = 0;
    engine().poll([&](Connection& connection, const auto& frame) {
      serve_request(engine(), connection, frame);
      ++forwarded;
    });
    if (forwarded == 0) delay += delay / 4;
    if (forwarded == requests) delay -= delay / 4;
    if (forwarded > 0 && forwarded < requests) ++interruptions;
    manager().resume();
    expect_all_answered(requested_at);
  }
  EXPECT_EQ(interruptions, wanted_interruptions) << "turns that were interrupted";
}

class StalledManagerThatCannotAccept : public StalledManager {
 protected:
  StalledManagerThatCannotAccept() : StalledManager("accept ENFILE 1 1 1.45") {}
};

TEST_F(StalledManagerThatCannotAccept, GrantsAnEngineNoMoreThanTheClientsTime) {
  sleep_until(stop_at);
  manager().stop();
  const auto requested_at = Clock::now();
  RawClient new_client(manager().port());
  ASSERT_TRUE(new_client.wire().write(
      RawClient::request_line(1, request_trace, "report", "", requested_client_timeout_ms)));

  sleep_until(resume_at);
  manager().resume();
  expect_correct_deadline(new_client, requested_at);
  EXPECT_EQ(manager().count_logged("accept_failed"), 1U) << manager().log();
}

class StalledManagerThatCannotRead : public StalledManager {
 protected:
  StalledManagerThatCannotRead() : StalledManager("recv ENOMEM 1 1 1.45") {}
};

TEST_F(StalledManagerThatCannotRead, GrantsAnEngineNoMoreThanTheClientsTime) {
  sleep_until(stop_at);
  manager().stop();
  const auto requested_at = Clock::now();
  ASSERT_TRUE(client().wire().write(
      RawClient::request_line(next_number(), request_trace, "report", "", requested_client_timeout_ms)));

  sleep_until(resume_at);
  manager().resume();
  expect_correct_deadline(client(), requested_at);
}

}  // namespace
}  // namespace paddlestand::platform::test

// What was seen: an engine was granted 172 ms more than the client of its request still had, 22 ms beyond the
// tolerance, in one of fifty fault runs in which managers were stopped for a moment and accepting failed.
//
// The order of events:
//   1. the manager is stopped; a client connects and sends its request;
//   2. the manager is resumed, 173 ms later, and accept fails;
//   3. accept succeeds, 75 ms later: the connection is accepted, the request is read and forwarded.
//
// The cause: how long a connection may have waited in the queue was counted from the first failed accept, as
// if that had been made in time. The same for reading that fails. What the loop was behind at the first
// failure belongs to the wait.
//
// The evidence: of 248 ms between the request and its arrival at the engine the manager counted 75, the time
// since it went on by its log; the request was the first on its connection; runs without failing accepts keep
// the slack behind stalls of the same length.
#include "incident_test.hpp"

namespace paddlestand::platform::test {
namespace {

constexpr std::uint64_t request_trace = 0x7700000000000003;
constexpr int requested_client_timeout_ms = 3000;
constexpr int slack_ms = 150;

class StalledManager : public IncidentTest {
 protected:
  explicit StalledManager(const std::string& call_faults = "")
      : IncidentTest(1, {.call_faults = call_faults}) {}

  // Serves requests sent at `requested_at`, and checks the time granted to the engine against the client's.
  OnFrame check_deadlines(Clock::time_point requested_at) {
    return [this, requested_at](CountingEngine& engine, Connection& connection,
                                const engine_frames::Frame& frame) {
      if (frame.code == static_cast<std::uint8_t>(engine_frames::Command::request)) {
        const auto granted_ms =
            engine_frames::count_in(engine_frames::field(frame.fields, "ms").value_or(""));
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
    std::this_thread::sleep_for(std::chrono::milliseconds(17 * i));  // at another distance from what is due
  }
}

// Another soak run, of the same kind: of four requests that came in one read the manager sent two on, was
// stopped, and sent the others on 278 ms later with all of their clients' time. It reckoned from when it
// acted on a request, not from when it had read it. Stopped here at many points of such turns.
TEST_F(StalledManager, GrantsAnEngineNoMoreThanTheClientsTimeWhereverATurnIsInterrupted) {
  constexpr unsigned max_tries = 60, wanted_interruptions = 4, requests = 30;
  // After the requests; adapts to the speed of the build and the machine.
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
  expect_all_answered(
      send_together());  // a connection for each is open from here on, and requests go out at once
  unsigned interruptions = 0;

  for (unsigned i = 0; i < max_tries && interruptions < wanted_interruptions; ++i) {
    std::this_thread::sleep_for(
        100ms);  // input that is read right after a stall counts as received before it
    const auto requested_at = send_together();
    while (Clock::now() < requested_at + delay) {}  // a sleep would be too long
    manager().stop();
    std::this_thread::sleep_for(250ms);
    unsigned sent = 0;
    engine().poll([&](Connection& connection, const auto& frame) {
      serve_request(engine(), connection, frame);
      ++sent;
    });
    if (sent == 0) delay += delay / 4;
    if (sent == requests) delay -= delay / 4;
    interruptions += sent > 0 && sent < requests ? 1 : 0;
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
  sleep_until(950ms);
  manager().stop();
  const auto requested_at = Clock::now();
  RawClient new_client(manager().port());
  ASSERT_TRUE(new_client.wire().write(
      RawClient::request_line(1, request_trace, "report", "", requested_client_timeout_ms)));

  sleep_until(1250ms);
  manager().resume();
  expect_correct_deadline(new_client, requested_at);
  EXPECT_EQ(manager().count_logged("accept_failed"), 1U) << manager().log();
}

class StalledManagerThatCannotRead : public StalledManager {
 protected:
  StalledManagerThatCannotRead() : StalledManager("recv ENOMEM 1 1 1.45") {}
};

TEST_F(StalledManagerThatCannotRead, GrantsAnEngineNoMoreThanTheClientsTime) {
  sleep_until(950ms);
  manager().stop();
  const auto requested_at = Clock::now();
  ASSERT_TRUE(client().wire().write(
      RawClient::request_line(next_number(), request_trace, "report", "", requested_client_timeout_ms)));

  sleep_until(1250ms);
  manager().resume();
  expect_correct_deadline(client(), requested_at);
}

}  // namespace
}  // namespace paddlestand::platform::test

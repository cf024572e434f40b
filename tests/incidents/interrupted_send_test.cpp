/// Incident: the manager's process is stopped between the decision to send an attempt and the system call
/// that sends it (docs/incidents/038-stopped-before-a-send.md). Here it is stopped exactly there, by
/// call_faults.
#include <thread>

#include "incident_test.hpp"

namespace paddlestand::platform::test {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t first_trace = 0x7800000000000000;
constexpr int requested_client_timeout_ms = 3000;
constexpr int slack_ms = 150;  // that an engine may be granted beyond its client's time
constexpr auto shortest_interruption = 240ms;  // of a stop for 250 ms
constexpr auto longest_test = 60s;  // until so many rounds were interrupted

class InterruptedManager : public IncidentTest {
 protected:
  explicit InterruptedManager(const std::string& call_faults)
      : IncidentTest(1, {.call_faults = call_faults}) {}

  void SetUp() override {
    IncidentTest::SetUp();
    open_connections();
    ASSERT_NO_FATAL_FAILURE(serve_until_first_interruption());
  }

  std::uint64_t next_trace() { return ++last_trace_; }

  /// Serves requests sent at `requested_at`, and checks the time granted to the engine against the client's.
  OnFrame check_deadlines(Clock::time_point requested_at) {
    return [requested_at](CountingEngine& engine, Connection& connection, const engine_frames::Frame& frame) {
      if (is(frame, engine_frames::Command::request)) {
        const auto granted_ms =
            engine_frames::parse_count(engine_frames::field(frame.fields, "ms").value_or(""));
        const auto waited =
            std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - requested_at);
        EXPECT_LE(granted_ms.value_or(requested_client_timeout_ms),
                  requested_client_timeout_ms - waited.count() + slack_ms)
            << "waited " << waited.count() << " ms";
      }
      serve_frame(engine, connection, frame);
    };
  }

  /// Sends so many requests together, again and again, until so many of these rounds were interrupted.
  void expect_correct_deadlines(int requests, int wanted_interruptions) {
    const auto end = Clock::now() + longest_test;
    int interruptions = 0;
    while (Clock::now() < end && interruptions < wanted_interruptions) {
      std::string lines;
      for (int i = 0; i < requests; ++i) {
        lines +=
            RawClient::request_line(next_number(), next_trace(), "report", "", requested_client_timeout_ms);
      }
      const auto requested_at = Clock::now();
      ASSERT_TRUE(client().wire().write(lines));
      for (int i = 0; i < requests; ++i) {
        ASSERT_EQ(outcome_while(client(), check_deadlines(requested_at)), "served:a\tb\tc\n")
            << manager().log();
      }
      if (Clock::now() - requested_at > shortest_interruption) ++interruptions;
    }
    EXPECT_EQ(interruptions, wanted_interruptions) << "rounds that were interrupted";
    EXPECT_EQ(manager().count_logged("violation"), 0U) << manager().log();
  }

  /// Serves the engine until the manager is stopped. False: it was not, or not for long enough to act.
  bool serve_until_stopped(RawClient& client) {
    const auto end = Clock::now() + 300ms;
    while (Clock::now() < end && client.outcome(1) == "nothing") {
      if (manager().is_stopped()) return true;
      poll_engine();
    }
    return false;
  }
  void serve_for(Duration time) {
    const auto end = Clock::now() + time;
    while (Clock::now() < end) poll_engine();
  }

 private:
  /// Serves requests and answers probes: an engine that was ejected would otherwise never be readmitted.
  static void serve_frame(CountingEngine& engine, Connection& connection, const engine_frames::Frame& frame) {
    const bool is_probe =
        is(frame, engine_frames::Command::ping) || is(frame, engine_frames::Command::status);
    if (is_probe) engine.answer(connection, engine_frames::Reply::healthy, frame.id);
    serve_request(engine, connection, frame);
  }
  void poll_engine() {
    engine().poll(
        [&](Connection& connection, const auto& frame) { serve_frame(engine(), connection, frame); });
  }

  /// The rules of call_faults hold from some time after the start on. Until then no client leaves: each
  /// request that a client leaves behind costs a connection, and many at once overflow the engine's queue.
  void serve_until_first_interruption() {
    const auto end = Clock::now() + longest_test;
    Duration took{};
    while (took < shortest_interruption) {
      ASSERT_LT(Clock::now(), end) << "the manager was not stopped\n" << manager().log();
      const auto requested_at = Clock::now();
      client().send_request(next_number(), next_trace());
      ASSERT_EQ(outcome_while(client(), serve_frame), "served:a\tb\tc\n");
      took = Clock::now() - requested_at;
    }
  }

  /// From here on a connection for each of some requests is open, and requests are forwarded at once.
  void open_connections() {
    constexpr int requests = 20;
    for (int i = 0; i < requests; ++i) client().send_request(next_number(), next_trace());
    for (int i = 0; i < requests; ++i) ASSERT_EQ(outcome_while(client(), serve_request), "served:a\tb\tc\n");
  }

  std::uint64_t last_trace_ = first_trace;
};

class StoppedBeforeARequest : public InterruptedManager {
 protected:
  StoppedBeforeARequest() : InterruptedManager("send_request stop:250 0.2 1.5 1e9") {}
  explicit StoppedBeforeARequest(const std::string& call_faults) : InterruptedManager(call_faults) {}

  using Leave = std::function<void(RawClient&, const std::vector<std::uint64_t>& traces)>;

  /// Sends requests together, each time on a new connection. Where the manager is then stopped, their client
  /// leaves: no further one of them may begin.
  void expect_nothing_begun_after(std::size_t requests, const Leave& leave) {
    constexpr int wanted_interruptions = 5;
    const auto end = Clock::now() + longest_test;
    int interruptions = 0;
    while (Clock::now() < end && interruptions < wanted_interruptions) {
      RawClient leaving_client(manager().port());
      const std::vector<std::uint64_t> traces = send_together(leaving_client, requests);
      if (!serve_until_stopped(leaving_client)) continue;
      serve_for(20ms);  // what had begun before the stop
      const std::size_t begun_before = count_begun(traces);
      leave(leaving_client, traces);
      if (!manager().is_stopped()) continue;
      if (begun_before < requests) ++interruptions;
      serve_for(600ms);
      EXPECT_EQ(count_begun(traces), begun_before) << "begun in all\n" << manager().log();
    }
    EXPECT_EQ(interruptions, wanted_interruptions) << "clients that left during a stop";
  }

 private:
  std::vector<std::uint64_t> send_together(RawClient& client, std::size_t requests) {
    std::vector<std::uint64_t> traces;
    std::string lines;
    for (std::size_t i = 0; i < requests; ++i) {
      traces.push_back(next_trace());
      lines += RawClient::request_line(static_cast<int>(traces.size()), traces.back());
    }
    EXPECT_TRUE(client.wire().write(lines));
    return traces;
  }
  std::size_t count_begun(const std::vector<std::uint64_t>& traces) {
    std::size_t begun = 0;
    for (const std::uint64_t trace : traces) begun += engine().attempts_started(trace);
    return begun;
  }
};

// Guards against a deadline from before the stop.
TEST_F(StoppedBeforeARequest, GrantsAnEngineNoMoreThanTheClientsTime) { expect_correct_deadlines(1, 5); }

class StoppedWithinATurn : public StoppedBeforeARequest {
 protected:
  StoppedWithinATurn() : StoppedBeforeARequest("send_request stop:250 0.05 1.5 1e9") {}
};

// Guards against the same for requests that were read together and wait for each other.
TEST_F(StoppedWithinATurn, GrantsAnEngineNoMoreThanTheClientsTime) { expect_correct_deadlines(20, 5); }

// Guards against an attempt for a client that closed its connection during the stop.
TEST_F(StoppedBeforeARequest, BeginsNothingForAClientThatHasClosed) {
  expect_nothing_begun_after(1, [](RawClient& client, const auto&) { client.wire().close(); });
}

// Guards against the same for the other requests of one read.
TEST_F(StoppedBeforeARequest, BeginsNothingForAClientThatHasClosedWithSeveralRequestsOpen) {
  expect_nothing_begun_after(8, [](RawClient& client, const auto&) { client.wire().close(); });
}

// Guards against an attempt of a request that was cancelled during the stop.
TEST_F(StoppedBeforeARequest, BeginsNothingThatWasCancelled) {
  expect_nothing_begun_after(8, [](RawClient& client, const auto& traces) {
    std::string lines;
    for (const std::uint64_t trace : traces) lines += cancel_line(trace);
    EXPECT_TRUE(client.wire().write(lines));
  });
}

class StoppedInsideAFrame : public InterruptedManager {
 protected:
  StoppedInsideAFrame() : InterruptedManager("send stop:250 0.01 1.5 1e9; send short 0.9 1.5 1e9") {}
};

// Guards against a frame of which a part was sent before the stop, and the rest after it.
TEST_F(StoppedInsideAFrame, GrantsAnEngineNoMoreThanTheClientsTime) { expect_correct_deadlines(1, 5); }

}  // namespace
}  // namespace paddlestand::platform::test

/// Guards against acting on outdated state after a stop: the manager's process is stopped between the
/// decision to send an attempt and the system call that sends it
/// (docs/incidents/038-stopped-before-a-send.md). call_faults stops the process just before the call.
#include <thread>

#include "incident_test.hpp"

namespace paddlestand::platform::test {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t first_trace = 0x7800000000000000;
constexpr int requested_client_timeout_ms = 3000;
constexpr int tolerance_ms = 150;  // that an engine may be granted beyond the client's remaining time
constexpr auto min_interruption = 240ms;  // a stop lasts 250 ms
constexpr auto max_test_duration = 60s;  // limit for reaching the wanted number of interruptions

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

  /// Serves requests sent at `requested_at` and checks that the engine is granted no more than the client's
  /// remaining time.
  FrameHandler check_deadlines(Clock::time_point requested_at) {
    return [requested_at](CountingEngine& engine, Connection& connection, const engine_frames::Frame& frame) {
      if (is_command(frame, engine_frames::Command::request)) {
        const auto granted_ms =
            engine_frames::parse_count(engine_frames::field(frame.fields, "ms").value_or(""));
        const auto waited =
            std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - requested_at);
        EXPECT_LE(granted_ms.value_or(requested_client_timeout_ms),
                  requested_client_timeout_ms - waited.count() + tolerance_ms)
            << "waited " << waited.count() << " ms";
      }
      serve_frame(engine, connection, frame);
    };
  }

  /// Sends batches of `requests` requests until `wanted_interruptions` batches were interrupted by a stop.
  void expect_correct_deadlines(int requests, int wanted_interruptions) {
    const auto end = Clock::now() + max_test_duration;
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
      if (Clock::now() - requested_at > min_interruption) ++interruptions;
    }
    EXPECT_EQ(interruptions, wanted_interruptions) << "interrupted batches";
    EXPECT_EQ(manager().count_logged("violation"), 0U) << manager().log();
  }

  /// Polls the engine until the manager is stopped. Returns false if the client got an answer or 300 ms
  /// passed first.
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
  /// Serves requests and answers probes, without which an ejected engine would never be readmitted.
  static void serve_frame(CountingEngine& engine, Connection& connection, const engine_frames::Frame& frame) {
    const bool is_probe =
        is_command(frame, engine_frames::Command::ping) || is_command(frame, engine_frames::Command::status);
    if (is_probe) engine.answer(connection, engine_frames::Reply::healthy, frame.id);
    serve_request(engine, connection, frame);
  }
  void poll_engine() {
    engine().poll(
        [&](Connection& connection, const auto& frame) { serve_frame(engine(), connection, frame); });
  }

  /// Serves requests until a rule of call_faults has stopped the manager once; the rules apply only from some
  /// time after its start. Until then no client disconnects: each abandoned request costs a connection to the
  /// engine, and many at the same time would overflow the engine's accept queue.
  void serve_until_first_interruption() {
    const auto end = Clock::now() + max_test_duration;
    Duration duration{};
    while (duration < min_interruption) {
      ASSERT_LT(Clock::now(), end) << "the manager was not stopped\n" << manager().log();
      const auto requested_at = Clock::now();
      client().send_request(next_number(), next_trace());
      ASSERT_EQ(outcome_while(client(), serve_frame), "served:a\tb\tc\n");
      duration = Clock::now() - requested_at;
    }
  }

  /// Opens enough connections that the requests of the test are forwarded without waiting for a connection.
  void open_connections() {
    constexpr int requests = 20;
    for (int i = 0; i < requests; ++i) client().send_request(next_number(), next_trace());
    for (int i = 0; i < requests; ++i) ASSERT_EQ(outcome_while(client(), serve_request), "served:a\tb\tc\n");
  }

  std::uint64_t last_trace_ = first_trace;
};

class StoppedBeforeSend : public InterruptedManager {
 protected:
  StoppedBeforeSend() : InterruptedManager("send_request stop:250 0.2 1.5 1e9") {}
  explicit StoppedBeforeSend(const std::string& call_faults) : InterruptedManager(call_faults) {}

  using ClientAction = std::function<void(RawClient&, const std::vector<std::uint64_t>& traces)>;

  /// Sends batches of requests, each on a new connection. If the manager is stopped during a batch,
  /// `withdraw` closes the connection or cancels the requests: after that no further request of the batch may
  /// be sent to the engine.
  void expect_no_attempt_after(std::size_t requests, const ClientAction& withdraw) {
    constexpr int wanted_interruptions = 5;
    const auto end = Clock::now() + max_test_duration;
    int interruptions = 0;
    while (Clock::now() < end && interruptions < wanted_interruptions) {
      RawClient client(manager().port());
      const std::vector<std::uint64_t> traces = send_batch(client, requests);
      if (!serve_until_stopped(client)) continue;
      serve_for(20ms);  // serves the attempts sent before the stop
      const std::size_t started_before = count_attempts(traces);
      withdraw(client, traces);
      if (!manager().is_stopped()) continue;
      if (started_before < requests) ++interruptions;
      serve_for(600ms);
      EXPECT_EQ(count_attempts(traces), started_before) << "attempts started\n" << manager().log();
    }
    EXPECT_EQ(interruptions, wanted_interruptions) << "batches withdrawn during a stop";
  }

 private:
  std::vector<std::uint64_t> send_batch(RawClient& client, std::size_t requests) {
    std::vector<std::uint64_t> traces;
    std::string lines;
    for (std::size_t i = 0; i < requests; ++i) {
      traces.push_back(next_trace());
      lines += RawClient::request_line(static_cast<int>(traces.size()), traces.back());
    }
    EXPECT_TRUE(client.wire().write(lines));
    return traces;
  }
  std::size_t count_attempts(const std::vector<std::uint64_t>& traces) {
    std::size_t attempts = 0;
    for (const std::uint64_t trace : traces) attempts += engine().attempts_started(trace);
    return attempts;
  }
};

// The deadline must be computed after the stop.
TEST_F(StoppedBeforeSend, GrantsAnEngineNoMoreThanTheClientsTime) { expect_correct_deadlines(1, 5); }

class StoppedWithinALoopTurn : public StoppedBeforeSend {
 protected:
  StoppedWithinALoopTurn() : StoppedBeforeSend("send_request stop:250 0.05 1.5 1e9") {}
};

// The deadline of each request must also be computed after the stop if several requests were read together
// and the stop falls between sending two of them.
TEST_F(StoppedWithinALoopTurn, GrantsAnEngineNoMoreThanTheClientsTime) { expect_correct_deadlines(20, 5); }

// No attempt may be sent for a client that closed its connection during the stop.
TEST_F(StoppedBeforeSend, SendsNoAttemptForAClosedClient) {
  expect_no_attempt_after(1, [](RawClient& client, const auto&) { client.wire().close(); });
}

// Several requests of a client are read together, and the client closes its connection during the stop: none
// of those that were not sent before the stop may be sent.
TEST_F(StoppedBeforeSend, SendsNoAttemptForAClosedClientWithSeveralOpenRequests) {
  expect_no_attempt_after(8, [](RawClient& client, const auto&) { client.wire().close(); });
}

// No attempt may be sent for a request that was cancelled during the stop.
TEST_F(StoppedBeforeSend, SendsNoAttemptForACancelledRequest) {
  expect_no_attempt_after(8, [](RawClient& client, const auto& traces) {
    std::string lines;
    for (const std::uint64_t trace : traces) lines += cancel_line(trace);
    EXPECT_TRUE(client.wire().write(lines));
  });
}

class StoppedWithinAFrame : public InterruptedManager {
 protected:
  StoppedWithinAFrame() : InterruptedManager("send stop:250 0.01 1.5 1e9; send short 0.9 1.5 1e9") {}
};

// Short sends write one part of a frame before the stop. Its granted time was computed then and is outdated
// after the stop, so an engine must not receive it with the remaining part.
TEST_F(StoppedWithinAFrame, GrantsAnEngineNoMoreThanTheClientsTime) { expect_correct_deadlines(1, 5); }

}  // namespace
}  // namespace paddlestand::platform::test

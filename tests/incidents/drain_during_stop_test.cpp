/// Guards against requests to a draining engine after the drain grace. An engine begins to drain while the
/// manager's process is stopped, and the stop lasts longer than the drain grace: after the manager is
/// resumed, it must not send requests to this engine (docs/incidents/038-stopped-before-a-send.md).
#include <thread>

#include "incident_test.hpp"

namespace paddlestand::platform::test {
namespace {

using namespace std::chrono_literals;

constexpr EngineId draining_engine = 1;
constexpr std::uint64_t first_trace = 0x7900000000000000;
constexpr int requests = 16;  // enough that each engine receives some of them
constexpr std::uint64_t first_event = 2;  // event 1 is part of the configuration
constexpr auto stop_time = 500ms;  // the drain grace is 250 ms
// From 1.5 s after the start on, call_faults decides at random before each sent request whether to stop.
constexpr auto max_wait_for_stop = 30s;

class DrainDuringStop : public IncidentTest {
 protected:
  explicit DrainDuringStop(const std::string& call_faults = "")
      : IncidentTest(2, {.call_faults = call_faults}) {}

  void SetUp() override {
    IncidentTest::SetUp();
    discovery_peer_ = std::make_unique<DiscoveryPeer>(discovery_server());
    send_requests();  // opens a connection for each of them
    expect_all_served(serve_request);
  }

  void send_requests() {
    std::string lines;
    for (int i = 0; i < requests; ++i) lines += RawClient::request_line(next_number(), ++last_trace_);
    ASSERT_TRUE(client().wire().write(lines));
    open_requests_ = requests;
  }
  void expect_all_served(const FrameHandler& on_frame) {
    for (; open_requests_ > 0; --open_requests_)
      EXPECT_EQ(outcome_while(client(), on_frame), "served:a\tb\tc\n");
  }
  void drain() {
    discovery_peer_->send_event(first_event,
                                {engine_record(draining_engine, engine(0).port(), EngineState::draining)});
  }
  /// Serves every request and reports an error if the draining engine receives one.
  FrameHandler expect_none_at_draining_engine() {
    return [this](CountingEngine& engine, Connection& connection, const engine_frames::Frame& frame) {
      if (is_command(frame, engine_frames::Command::request)) {
        EXPECT_NE(&engine, &this->engine(0)) << "sent to the draining engine\n" << manager().log();
      }
      serve_request(engine, connection, frame);
    };
  }
  /// Sends batches of requests until the manager is stopped while requests are open. Returns false after
  /// max_wait_for_stop.
  bool send_until_stopped() {
    const auto end = Clock::now() + max_wait_for_stop;
    while (Clock::now() < end) {
      send_requests();
      for (int answered = 0; answered < requests;) {
        if (manager().is_stopped()) {
          open_requests_ = requests - answered;
          return true;
        }
        serve_for(1ms);
        const std::string outcome = client().outcome(1);
        if (outcome == "nothing") continue;
        EXPECT_EQ(outcome, "served:a\tb\tc\n");
        ++answered;
      }
    }
    return false;
  }
  void serve_for(Duration time) {
    const auto end = Clock::now() + time;
    run_until([&] { return Clock::now() >= end; }, serve_request);
  }

 private:
  std::unique_ptr<DiscoveryPeer> discovery_peer_;
  std::uint64_t last_trace_ = first_trace;
  int open_requests_ = 0;
};

// Requests and then the drain event arrive during the stop: the event must be applied before the requests are
// sent.
TEST_F(DrainDuringStop, RequestsReceivedInTheSameStopAreNotSentToTheDrainingEngine) {
  manager().stop();
  send_requests();
  std::this_thread::sleep_for(1ms);
  drain();
  std::this_thread::sleep_for(stop_time);
  manager().resume();
  expect_all_served(expect_none_at_draining_engine());
}

class DrainDuringStopBeforeSend : public DrainDuringStop {
 protected:
  DrainDuringStopBeforeSend() : DrainDuringStop("send_request stop:500 0.3 1.5 1e9") {}
};

// The engine of an attempt was chosen before the stop and drains during it: the attempt must not be sent to
// it.
TEST_F(DrainDuringStopBeforeSend, NoRequestIsSentToTheDrainingEngine) {
  ASSERT_TRUE(send_until_stopped());
  serve_for(20ms);  // serves the requests sent before the stop
  drain();
  expect_all_served(expect_none_at_draining_engine());
}

}  // namespace
}  // namespace paddlestand::platform::test

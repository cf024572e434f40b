/// Incident: an engine begins to drain while the manager's process is stopped
/// (docs/incidents/038-stopped-before-a-send.md). The stop outlasts the drain grace: once the manager runs
/// again it may send the engine nothing.
#include <thread>

#include "incident_test.hpp"

namespace paddlestand::platform::test {
namespace {

using namespace std::chrono_literals;

constexpr EngineId draining_engine = 1;
constexpr std::uint64_t first_trace = 0x7900000000000000;
constexpr int requests = 16;  // some of them for each engine
constexpr std::uint64_t first_event = 2;  // the configuration holds the one before
constexpr auto stop_time = 500ms;  // the drain grace is 250 ms
constexpr auto longest_wait =
    30s;  // for a stop: it is drawn for each request, from some time after the start on

class TwoEnginesOfWhichOneDrains : public IncidentTest {
 protected:
  explicit TwoEnginesOfWhichOneDrains(const std::string& call_faults = "")
      : IncidentTest(2, {.call_faults = call_faults}) {}

  void SetUp() override {
    IncidentTest::SetUp();
    discovery_peer_ = std::make_unique<DiscoveryPeer>(discovery_server());
    send_requests();  // from here on a connection for each of them is open
    expect_all_served(serve_request);
  }

  void send_requests() {
    std::string lines;
    for (int i = 0; i < requests; ++i) lines += RawClient::request_line(next_number(), ++last_trace_);
    ASSERT_TRUE(client().wire().write(lines));
    open_requests_ = requests;
  }
  void expect_all_served(const OnFrame& on_frame) {
    for (; open_requests_ > 0; --open_requests_)
      EXPECT_EQ(outcome_while(client(), on_frame), "served:a\tb\tc\n");
  }
  void drain() {
    discovery_peer_->send_event(first_event,
                                {engine_record(draining_engine, engine(0).port(), EngineState::draining)});
  }
  /// Serves every request, none of which the draining engine may get.
  OnFrame expect_none_at_draining_engine() {
    return [this](CountingEngine& engine, Connection& connection, const engine_frames::Frame& frame) {
      if (is(frame, engine_frames::Command::request)) {
        EXPECT_NE(&engine, &this->engine(0)) << "sent to the engine that drains\n" << manager().log();
      }
      serve_request(engine, connection, frame);
    };
  }
  /// Sends requests, again once all are served, until the manager is stopped with some of them open.
  bool send_until_stopped() {
    const auto end = Clock::now() + longest_wait;
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

// Guards against acting on requests before the list of engines, where the requests arrived first.
TEST_F(TwoEnginesOfWhichOneDrains, GetNoRequestThatArrivedDuringTheSameStop) {
  manager().stop();
  send_requests();
  std::this_thread::sleep_for(1ms);
  drain();
  std::this_thread::sleep_for(stop_time);
  manager().resume();
  expect_all_served(expect_none_at_draining_engine());
}

class StoppedBeforeARequestToOneThatDrains : public TwoEnginesOfWhichOneDrains {
 protected:
  StoppedBeforeARequestToOneThatDrains() : TwoEnginesOfWhichOneDrains("send_request stop:500 0.3 1.5 1e9") {}
};

// Guards against sending to the engine that was chosen before the stop.
TEST_F(StoppedBeforeARequestToOneThatDrains, GetsNoRequest) {
  ASSERT_TRUE(send_until_stopped());
  serve_for(20ms);  // what was sent before the stop
  drain();
  expect_all_served(expect_none_at_draining_engine());
}

}  // namespace
}  // namespace paddlestand::platform::test

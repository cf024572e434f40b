/// Fixture of the incident tests: a manager in a separate process, engines that the test controls, and
/// clients. Single-threaded: the engines are polled while the test waits for a client's answer.
#pragma once

#include <chrono>
#include <deque>

#include "counting_engine.hpp"
#include "tests/platform/manager_process.hpp"

namespace paddlestand::platform::test {

/// Starts a manager with engines that have a history of successful answers, and one client. A test may create
/// more clients.
class IncidentTest : public ::testing::Test {
 protected:
  using Connection = CountingEngine::Connection;
  using Clock = std::chrono::steady_clock;
  using FrameHandler = std::function<void(CountingEngine&, Connection&, const engine_frames::Frame&)>;
  using Step = std::function<void(CountingEngine&, Connection&)>;

  /// The conditions under which the manager runs.
  struct Conditions {
    int receive_buffer = 0;  // bytes, for each connection of the engines; zero for the system default
    std::uint32_t max_descriptors = 256;  // limit of the manager
    std::uint32_t memory_mb = 64;  // limit of the manager
    std::uint32_t streams_per_connection = 8;
    std::string call_faults{};  // rules of tests/faults/call_faults.cpp for the manager's system calls
  };

  explicit IncidentTest(std::size_t engines) : IncidentTest(engines, Conditions{}) {}
  IncidentTest(std::size_t engines, Conditions conditions) : conditions_(std::move(conditions)) {
    for (std::size_t i = 0; i < engines; ++i) engines_.emplace_back(conditions_.receive_buffer);
  }

  void SetUp() override {
    const std::uint16_t port = free_port();
    std::vector<std::uint16_t> ports;
    for (const CountingEngine& current : engines_) ports.push_back(current.port());
    started_ = Clock::now();
    manager_ = std::make_unique<ManagerProcess>(
        process_config(ports, port, discovery_listener_.port(), conditions_.max_descriptors,
                       conditions_.streams_per_connection, conditions_.memory_mb),
        port, conditions_.call_faults);
    ASSERT_TRUE(manager_->ready());
    client_ = std::make_unique<RawClient>(port);
    establish_success_history();
  }

  /// Serves some requests. Without a history of successes a single error would eject the only engine.
  void establish_success_history() {
    constexpr int requests = 20;
    for (int i = 0; i < requests; ++i) {
      const int number = next_number();
      client_->send_request(number, 0x6600000000000000U + static_cast<unsigned>(number));
      ASSERT_EQ(outcome_while(*client_, serve_request), "served:a\tb\tc\n");
    }
  }
  /// Serves requests and ignores every other frame.
  static void serve_request(CountingEngine& engine, Connection& connection,
                            const engine_frames::Frame& frame) {
    if (is_command(frame, engine_frames::Command::request)) engine.serve(connection, frame.id);
  }

  /// Polls the engines until the client receives an answer, and returns it in the form of
  /// RawClient::outcome().
  std::string outcome_while(RawClient& client, const FrameHandler& on_frame) {
    std::string outcome = "nothing";
    const auto has_answer = [&] {
      outcome = client.outcome(1);
      return outcome != "nothing";
    };
    run_until(has_answer, on_frame);
    return outcome;
  }
  /// Polls the engines until `done` returns true. Returns false after client_timeout_ms.
  bool run_until(const std::function<bool()>& done, const FrameHandler& on_frame) {
    const auto end = Clock::now() + std::chrono::milliseconds(client_timeout_ms);
    while (!done()) {
      if (Clock::now() > end) return false;
      for (CountingEngine& current : engines_) {
        current.poll(
            [&](Connection& connection, const auto& frame) { on_frame(current, connection, frame); });
      }
      run_due_steps();
    }
    return true;
  }
  /// Runs a step on the given connection after a delay, if the connection is still open.
  void run_after(Duration delay, CountingEngine& engine, const Connection& connection, Step step) {
    due_steps_.emplace(Clock::now() + std::chrono::duration_cast<Clock::duration>(delay),
                       [&engine, number = connection.number, step = std::move(step)] {
                         if (Connection* same_connection = engine.find(number))
                           step(engine, *same_connection);
                       });
  }

  CountingEngine& engine(std::size_t i = 0) { return engines_[i]; }
  /// The maximum number of attempts of one request that were active at the same time on one engine.
  [[nodiscard]] std::size_t max_concurrent_attempts() const {
    std::size_t max = 0;
    for (const CountingEngine& current : engines_) max = std::max(max, current.max_concurrent_attempts());
    return max;
  }
  ManagerProcess& manager() { return *manager_; }
  RawClient& client() { return *client_; }
  Listener& discovery_server() { return discovery_listener_; }
  /// Returns the JSON-RPC id for the next request of client().
  int next_number() { return ++last_number_; }
  /// Sleeps until the given time since the start of the manager.
  void sleep_until(Duration since_start) const {
    std::this_thread::sleep_until(started_ + std::chrono::duration_cast<Clock::duration>(since_start));
  }

 private:
  void run_due_steps() {
    while (!due_steps_.empty() && due_steps_.begin()->first <= Clock::now()) {
      const auto step = std::move(due_steps_.begin()->second);
      due_steps_.erase(due_steps_.begin());
      step();
    }
  }

  Conditions conditions_;
  Clock::time_point started_;
  std::deque<CountingEngine> engines_;
  Listener discovery_listener_;
  std::unique_ptr<ManagerProcess> manager_;
  std::unique_ptr<RawClient> client_;
  std::multimap<Clock::time_point, std::function<void()>> due_steps_;
  int last_number_ = 0;
};

}  // namespace paddlestand::platform::test

/// Plays a new engine process at the address of one that has gone, killed or silent, with work on it, under
/// the old id or a new one. Work must neither go to the wrong process nor run twice.
#include <random>

#include "incident_test.hpp"
#include "large_requests.hpp"

namespace paddlestand::platform::test {
namespace {

enum class Departure : std::uint8_t { killed, silent };
enum class NewId : std::uint8_t { same, other };

struct Replacement {
  Departure departure{};
  NewId id{};
  unsigned seed = 0;
};

class ReusedAddress : public IncidentTest, public ::testing::WithParamInterface<Replacement> {
 protected:
  static constexpr std::uint64_t first_trace = 0x7f00000000000000;
  static constexpr int client_timeout = 3000;  // milliseconds
  ReusedAddress() : IncidentTest(3), random_(GetParam().seed) {}

  struct Request {
    std::uint64_t trace = 0;
    std::string method;
    RawClient client;
    std::vector<std::string> outcomes{};
  };

  std::size_t draw(std::size_t least, std::size_t most) {
    return std::uniform_int_distribution<std::size_t>(least, most)(random_);
  }
  void send_requests(std::size_t count) {
    static constexpr std::array<const char*, 3> methods{"report", "load", "settle"};
    for (std::size_t i = 0; i < count; ++i) {
      const std::uint64_t trace = first_trace + requests_.size();
      const std::string method = methods[draw(0, methods.size() - 1)];
      requests_.push_back({trace, method, RawClient(manager().port())});
      const std::string line = method == "load"
                                   ? load_line(1, trace, trace, 20, client_timeout)
                                   : RawClient::request_line(1, trace, method, "", client_timeout);
      EXPECT_TRUE(requests_.back().client.wire().write(line));
    }
  }
  /// Lets the given engines and the clients act for a while.
  void act_for(Clock::duration time, const std::vector<CountingEngine*>& engines,
               const FrameHandler& on_frame) {
    for (const auto end = Clock::now() + time; Clock::now() < end;) {
      for (CountingEngine* engine : engines) {
        engine->poll(
            [&](Connection& connection, const auto& frame) { on_frame(*engine, connection, frame); });
      }
      for (Request& request : requests_)
        if (request.client.wire().has_input()) read_outcome(request);
    }
  }
  /// Answers health checks and nothing else.
  static void hold_request(CountingEngine& engine, Connection& connection,
                           const engine_frames::Frame& frame) {
    const bool is_health_check =
        is_command(frame, engine_frames::Command::ping) || is_command(frame, engine_frames::Command::status);
    if (is_health_check) engine.answer(connection, engine_frames::Reply::healthy, frame.id);
  }
  static void serve_all(CountingEngine& engine, Connection& connection, const engine_frames::Frame& frame) {
    hold_request(engine, connection, frame);
    serve_request(engine, connection, frame);
  }
  /// Serves what is held on these engines.
  static void serve_held(const std::vector<CountingEngine*>& engines) {
    for (CountingEngine* engine : engines) engine->serve_all_active();
  }
  /// Announces the new process at the address of the first engine.
  void announce_replacement(const DiscoveryPeer& discovery, std::uint16_t port) const {
    constexpr EngineId old_id = 1;
    constexpr EngineId other_id = 9;
    auto ready = engine_record(GetParam().id == NewId::same ? old_id : other_id, port);
    ready.entry.started = std::chrono::system_clock::now().time_since_epoch();
    if (GetParam().id == NewId::other) {
      discovery.send_event(2, {engine_record(old_id, port, EngineState::removed), ready});
    } else {
      discovery.send_event(2, {ready});
    }
  }
  /// Leaves the new process as the only one that may get work.
  void drain_others(const DiscoveryPeer& discovery) {
    discovery.send_event(3, {engine_record(2, engine(1).port(), EngineState::draining),
                             engine_record(3, engine(2).port(), EngineState::draining)});
  }
  std::deque<Request>& requests() { return requests_; }

 private:
  static void read_outcome(Request& request) {
    const std::string outcome = request.client.outcome(1);
    if (outcome != "nothing") request.outcomes.push_back(outcome);
  }

  std::mt19937_64 random_;
  std::deque<Request> requests_;
};

// Guards against a new engine process that is taken for the one that had its address before.
TEST_P(ReusedAddress, WorkRunsOnceAndAtItsOwnProcess) {
  const DiscoveryPeer discovery(discovery_server());
  std::vector<CountingEngine*> engines{&engine(0), &engine(1), &engine(2)};
  send_requests(16);
  act_for(100ms, engines, hold_request);
  CountingEngine& gone = *engines.front();
  const std::uint16_t port = gone.port();
  gone.stop_listening();
  if (GetParam().departure == Departure::killed) gone.reset_connections();
  engines.erase(engines.begin());
  act_for(std::chrono::milliseconds(draw(0, 60)), engines, hold_request);
  CountingEngine successor(0, port);
  engines.push_back(&successor);
  act_for(std::chrono::milliseconds(draw(0, 60)), engines, hold_request);
  announce_replacement(discovery, port);
  send_requests(8);
  act_for(100ms, engines, hold_request);
  serve_held(engines);
  constexpr int later_rounds = 12;
  for (int round = 0; round < later_rounds; ++round) {
    send_requests(4);
    act_for(100ms, engines, serve_all);
  }
  drain_others(discovery);
  send_requests(4);
  act_for(3300ms, engines, serve_all);
  gone.poll([](Connection&, const engine_frames::Frame&) {});  // what was sent to it
  engines.push_back(&gone);

  for (const Request& request : requests()) {
    EXPECT_EQ(request.outcomes.size(), 1U) << request.method;
    std::size_t attempts = 0;
    for (const CountingEngine* engine : engines) attempts += engine->attempts_started(request.trace);
    if (request.method == "settle") { EXPECT_LE(attempts, 1U); }
  }
  for (const CountingEngine* engine : engines) {
    EXPECT_LE(engine->max_concurrent_attempts(), 1U);
    EXPECT_EQ(engine->commands_for_unknown_requests(), 0U);
  }
  EXPECT_GT(successor.last_connection(), 0U);
  EXPECT_EQ(manager().count_logged("violation"), 0U);
}

INSTANTIATE_TEST_SUITE_P(Replacements, ReusedAddress,
                         ::testing::Values(Replacement{Departure::killed, NewId::same, 1},
                                           Replacement{Departure::killed, NewId::other, 2},
                                           Replacement{Departure::silent, NewId::same, 3},
                                           Replacement{Departure::silent, NewId::other, 4},
                                           Replacement{Departure::silent, NewId::same, 5},
                                           Replacement{Departure::killed, NewId::same, 6}),
                         [](const auto& info) {
                           return std::string(info.param.departure == Departure::killed ? "Killed"
                                                                                        : "Silent") +
                                  (info.param.id == NewId::same ? "SameId" : "OtherId") + "Seed" +
                                  std::to_string(info.param.seed);
                         });

}  // namespace
}  // namespace paddlestand::platform::test

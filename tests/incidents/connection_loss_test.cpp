/// Guards against ejecting an engine as unreachable when one of its connections, with several open requests,
/// is lost while the engine still answers on its other connections
/// (docs/incidents/038-one-connection-lost.md).
#include "incident_test.hpp"

namespace paddlestand::platform::test {
namespace {

constexpr std::uint64_t first_trace = 0x7b00000000000000;
constexpr int requests = 12;
constexpr std::uint32_t descriptors_of_three_connections = 12;
// If the only engine is ejected, a request that it could have run at once waits at least 1 s.
constexpr auto max_answer_time = 900ms;

/// How an engine causes the loss of one of its connections.
enum class ConnectionLoss { closed, invalid_data };

class OneConnectionLost : public IncidentTest, public ::testing::WithParamInterface<ConnectionLoss> {
 protected:
  OneConnectionLost() : IncidentTest(1, {.max_descriptors = descriptors_of_three_connections}) {}

  /// Polls the engine until it has received all requests, without answering any.
  bool hold_all_requests() {
    int held_count = 0;
    return run_until([&] { return held_count == requests; },
                     [&](auto&, Connection& connection, const engine_frames::Frame& frame) {
                       if (!is_command(frame, engine_frames::Command::request)) return;
                       held_requests_[connection.number].push_back(frame.id);
                       ++held_count;
                     });
  }
  /// Ends the connection with the most open requests and returns the number of requests lost with it.
  std::size_t lose_busiest_connection(ConnectionLoss loss) {
    const auto busiest = std::max_element(
        held_requests_.begin(), held_requests_.end(),
        [](const auto& one, const auto& other) { return one.second.size() < other.second.size(); });
    const std::size_t lost = busiest->second.size();
    Wire& wire = engine().find(busiest->first)->peer.wire();
    if (loss == ConnectionLoss::invalid_data) {
      EXPECT_TRUE(wire.write("HTTP/1.1 200 OK\r\n\r\n"));
    } else {
      wire.close();
    }
    held_requests_.erase(busiest);
    return lost;
  }
  void serve_held_requests() {
    for (const auto& [number, ids] : held_requests_) {
      Connection* connection = engine().find(number);
      ASSERT_NE(connection, nullptr);
      for (const std::uint64_t id : ids) engine().serve(*connection, id);
    }
  }

 private:
  std::map<std::uint64_t, std::vector<std::uint64_t>> held_requests_;  // request ids by connection number
};

// The loss of one connection must not be treated as the loss of its engine.
TEST_P(OneConnectionLost, DoesNotEjectAnEngineThatStillAnswers) {
  const auto requested_at = Clock::now();
  for (unsigned i = 0; i < requests; ++i) client().send_request(next_number(), first_trace + i);
  ASSERT_TRUE(hold_all_requests());
  ASSERT_GE(lose_busiest_connection(GetParam()), 3U);
  run_until([&, end = Clock::now() + 50ms] { return Clock::now() >= end; }, serve_request);
  serve_held_requests();

  for (int i = 0; i < requests; ++i) EXPECT_EQ(outcome_while(client(), serve_request), "served:a\tb\tc\n");
  EXPECT_LT(Clock::now() - requested_at, max_answer_time);
  EXPECT_EQ(manager().count_logged("health_changed"), 0U) << manager().log();
}

INSTANTIATE_TEST_SUITE_P(LossKinds, OneConnectionLost,
                         ::testing::Values(ConnectionLoss::closed, ConnectionLoss::invalid_data),
                         [](const auto& info) {
                           return info.param == ConnectionLoss::closed ? "Closed" : "InvalidData";
                         });

}  // namespace
}  // namespace paddlestand::platform::test

/// Incident: one connection with several requests on it ended, and its engine was ejected as one that can't
/// be reached, while it went on answering on its other connections
/// (docs/incidents/038-one-connection-lost.md).
#include "incident_test.hpp"

namespace paddlestand::platform::test {
namespace {

constexpr std::uint64_t first_trace = 0x7b00000000000000;
constexpr int requests = 12;
constexpr std::uint32_t descriptors_of_three_connections = 12;
// A request that the only engine might have run at once waits at least 1 s where it was ejected.
constexpr auto longest_answer_time = 900ms;

/// How an engine ends one of its connections.
enum class Loss { closed, unreadable };

class OneConnectionLost : public IncidentTest, public ::testing::WithParamInterface<Loss> {
 protected:
  OneConnectionLost() : IncidentTest(1, {.max_descriptors = descriptors_of_three_connections}) {}

  /// Polls the engine until it has all requests, and answers none.
  bool hold_all_requests() {
    int held = 0;
    return run_until([&] { return held == requests; },
                     [&](auto&, Connection& connection, const engine_frames::Frame& frame) {
                       if (!is(frame, engine_frames::Command::request)) return;
                       held_[connection.number].push_back(frame.id);
                       ++held;
                     });
  }
  /// Ends the connection with the most requests; returns how many were lost with it.
  std::size_t lose_busiest_connection(Loss loss) {
    const auto busiest = std::max_element(held_.begin(), held_.end(), [](const auto& one, const auto& other) {
      return one.second.size() < other.second.size();
    });
    const std::size_t lost = busiest->second.size();
    Wire& wire = engine().find(busiest->first)->peer.wire();
    if (loss == Loss::unreadable) {
      EXPECT_TRUE(wire.write("HTTP/1.1 200 OK\r\n\r\n"));
    } else {
      wire.close();
    }
    held_.erase(busiest);
    return lost;
  }
  void serve_held_requests() {
    for (const auto& [number, ids] : held_) {
      Connection* connection = engine().find(number);
      ASSERT_NE(connection, nullptr);
      for (const std::uint64_t id : ids) engine().serve(*connection, id);
    }
  }

 private:
  std::map<std::uint64_t, std::vector<std::uint64_t>> held_;  // by connection
};

// Guards against taking the end of one connection for that of its engine, which goes on on the others.
TEST_P(OneConnectionLost, EjectsNoEngineThatGoesOnAnswering) {
  const auto requested_at = Clock::now();
  for (unsigned i = 0; i < requests; ++i) client().send_request(next_number(), first_trace + i);
  ASSERT_TRUE(hold_all_requests());
  ASSERT_GE(lose_busiest_connection(GetParam()), 3U);
  run_until([&, end = Clock::now() + 50ms] { return Clock::now() >= end; }, serve_request);
  serve_held_requests();

  for (int i = 0; i < requests; ++i) EXPECT_EQ(outcome_while(client(), serve_request), "served:a\tb\tc\n");
  EXPECT_LT(Clock::now() - requested_at, longest_answer_time);
  EXPECT_EQ(manager().count_logged("health_changed"), 0U) << manager().log();
}

INSTANTIATE_TEST_SUITE_P(Ways, OneConnectionLost, ::testing::Values(Loss::closed, Loss::unreadable),
                         [](const auto& suite) {
                           return suite.param == Loss::closed ? "Closed" : "Unreadable";
                         });

}  // namespace
}  // namespace paddlestand::platform::test

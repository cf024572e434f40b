/// Guards against work for clients that have left, and against requests that run again when they come again
/// (docs/incidents/056-departed-clients.md).
#include <random>

#include "client_input_test.hpp"

namespace paddlestand::platform::test {
namespace {

class DepartedClients : public ClientInputTest, public ::testing::WithParamInterface<unsigned> {
 protected:
  DepartedClients() : ClientInputTest(2, {.streams_per_connection = 32}), random_(GetParam()) {}

  std::size_t draw(std::size_t least, std::size_t most) {
    return std::uniform_int_distribution<std::size_t>(least, most)(random_);
  }
  [[nodiscard]] std::size_t attempts_started(std::uint64_t trace) {
    return engine(0).attempts_started(trace) + engine(1).attempts_started(trace);
  }
  static void hold_request(CountingEngine&, Connection&, const engine_frames::Frame&) {}

 private:
  std::mt19937_64 random_;
};

// Guards against a request of a class that may not be repeated which is run again, since its client has left
// and the same id comes on a new connection. It is no refusal, which would promise that nothing has run.
TEST_P(DepartedClients, NoRequestRunsAgainWhenItComesAgain) {
  constexpr std::uint64_t rounds = 6;
  for (std::uint64_t round = 0; round < rounds; ++round) {
    const std::uint64_t trace = next_trace();
    const std::string method = draw(0, 1) == 0 ? "settle" : "load";
    const std::string line =
        method == "load" ? load_line(1, trace, round + 1, 20) : RawClient::request_line(1, trace, method);
    std::optional<RawClient> first(manager().port());
    ASSERT_TRUE(first->wire().write(line));
    act_for(std::chrono::milliseconds(draw(0, 200)), hold_request);
    first.reset();
    act_for(std::chrono::milliseconds(draw(0, 300)), hold_request);
    const bool has_started = attempts_started(trace) > 0;
    RawClient second(manager().port());
    ASSERT_TRUE(second.wire().write(line));
    const std::string outcome = outcome_while(second, serve_request);
    EXPECT_LE(attempts_started(trace), 1U);
    if (has_started) { EXPECT_EQ(outcome, "error:-32000"); }
  }
}

// Guards against requests that are sent although their client has left with much of its input unread: its end
// comes after more input than one read takes.
TEST_P(DepartedClients, NothingIsSentForWhoLeftDuringAStop) {
  add_usual_clients(1);
  RawClient& client = usual_clients().front();
  manager().stop();
  std::vector<std::uint64_t> traces;
  std::string unwritten;
  for (int id = 2; id < 10; ++id) {
    traces.push_back(next_trace());
    unwritten += with_statement(RawClient::request_line(id, traces.back(), "settle"), draw(3000, 45'000));
  }
  // As much as the socket's buffers take: nobody reads.
  for (std::size_t written = 1; written > 0; unwritten.erase(0, written))
    written = client.wire().write_available(unwritten);
  client.wire().close();
  std::this_thread::sleep_for(1s);
  manager().resume();
  act_for(1s, hold_request);
  for (const std::uint64_t trace : traces) EXPECT_EQ(attempts_started(trace), 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, DepartedClients, ::testing::Values(1U, 2U, 3U));

}  // namespace
}  // namespace paddlestand::platform::test

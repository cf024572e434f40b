/// Guards against the cost of what cannot be read (docs/incidents/056-unreadable-input.md).
#include "client_input_test.hpp"

namespace paddlestand::platform::test {
namespace {

class UnreadableInput : public ClientInputTest {
 protected:
  static constexpr std::uint32_t memory_mb = 32;
  UnreadableInput()
      : ClientInputTest(2, {.max_descriptors = 1024, .memory_mb = memory_mb, .streams_per_connection = 32}) {}
};

// Guards against parsing what follows the first invalid message of a connection: hundreds of connections with
// thousands of empty lines each kept the event loop busy for seconds.
TEST_F(UnreadableInput, OfHundredsOfClientsDelaysNoUsualRequest) {
  constexpr std::size_t bad_clients = 300;
  constexpr std::size_t empty_lines = 65536;
  constexpr int rounds = 8;
  add_usual_clients(8);
  add_writers(bad_clients, std::string(empty_lines, '\n'));
  for (int round = 0; round < rounds; ++round) {
    send_usual_requests(20);
    act_for(250ms);
  }
  expect_usual_requests_in_time();
  expect_within_memory_limit(memory_mb);
}

}  // namespace
}  // namespace paddlestand::platform::test

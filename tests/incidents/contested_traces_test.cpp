/// Guards against the cost of finding out whether a trace id is still in use
/// (docs/incidents/056-contested-trace-ids.md).
#include "client_input_test.hpp"

namespace paddlestand::platform::test {
namespace {

class ContestedTraces : public ClientInputTest {
 protected:
  static constexpr std::uint32_t memory_mb = 64;
  ContestedTraces()
      : ClientInputTest(4, {.max_descriptors = 1024, .memory_mb = memory_mb, .streams_per_connection = 32}) {}
};

// Guards against memory that grows without a bound: each client names an open request of the next one, and
// the input of each was parsed inside the validation of the one before.
TEST_F(ContestedTraces, OfManyClientsStayWithinTheMemoryLimit) {
  constexpr std::size_t bad_clients = 200;
  constexpr std::size_t empty_lines = 65000;
  const std::uint64_t first = next_trace();
  for (std::size_t i = 1; i < bad_clients; ++i) next_trace();
  const auto serve_usual = serve_others_than(first, first + bad_clients - 1);
  for (std::size_t i = 0; i < bad_clients; ++i) add_writers(1, RawClient::request_line(1, first + i));
  act_for(500ms, serve_usual);
  for (std::size_t i = 0; i < bad_clients; ++i) {
    const std::uint64_t of_next_client = first + (i + 1) % bad_clients;
    writers()[i].write_next(RawClient::request_line(2, of_next_client) + std::string(empty_lines, '\n'));
  }
  act_for(500ms, serve_usual);
  expect_within_memory_limit(memory_mb);
  add_usual_clients(1);
}

}  // namespace
}  // namespace paddlestand::platform::test

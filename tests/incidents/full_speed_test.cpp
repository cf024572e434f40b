/// Guards against one client at full speed that delays others or takes memory without end, whatever it sends.
#include "client_input_test.hpp"

namespace paddlestand::platform::test {
namespace {

enum class Flood : std::uint8_t {
  ever_new_names,
  health_checks,
  cancels_of_unknown_ids,
  empty_lines,
  many_fields
};

class FullSpeedClient : public ClientInputTest, public ::testing::WithParamInterface<Flood> {
 protected:
  static constexpr std::uint32_t memory_mb = 32;
  FullSpeedClient() : ClientInputTest(2, {.memory_mb = memory_mb, .streams_per_connection = 32}) {}

  std::string next_bytes() {
    std::string bytes;
    switch (GetParam()) {
      case Flood::ever_new_names:
        return RawClient::request_line(1, next_trace(), "name" + std::to_string(++count_));
      case Flood::health_checks:
        while (bytes.size() < max_bytes)
          bytes += R"({"jsonrpc":"2.0","id":)" + std::to_string(++count_) + R"(,"method":"isWell"})" + "\n";
        return bytes;
      case Flood::cancels_of_unknown_ids:
        while (bytes.size() < max_bytes) bytes += cancel_line(next_trace());
        return bytes;
      case Flood::empty_lines: bytes.assign(max_bytes, '\n'); return bytes;
      case Flood::many_fields: break;
    }
    bytes = R"({"jsonrpc":"2.0","id":1)";
    constexpr int fields = 11'000;
    for (int i = 0; i < fields; ++i) bytes += ",\"" + std::to_string(i) + "\":0";
    return bytes + "}\n";
  }

 private:
  static constexpr std::size_t max_bytes = std::size_t{64} * 1024;
  std::uint64_t count_ = 0;
};

TEST_P(FullSpeedClient, DelaysNoUsualRequestAndStaysWithinTheMemoryLimit) {
  constexpr auto flood_time = 3s;
  constexpr auto request_period = 250ms;
  add_usual_clients(4);
  add_writers(1, next_bytes());
  const auto end = Clock::now() + flood_time;
  for (auto next_request = Clock::now(); Clock::now() < end; act_for(1ms)) {
    FullSpeedWriter& writer = writers().front();
    if (!writer.step()) writer = FullSpeedWriter(manager().port(), next_bytes());
    if (writer.is_written()) writer.write_next(next_bytes());
    if (Clock::now() < next_request) continue;
    send_usual_requests(20);
    next_request += request_period;
  }
  expect_usual_requests_in_time();
  expect_within_memory_limit(memory_mb);
}

INSTANTIATE_TEST_SUITE_P(Floods, FullSpeedClient,
                         ::testing::Values(Flood::ever_new_names, Flood::health_checks,
                                           Flood::cancels_of_unknown_ids, Flood::empty_lines,
                                           Flood::many_fields));

}  // namespace
}  // namespace paddlestand::platform::test

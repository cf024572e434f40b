/// Guards against failures around the memory of incomplete messages: its bound
/// (docs/incidents/056-memory-of-half-requests.md), and whole requests that waited for it
/// (docs/incidents/056-requests-beside-half-requests.md).
#include <random>

#include "client_input_test.hpp"

namespace paddlestand::platform::test {
namespace {

class InputMemory : public ClientInputTest {
 protected:
  static constexpr std::uint32_t memory_mb = 32;
  static constexpr std::size_t engines = 20;  // enough for all requests that they hold
  explicit InputMemory(std::uint32_t descriptors = 1024)
      : ClientInputTest(
            engines, {.max_descriptors = descriptors, .memory_mb = memory_mb, .streams_per_connection = 32}) {
  }

  /// Adds clients that write a request, which the engines hold, and the given bytes right after it. The
  /// engines also hold a request of each usual client.
  void add_clients_with_open_requests(std::size_t count, const std::string& more = "") {
    const std::uint64_t first = next_trace();
    const std::uint64_t last = first + count + usual_clients().size() - 1;
    while (next_trace() < last) {}
    serve_usual_ = serve_others_than(first, last);
    send_held_requests(first + count);
    for (std::size_t i = 0; i < count; ++i) add_writers(1, RawClient::request_line(1, first + i) + more);
  }
  /// Lets them write half of a further request.
  void write_half_requests(std::size_t bytes) {
    for (FullSpeedWriter& writer : writers()) writer.write_next(half_request(first_trace, bytes));
  }
  [[nodiscard]] const FrameHandler& serve_usual() const { return serve_usual_; }

 private:
  FrameHandler serve_usual_ = serve_request;
};

// Guards against memory beyond the limit: a client whose whole request was to be sent had its half request
// read whether or not there was memory for it.
TEST_F(InputMemory, OfHalfRequestsBehindWholeOnesIsBounded) {
  constexpr std::size_t bad_clients = 320;
  constexpr std::size_t half_bytes = 95'000;
  add_clients_with_open_requests(bad_clients, half_request(first_trace, half_bytes));
  act_for(2s, serve_usual());
  expect_within_memory_limit(memory_mb);
}

// Guards against requests that are not read since half requests of other clients take the memory.
TEST_F(InputMemory, OfHalfRequestsBehindWholeOnesDelaysNoUsualRequest) {
  constexpr std::size_t bad_clients = 300;
  constexpr std::size_t half_bytes = 4000;
  add_usual_clients(3);
  add_clients_with_open_requests(bad_clients);
  act_for(1s, serve_usual());
  write_half_requests(half_bytes);
  act_for(20ms, serve_usual());
  send_usual_requests(6000);
  expect_usual_requests_in_time(serve_usual());
}

class OrderBesideHalfRequests : public InputMemory, public ::testing::WithParamInterface<unsigned> {
 protected:
  OrderBesideHalfRequests() : InputMemory(256) {}
};

// Guards against a later request of an ordering key that passes an earlier one, which is larger and was not
// read since half requests of other clients take the memory.
TEST_P(OrderBesideHalfRequests, IsThatInWhichTheRequestsWereWritten) {
  constexpr std::size_t half_requests = 60;
  constexpr std::size_t loads = 6;
  constexpr std::uint64_t key = 17;
  std::mt19937_64 random(GetParam());
  const auto draw = [&random](std::size_t least, std::size_t most) {
    return std::uniform_int_distribution<std::size_t>(least, most)(random);
  };
  std::vector<std::uint64_t> started;
  const auto serve_in_order = [&](CountingEngine& engine, Connection& connection,
                                  const engine_frames::Frame& frame) {
    if (is_command(frame, engine_frames::Command::request)) started.push_back(frame.id);
    serve_request(engine, connection, frame);
  };

  add_usual_clients(4);
  for (std::size_t i = 0; i < half_requests; ++i)
    add_writers(1, half_request(next_trace(), draw(3000, 40'000)));
  act_for(20ms);
  std::vector<std::uint64_t> written;
  for (std::size_t i = 0; i < loads; ++i) {
    written.push_back(next_trace());
    RawClient& client = usual_clients()[draw(0, usual_clients().size() - 1)];
    const int id = static_cast<int>(i) + 2;
    ASSERT_TRUE(client.wire().write(load_line(id, written.back(), key, draw(20, 22'000))));
    act_for(std::chrono::milliseconds(draw(60, 150)), serve_in_order);
  }
  run_until([&] { return started.size() >= loads; }, serve_in_order);
  EXPECT_EQ(started, written);
}

INSTANTIATE_TEST_SUITE_P(Seeds, OrderBesideHalfRequests, ::testing::Values(1U, 2U, 3U, 4U));

// ---- Slow writers ----

struct SlowWriterLimits {
  std::uint32_t memory_mb = 0;
  std::uint32_t descriptors = 0;
};

class SlowWriters : public ClientInputTest, public ::testing::WithParamInterface<SlowWriterLimits> {
 protected:
  SlowWriters()
      : ClientInputTest(20, {.max_descriptors = GetParam().descriptors,
                             .memory_mb = GetParam().memory_mb,
                             .streams_per_connection = 32}) {}

  struct SlowWriter {
    RawClient client;
    std::string unwritten;
    std::string outcome = "nothing";
  };
  void add_slow_writers(std::size_t count, std::size_t statement_bytes) {
    for (std::size_t i = 0; i < count; ++i) {
      slow_writers_.push_back(
          {RawClient(manager().port()), large_request_line(1, next_trace(), statement_bytes)});
    }
  }
  void write_pieces(std::size_t bytes) {
    for (SlowWriter& writer : slow_writers_) {
      writer.client.wire().write_available(writer.unwritten.substr(0, bytes));
      writer.unwritten.erase(0, std::min(bytes, writer.unwritten.size()));
    }
  }
  /// Reads the answers that have come. Returns whether all slow writers have one.
  bool read_outcomes() {
    for (SlowWriter& writer : slow_writers_) {
      if (writer.outcome == "nothing" && writer.client.wire().has_input())
        writer.outcome = writer.client.outcome(1);
    }
    return count("nothing") == 0;
  }
  [[nodiscard]] std::size_t count(const std::string& outcome) const {
    return static_cast<std::size_t>(
        std::count_if(slow_writers_.begin(), slow_writers_.end(),
                      [&](const SlowWriter& writer) { return writer.outcome == outcome; }));
  }

 private:
  std::deque<SlowWriter> slow_writers_;
};

// Guards against usual requests that are refused or late while a third of the descriptors is held by clients
// that write large requests slowly. Each of these is served, or refused if there is no memory for it.
TEST_P(SlowWriters, DelayNoUsualRequestAndStayWithinTheMemoryLimit) {
  constexpr std::size_t usual = 5;
  constexpr std::size_t statement_bytes = 45'000;
  constexpr std::size_t piece_bytes = 1500;
  constexpr std::size_t pieces = 42;  // of a request
  add_usual_clients(usual);
  const std::size_t slow = GetParam().descriptors / 3 - usual - 1;
  add_slow_writers(slow, statement_bytes);
  for (std::size_t piece = 0; piece < pieces; ++piece) {
    write_pieces(piece_bytes);
    if (piece % 5 == 0) send_usual_requests(piece % 2 == 0 ? 20 : 6000);
    act_for(75ms);
  }
  expect_usual_requests_in_time();
  EXPECT_TRUE(run_until([this] { return read_outcomes(); }, serve_request));
  RecordProperty("served", std::to_string(count("served:a\tb\tc\n")));
  EXPECT_EQ(count("served:a\tb\tc\n") + count("error:-32001"), slow);
  EXPECT_GT(count("served:a\tb\tc\n"), 0U);
  expect_within_memory_limit(GetParam().memory_mb);
}

INSTANTIATE_TEST_SUITE_P(Limits, SlowWriters,
                         ::testing::Values(SlowWriterLimits{32, 256}, SlowWriterLimits{32, 1024},
                                           SlowWriterLimits{64, 1024}),
                         [](const auto& info) {
                           return std::to_string(info.param.memory_mb) + "MBAnd" +
                                  std::to_string(info.param.descriptors) + "Descriptors";
                         });

}  // namespace
}  // namespace paddlestand::platform::test

/// Guards against two failures when clients send half a request each: the loss of other clients' open
/// requests (docs/incidents/049-open-requests-beside-half-requests.md), and buffers beyond the memory limit
/// (docs/incidents/049-memory-of-half-requests.md).
#include "incident_test.hpp"
#include "large_requests.hpp"

namespace paddlestand::platform::test {
namespace {

constexpr std::uint64_t first_trace = 0x7c00000000000000;

/// Connections that each hold half a request.
class HalfRequestSenders {
 public:
  HalfRequestSenders(std::uint16_t port, std::size_t count, std::size_t bytes) {
    const std::string half = half_request(first_trace - 1, bytes);
    for (std::size_t i = 0; i < count; ++i) wires_.push_back(Wire::connect(port));
    for (const Wire& wire : wires_) wire.write_available(half);
  }

  [[nodiscard]] std::size_t size() const { return wires_.size(); }
  /// How many of them have received an answer or the end of their connection.
  [[nodiscard]] std::size_t count_answered() const {
    return static_cast<std::size_t>(
        std::count_if(wires_.begin(), wires_.end(), [](const Wire& wire) { return wire.has_input(); }));
  }

 private:
  std::vector<Wire> wires_;
};

class OpenRequestsBesideHalfRequests : public IncidentTest {
 protected:
  OpenRequestsBesideHalfRequests()
      : IncidentTest(1, {.max_descriptors = 384, .memory_mb = 48, .streams_per_connection = 32}) {}

  /// A client with one request open that writes its next one slowly.
  struct SlowWriter {
    RawClient client;
    std::string unwritten;  ///< of the second request
    std::size_t piece = 0;  ///< bytes to write at a time
  };

  SlowWriter make_slow_writer(std::size_t number) {
    constexpr std::size_t pieces = 40;
    const std::uint64_t trace = first_trace + 2 * number;
    SlowWriter writer{RawClient(manager().port()), large_request_line(2, trace + 1, 66'000)};
    writer.piece = writer.unwritten.size() / pieces + 1;
    writer.client.send_request(1, trace);
    return writer;
  }
  static void write_piece(SlowWriter& writer) {
    const std::string piece = writer.unwritten.substr(0, writer.piece);
    EXPECT_TRUE(writer.client.wire().write(piece));
    writer.unwritten.erase(0, piece.size());
  }
  /// Polls the engine for a while without answering requests.
  void hold_requests_for(Clock::duration time) {
    const auto hold = [this](auto&, const Connection& connection, const engine_frames::Frame& frame) {
      if (is_command(frame, engine_frames::Command::request)) held_.emplace_back(connection.number, frame.id);
    };
    run_until([end = Clock::now() + time] { return Clock::now() >= end; }, hold);
  }
  void serve_held_requests() {
    for (const auto& [connection, id] : held_) {
      Connection* const open = engine().find(connection);
      if (open != nullptr && open->active_attempts.contains(id)) engine().serve(*open, id);
    }
  }
  [[nodiscard]] std::size_t held_requests() const { return held_.size(); }

 private:
  std::vector<std::pair<std::uint64_t, std::uint64_t>> held_;  // connection and id
};

// The buffers exceed their limit while the clients with the largest ones have a request open. None of these
// may be closed in place of the clients that only hold half a request.
TEST_F(OpenRequestsBesideHalfRequests, AreAnswered) {
  constexpr std::size_t slow_writers = 5;
  constexpr std::size_t half_request_senders = 120;
  constexpr std::size_t half_request_bytes = std::size_t{54} * 1024;
  std::vector<SlowWriter> writers;
  for (std::size_t i = 0; i < slow_writers; ++i) writers.push_back(make_slow_writer(i));
  const auto write_pieces = [&] {
    for (SlowWriter& writer : writers) write_piece(writer);
    hold_requests_for(50ms);
  };

  for (int piece = 0; piece < 32; ++piece) write_pieces();
  ASSERT_GE(held_requests(), slow_writers);
  const HalfRequestSenders senders(manager().port(), half_request_senders, half_request_bytes);
  while (!writers.front().unwritten.empty()) write_pieces();
  serve_held_requests();

  for (SlowWriter& writer : writers) {
    ASSERT_EQ(outcome_while(writer.client, serve_request), "served:a\tb\tc\n");
    ASSERT_EQ(outcome_while(writer.client, serve_request), "served:a\tb\tc\n");
  }
}

struct MemoryLimits {
  std::uint32_t memory_mb = 0;
  std::uint32_t descriptors = 0;
};

class HalfRequestsOfManyClients : public IncidentTest, public ::testing::WithParamInterface<MemoryLimits> {
 protected:
  HalfRequestsOfManyClients()
      : IncidentTest(1, {.max_descriptors = GetParam().descriptors,
                         .memory_mb = GetParam().memory_mb,
                         .streams_per_connection = 32}) {}

  /// Serves requests for a while.
  void serve_for(Clock::duration time) {
    run_until([end = Clock::now() + time] { return Clock::now() >= end; }, serve_request);
  }
  /// Checks that a request of a new connection is served, and that the manager is within its limit.
  void expect_service() {
    RawClient new_client(manager().port());
    new_client.send_request(1, first_trace + (++last_trace_));
    ASSERT_EQ(outcome_while(new_client, serve_request), "served:a\tb\tc\n");
#ifndef __SANITIZE_ADDRESS__  // sanitizers use many times the memory
    ASSERT_LE(manager().peak_memory_kb(), std::size_t{GetParam().memory_mb} * 1024);
#endif
  }

 private:
  std::uint64_t last_trace_ = 100;
};

// All clients together send more than the memory limit in half requests, again and again. The manager stays
// within the limit and goes on serving, also a client whose first request is large and arrives slowly.
TEST_P(HalfRequestsOfManyClients, StayWithinTheMemoryLimitAndDelayNobodyElse) {
  constexpr std::size_t half_request_bytes = std::size_t{95} * 1024;
  constexpr std::size_t pieces_before = 5;
  constexpr std::size_t waves = 4;
  constexpr std::size_t pieces_per_wave = 5;
  const std::size_t senders = GetParam().descriptors / 3 - 4;
  RawClient slow_writer(manager().port());
  std::string unwritten = large_request_line(1, first_trace, 66'000);
  const std::size_t piece = unwritten.size() / (pieces_before + waves * pieces_per_wave) + 1;
  const auto write_pieces = [&](std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      ASSERT_TRUE(slow_writer.wire().write(unwritten.substr(0, piece)));
      unwritten.erase(0, std::min(piece, unwritten.size()));
      serve_for(100ms);
    }
  };

  write_pieces(pieces_before);
  for (std::size_t wave = 0; wave < waves; ++wave) {
    const HalfRequestSenders bad_clients(manager().port(), senders, half_request_bytes);
    write_pieces(pieces_per_wave);
    expect_service();
  }
  EXPECT_TRUE(unwritten.empty());
  EXPECT_EQ(outcome_while(slow_writer, serve_request), "served:a\tb\tc\n");
}

// The senders stay: each of them gets an error within the time that the platform grants, 3 s from its
// connection.
TEST_P(HalfRequestsOfManyClients, AreTurnedAwayInTime) {
  constexpr std::size_t half_request_bytes = std::size_t{95} * 1024;
  constexpr auto answer_time = 3s;
  const auto connected = Clock::now();
  const HalfRequestSenders bad_clients(manager().port(), GetParam().descriptors / 3 - 4, half_request_bytes);
  run_until([&] { return bad_clients.count_answered() == bad_clients.size(); }, serve_request);
  RecordProperty("seconds", std::to_string(std::chrono::duration<double>(Clock::now() - connected).count()));
  RecordProperty("peak_memory_kb", std::to_string(manager().peak_memory_kb()));
  EXPECT_LE(Clock::now() - connected, answer_time);
  expect_service();
}

INSTANTIATE_TEST_SUITE_P(Limits, HalfRequestsOfManyClients,
                         ::testing::Values(MemoryLimits{32, 256}, MemoryLimits{32, 1024},
                                           MemoryLimits{48, 384}, MemoryLimits{48, 608},
                                           MemoryLimits{96, 1024}, MemoryLimits{192, 1024}),
                         [](const auto& info) {
                           return std::to_string(info.param.memory_mb) + "MBAnd" +
                                  std::to_string(info.param.descriptors) + "Descriptors";
                         });

}  // namespace
}  // namespace paddlestand::platform::test

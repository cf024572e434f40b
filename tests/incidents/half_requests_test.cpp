/// Guards against the loss of open requests when clients that send half a request each fill the buffers
/// (docs/incidents/049-open-requests-beside-half-requests.md).
#include "incident_test.hpp"

namespace paddlestand::platform::test {
namespace {

constexpr std::uint64_t first_trace = 0x7c00000000000000;

/// A line with a statement of the given size.
std::string large_request_line(int id, std::uint64_t trace, std::size_t statement_bytes) {
  const std::string small = RawClient::request_line(id, trace);
  const std::string statement = "SELECT '" + std::string(statement_bytes, 'x') + "' FROM a_1.b";
  const std::string small_content = base64("SELECT 1 FROM a_1.b");
  const std::size_t at = small.find(small_content);
  return small.substr(0, at) + base64(statement) + small.substr(at + small_content.size());
}

/// The beginning of a request, without its end.
std::string half_request(std::size_t bytes) {
  return large_request_line(1, first_trace - 1, bytes).substr(0, bytes);
}

/// Connections that each hold half a request.
class HalfRequestSenders {
 public:
  HalfRequestSenders(std::uint16_t port, std::size_t count, std::size_t bytes) {
    const std::string half = half_request(bytes);
    for (std::size_t i = 0; i < count; ++i) wires_.push_back(Wire::connect(port));
    for (const Wire& wire : wires_) wire.write_available(half);
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
    for (const auto& [connection, id] : held_)
      if (Connection* open = engine().find(connection); open != nullptr && open->active_attempts.contains(id))
        engine().serve(*open, id);
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

}  // namespace
}  // namespace paddlestand::platform::test

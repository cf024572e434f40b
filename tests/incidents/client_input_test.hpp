/// Fixture of the tests of bad and slow clients' input: usual clients whose answers are timed, and other
/// clients that write as fast as the manager reads.
#pragma once

#include "incident_test.hpp"
#include "large_requests.hpp"

namespace paddlestand::platform::test {

/// A connection that writes given bytes as fast as the manager reads them, and reads what it is sent.
class FullSpeedWriter {
 public:
  FullSpeedWriter(std::uint16_t port, std::string bytes)
      : wire_(Wire::connect(port)), bytes_(std::move(bytes)) {}

  /// Writes and reads what is possible. Returns false once the manager has ended the connection.
  bool step() {
    written_ += wire_.write_available(std::string_view(bytes_).substr(written_));
    if (!wire_.has_input()) return true;
    const auto read = wire_.read(0);
    has_answer_ = has_answer_ || (read && !read->empty());
    return read.has_value();
  }
  /// Replaces the bytes to write.
  void write_next(std::string bytes) {
    bytes_ = std::move(bytes);
    written_ = 0;
  }
  [[nodiscard]] bool is_written() const { return written_ == bytes_.size(); }
  [[nodiscard]] bool has_answer() const { return has_answer_; }

 private:
  Wire wire_;
  std::string bytes_;
  std::size_t written_ = 0;
  bool has_answer_ = false;
};

class ClientInputTest : public IncidentTest {
 protected:
  static constexpr std::uint64_t first_trace = 0x7e00000000000000;
  static constexpr int usual_timeout_ms = 2000;
  static constexpr auto usual_timeout = std::chrono::milliseconds(usual_timeout_ms);

  /// A request of a usual client, and what became of it.
  struct UsualRequest {
    RawClient* client = nullptr;
    Clock::time_point written;
    Clock::duration took{};
    std::string outcome = "nothing";
  };

  using IncidentTest::IncidentTest;

  std::uint64_t next_trace() { return first_trace + ++last_trace_; }
  /// Connects usual clients, each of which has had an answer.
  void add_usual_clients(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      usual_clients_.emplace_back(manager().port());
      usual_clients_.back().send_request(1, next_trace());
      ASSERT_EQ(outcome_while(usual_clients_.back(), serve_request), "served:a\tb\tc\n");
    }
  }
  std::deque<RawClient>& usual_clients() { return usual_clients_; }
  /// Sends a request from each usual client.
  void send_usual_requests(std::size_t statement_bytes) {
    ++last_usual_id_;
    for (RawClient& client : usual_clients_) {
      const std::string line =
          RawClient::request_line(last_usual_id_, next_trace(), "report", "", usual_timeout_ms);
      EXPECT_TRUE(client.wire().write(with_statement(line, statement_bytes)));
      usual_requests_.push_back({.client = &client, .written = Clock::now()});
    }
  }
  /// Sends a request from each usual client, from the given trace id on, whose answer is not waited for.
  void send_held_requests(std::uint64_t trace) {
    ++last_usual_id_;
    for (RawClient& client : usual_clients_) client.send_request(last_usual_id_, trace++);
  }
  /// Lets the engines, the usual clients and the others act for a while.
  void act_for(Clock::duration time, const FrameHandler& on_frame = serve_request) {
    run_until([this, end = Clock::now() + time] { return act(), Clock::now() >= end; }, on_frame);
  }
  /// Lets everybody act until all usual requests are answered, and checks that they were served in time.
  void expect_usual_requests_in_time(const FrameHandler& on_frame = serve_request) {
    run_until([this] { return act(), count_unanswered() == 0; }, on_frame);
    for (const UsualRequest& request : usual_requests_) {
      EXPECT_EQ(request.outcome, "served:a\tb\tc\n");
      EXPECT_LE(request.took, usual_timeout);
    }
  }
  void expect_within_memory_limit([[maybe_unused]] std::size_t memory_mb) {
    RecordProperty("peak_memory_kb", std::to_string(manager().peak_memory_kb()));
#ifndef __SANITIZE_ADDRESS__  // sanitizers use many times the memory
    EXPECT_LE(manager().peak_memory_kb(), memory_mb * 1024);
#endif
  }
  std::deque<FullSpeedWriter>& writers() { return writers_; }
  void add_writers(std::size_t count, const std::string& bytes) {
    for (std::size_t i = 0; i < count; ++i) writers_.emplace_back(manager().port(), bytes);
  }
  /// Handles frames like serve_request(), but does not answer the requests of other clients than usual ones.
  [[nodiscard]] FrameHandler serve_others_than(std::uint64_t first, std::uint64_t last) const {
    return [first, last](CountingEngine& engine, Connection& connection, const engine_frames::Frame& frame) {
      if (frame.id < first || frame.id > last) serve_request(engine, connection, frame);
    };
  }

 private:
  void act() {
    for (FullSpeedWriter& writer : writers_) writer.step();
    for (UsualRequest& request : usual_requests_) {
      if (request.outcome != "nothing" || !request.client->wire().has_input()) continue;
      request.outcome = request.client->outcome(1);
      request.took = Clock::now() - request.written;
    }
  }
  [[nodiscard]] std::size_t count_unanswered() const {
    return static_cast<std::size_t>(
        std::count_if(usual_requests_.begin(), usual_requests_.end(),
                      [](const UsualRequest& request) { return request.outcome == "nothing"; }));
  }

  std::deque<RawClient> usual_clients_;
  std::deque<UsualRequest> usual_requests_;
  std::deque<FullSpeedWriter> writers_;
  std::uint64_t last_trace_ = 0;
  int last_usual_id_ = 1;
};

}  // namespace paddlestand::platform::test

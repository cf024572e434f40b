/// An engine whose answers a test controls frame by frame. It counts the active attempts of each request: an
/// attempt is active from the complete request until the engine writes its last frame, it is cancelled, or
/// its connection ends.
#pragma once

#include <algorithm>
#include <functional>
#include <list>
#include <map>
#include <set>

#include "tests/platform/peers.hpp"

namespace paddlestand::platform::test {

/// Whether the frame is the given command of a manager.
inline bool is_command(const engine_frames::Frame& frame, engine_frames::Command command) {
  return frame.code == static_cast<std::uint8_t>(command);
}

/// One engine, polled by the thread of the test.
class CountingEngine {
 public:
  /// A connection from the manager to the engine.
  struct Connection {
    explicit Connection(const Listener& listener, int wait_ms) : peer(listener, wait_ms) {}
    EnginePeer peer;
    std::uint64_t number = 0;
    std::set<std::uint64_t> active_attempts;
  };
  /// `receive_buffer`: size in bytes for each connection; zero for the system default. `port`: the port to
  /// listen at; zero for any.
  explicit CountingEngine(int receive_buffer = 0, std::uint16_t port = 0)
      : listener_(64, receive_buffer, port) {}

  using FrameHandler = std::function<void(Connection&, const engine_frames::Frame&)>;

  /// The loopback port at which the engine accepts connections.
  [[nodiscard]] std::uint16_t port() const { return listener_.port(); }
  /// The number of attempts of a request that have started so far.
  [[nodiscard]] std::size_t attempts_started(std::uint64_t id) const {
    const auto found = attempts_started_.find(id);
    return found == attempts_started_.end() ? 0 : found->second;
  }
  /// The maximum number of attempts of one request that were active at the same time.
  [[nodiscard]] std::size_t max_concurrent_attempts() const { return max_concurrent_attempts_; }
  /// The number of attempts of a request that are active now.
  [[nodiscard]] std::size_t active_attempts(std::uint64_t id) const {
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(),
                      [&](const auto& candidate) { return candidate.active_attempts.contains(id); }));
  }
  /// Whether a connection has input that poll() would read.
  [[nodiscard]] bool has_input() const {
    return std::any_of(connections_.begin(), connections_.end(),
                       [](const auto& candidate) { return candidate.peer.has_input(); });
  }
  /// The number of the connection accepted last; zero if none was accepted.
  [[nodiscard]] std::uint64_t last_connection() const { return last_connection_; }
  /// The number of open connections as of the last poll().
  [[nodiscard]] std::size_t connections() const { return connections_.size(); }
  /// The number of requests whose id was used before on the same connection.
  [[nodiscard]] std::size_t reused_ids() const { return reused_ids_; }

  /// The number of commands for requests that this engine never got.
  [[nodiscard]] std::size_t commands_for_unknown_requests() const { return commands_for_unknown_requests_; }

  /// Gives up the address; the connections stay open.
  void stop_listening() { listener_.close(); }
  /// Resets all connections, as the end of the process does.
  void reset_connections() {
    for (Connection& candidate : connections_) candidate.peer.wire().reset();
    connections_.clear();
  }
  /// Serves all active attempts.
  void serve_all_active() {
    for (Connection& candidate : connections_) {
      const std::set<std::uint64_t> active = candidate.active_attempts;
      for (const std::uint64_t id : active) serve(candidate, id);
    }
  }
  /// Reads the available input and passes each frame to `on_frame`, after counting requests.
  void poll(const FrameHandler& on_frame) {
    if (Connection accepted(listener_, 0); accepted.peer.is_open()) {
      accepted.number = ++last_connection_;
      connections_.push_back(std::move(accepted));
    }
    for (auto candidate = connections_.begin(); candidate != connections_.end();) {
      bool ended = false;
      while (const auto frame = candidate->peer.next_if_received(ended)) {
        if (is_command(*frame, engine_frames::Command::request)) start_attempt(*candidate, frame->id);
        if (is_command(*frame, engine_frames::Command::cancel)) candidate->active_attempts.erase(frame->id);
        commands_for_unknown_requests_ += is_for_unknown_request(*frame) ? 1 : 0;
        on_frame(*candidate, *frame);
      }
      candidate = ended ? connections_.erase(candidate) : std::next(candidate);
    }
  }
  /// Returns the open connection with the given number, or nullptr.
  Connection* find(std::uint64_t number) {
    for (Connection& candidate : connections_)
      if (candidate.number == number) return &candidate;
    return nullptr;
  }
  /// Ends an attempt and sends its answer.
  void answer(Connection& connection, engine_frames::Reply code, std::uint64_t id,
              std::string_view fields = {}, std::string_view body = {}) {
    connection.active_attempts.erase(id);
    connection.peer.answer(static_cast<std::uint8_t>(code), id, fields, body);
  }
  /// Ends an attempt and sends a result of one row.
  void serve(Connection& connection, std::uint64_t id, std::string_view row = "a\tb\tc\n") {
    answer(connection, engine_frames::Reply::ok, id, "parts=1,work=5,peak=1", row);
  }

 private:
  [[nodiscard]] bool is_for_unknown_request(const engine_frames::Frame& frame) const {
    const bool is_probe =
        is_command(frame, engine_frames::Command::ping) || is_command(frame, engine_frames::Command::status);
    return !is_probe && attempts_started(frame.id) == 0;
  }
  void start_attempt(Connection& connection, std::uint64_t id) {
    reused_ids_ += connection.peer.request_ids.insert(id).second ? 0 : 1;
    // A duplicate on the same connection also counts as a second attempt.
    const std::size_t before = active_attempts(id);
    connection.active_attempts.insert(id);
    max_concurrent_attempts_ = std::max(max_concurrent_attempts_, before + 1);
    ++attempts_started_[id];
  }

  Listener listener_;
  std::list<Connection> connections_;
  std::map<std::uint64_t, std::size_t> attempts_started_;
  std::uint64_t last_connection_ = 0;
  std::size_t max_concurrent_attempts_ = 0;
  std::size_t reused_ids_ = 0;
  std::size_t commands_for_unknown_requests_ = 0;
};

}  // namespace paddlestand::platform::test

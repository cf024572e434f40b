/// An engine whose every frame a test decides, and which counts the attempts of each request that are active
/// by its own account: from the complete request until its end is written, it is cancelled, or its connection
/// ends.
#pragma once

#include <algorithm>
#include <functional>
#include <list>
#include <map>
#include <set>

#include "tests/platform/peers.hpp"

namespace paddlestand::platform::test {

/// Whether the frame is a manager's command of this kind.
inline bool is(const engine_frames::Frame& frame, engine_frames::Command command) {
  return frame.code == static_cast<std::uint8_t>(command);
}

/// One engine. Polled by the test's thread.
class CountingEngine {
 public:
  /// A connection of the manager to the engine.
  struct Connection {
    explicit Connection(const Listener& listener, int wait_ms) : peer(listener, wait_ms) {}
    EnginePeer peer;
    std::uint64_t number = 0;
    std::set<std::uint64_t> active_attempts;
  };
  /// `receive_buffer`: of each connection; zero: the system's choice.
  explicit CountingEngine(int receive_buffer = 0) : listener_(64, receive_buffer) {}

  using OnFrame = std::function<void(Connection&, const engine_frames::Frame&)>;

  /// The loopback port at which the engine accepts connections.
  [[nodiscard]] std::uint16_t port() const { return listener_.port(); }
  /// Attempts of a request that have ever begun.
  [[nodiscard]] std::size_t attempts_started(std::uint64_t id) const {
    const auto found = attempts_started_.find(id);
    return found == attempts_started_.end() ? 0 : found->second;
  }
  /// The largest number of attempts of one request that were active at once.
  [[nodiscard]] std::size_t max_concurrent_attempts() const { return max_concurrent_attempts_; }
  /// Attempts of a request that are active now.
  [[nodiscard]] std::size_t active_attempts(std::uint64_t id) const {
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(),
                      [&](const auto& candidate) { return candidate.active_attempts.contains(id); }));
  }
  /// Whether bytes wait on a connection, which poll() would read.
  [[nodiscard]] bool has_input() const {
    return std::any_of(connections_.begin(), connections_.end(),
                       [](const auto& candidate) { return candidate.peer.has_input(); });
  }
  /// The number of the connection that was accepted last; zero: none was.
  [[nodiscard]] std::uint64_t last_connection() const { return last_connection_; }
  /// Connections that are open, as of the last poll().
  [[nodiscard]] std::size_t connections() const { return connections_.size(); }
  /// Requests whose id was used on the same connection before.
  [[nodiscard]] std::size_t reused_ids() const { return reused_ids_; }

  /// Reads what has arrived; `on_frame` gets each frame, requests already counted.
  void poll(const OnFrame& on_frame) {
    if (Connection accepted(listener_, 0); accepted.peer.is_open()) {
      accepted.number = ++last_connection_;
      connections_.push_back(std::move(accepted));
    }
    for (auto candidate = connections_.begin(); candidate != connections_.end();) {
      bool ended = false;
      while (const auto frame = candidate->peer.next_if_received(ended)) {
        if (is(*frame, engine_frames::Command::request)) start_attempt(*candidate, frame->id);
        if (is(*frame, engine_frames::Command::cancel)) candidate->active_attempts.erase(frame->id);
        on_frame(*candidate, *frame);
      }
      candidate = ended ? connections_.erase(candidate) : std::next(candidate);
    }
  }
  /// A connection that is still open, by its number; or nothing.
  Connection* find(std::uint64_t number) {
    for (Connection& candidate : connections_)
      if (candidate.number == number) return &candidate;
    return nullptr;
  }
  /// Ends an attempt with an answer.
  void answer(Connection& connection, engine_frames::Reply code, std::uint64_t id,
              std::string_view fields = {}, std::string_view body = {}) {
    connection.active_attempts.erase(id);
    connection.peer.answer(static_cast<std::uint8_t>(code), id, fields, body);
  }
  /// Ends an attempt with a result of one row.
  void serve(Connection& connection, std::uint64_t id, std::string_view row = "a\tb\tc\n") {
    answer(connection, engine_frames::Reply::ok, id, "parts=1,work=5,peak=1", row);
  }

 private:
  void start_attempt(Connection& connection, std::uint64_t id) {
    reused_ids_ += connection.peer.request_ids.insert(id).second ? 0 : 1;
    // A duplicate on the same connection counts as a second attempt, too.
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
};

}  // namespace paddlestand::platform::test

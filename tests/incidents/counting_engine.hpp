// An engine whose every frame a test decides, and which counts the attempts of each request that are out by
// its own account: from the whole request until its end is written, it is cancelled, or its connection ends.
#pragma once

#include <algorithm>
#include <functional>
#include <list>
#include <map>
#include <set>

#include "tests/platform/peers.hpp"

namespace paddlestand::platform::test {

class CountingEngine {
 public:
  struct Connection {
    explicit Connection(const Listener& listener, int wait_ms) : side(listener, wait_ms) {}
    EngineSide side;
    std::uint64_t number = 0;
    std::set<std::uint64_t> out;
  };
  /// `receive_buffer`: of each connection; zero: the system's choice.
  explicit CountingEngine(int receive_buffer = 0) : listener_(64, receive_buffer) {}

  using OnFrame = std::function<void(Connection&, const engine_frames::Frame&)>;

  [[nodiscard]] std::uint16_t port() const { return listener_.port(); }
  [[nodiscard]] std::size_t begun(std::uint64_t id) const {
    const auto found = begun_.find(id);
    return found == begun_.end() ? 0 : found->second;
  }
  /// The most attempts of one request that were out at once.
  [[nodiscard]] std::size_t most_out() const { return most_out_; }
  [[nodiscard]] std::size_t out(std::uint64_t id) const {
    return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
                                                  [&](const auto& one) { return one.out.contains(id); }));
  }
  /// Whether bytes wait on a connection, which step() would read.
  [[nodiscard]] bool has_input() const {
    return std::any_of(connections_.begin(), connections_.end(),
                       [](const auto& one) { return one.side.has_input(); });
  }
  [[nodiscard]] std::uint64_t last_connection() const { return last_connection_; }
  [[nodiscard]] std::size_t connections() const { return connections_.size(); }
  /// Requests that came under an id that was used on the same connection before.
  [[nodiscard]] std::size_t ids_used_again() const { return ids_used_again_; }

  /// Takes what came since; `on_frame` hears of each frame, requests already counted.
  void step(const OnFrame& on_frame) {
    if (Connection fresh(listener_, 0); fresh.side.open()) {
      fresh.number = ++last_connection_;
      connections_.push_back(std::move(fresh));
    }
    for (auto one = connections_.begin(); one != connections_.end();) {
      bool ended = false;
      while (const auto frame = one->side.next_if_here(ended)) {
        if (frame->code == static_cast<std::uint8_t>(engine_frames::Command::request)) begin(*one, frame->id);
        if (frame->code == static_cast<std::uint8_t>(engine_frames::Command::give_up))
          one->out.erase(frame->id);
        on_frame(*one, *frame);
      }
      one = ended ? connections_.erase(one) : std::next(one);
    }
  }
  /// A connection that is still open, by its number; or nothing.
  Connection* find(std::uint64_t number) {
    for (Connection& one : connections_)
      if (one.number == number) return &one;
    return nullptr;
  }
  void answer(Connection& on, engine_frames::Reply code, std::uint64_t id, std::string_view fields = {},
              std::string_view body = {}) {
    on.out.erase(id);
    on.side.answer(static_cast<std::uint8_t>(code), id, fields, body);
  }
  void serve(Connection& on, std::uint64_t id, std::string_view row = "a\tb\tc\n") {
    answer(on, engine_frames::Reply::ok, id, "parts=1,work=5,peak=1", row);
  }

 private:
  void begin(Connection& on, std::uint64_t id) {
    ids_used_again_ += on.side.ids.insert(id).second ? 0 : 1;
    // A copy on the same connection counts as a second one, too.
    const std::size_t before = out(id);
    on.out.insert(id);
    most_out_ = std::max(most_out_, before + 1);
    ++begun_[id];
  }

  Listener listener_;
  std::list<Connection> connections_;
  std::map<std::uint64_t, std::size_t> begun_;
  std::uint64_t last_connection_ = 0;
  std::size_t most_out_ = 0, ids_used_again_ = 0;
};

}  // namespace paddlestand::platform::test

/// The state machine of a server's life, from its start to the end of a graceful shutdown. No I/O.
#pragma once

#include <cstdint>

namespace paddlestand::platform {

/// The state of a server. States follow each other in the order given here; an illegal transition is a defect
/// of the caller.
class ServerLifecycle {
 public:
  enum class State : std::uint8_t {
    starting,  ///< no list of engines is known yet
    serving,  ///< requests are accepted and forwarded
    terminating,  ///< a graceful shutdown has begun; requests are still open
    finished  ///< every request was answered; connections may still be open
  };

  [[nodiscard]] State state() const { return state_; }
  /// Whether clients may be referred to this server.
  [[nodiscard]] bool is_ready() const { return state_ == State::serving; }
  /// Whether a graceful shutdown has begun, or has finished.
  [[nodiscard]] bool is_shutting_down() const;
  /// Throws std::logic_error where `next` may not follow the present state.
  void advance_to(State next);

  /// The table of legal transitions.
  [[nodiscard]] static bool is_legal(State from, State next);

 private:
  State state_ = State::starting;
};

}  // namespace paddlestand::platform

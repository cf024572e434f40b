/// The state machine of a server, from its start to the end of a graceful shutdown. No I/O.
#pragma once

#include <cstdint>

namespace paddlestand::platform {

/// The state of a server. States are passed in the order declared here; an illegal transition is a bug in the
/// caller.
class ServerLifecycle {
 public:
  enum class State : std::uint8_t {
    starting,  ///< the engine list is not known yet
    serving,  ///< requests are accepted and forwarded
    terminating,  ///< a graceful shutdown has begun; requests are still open
    finished  ///< all requests are answered; connections may still be open
  };

  [[nodiscard]] State state() const { return state_; }
  /// Whether the server is ready for clients.
  [[nodiscard]] bool is_ready() const { return state_ == State::serving; }
  /// Whether a graceful shutdown has begun, or has finished.
  [[nodiscard]] bool is_shutting_down() const;
  /// Throws std::logic_error if the transition from the current state to `next` is illegal.
  void advance_to(State next);

  /// Whether a transition is legal.
  [[nodiscard]] static bool is_legal(State from, State next);

 private:
  State state_ = State::starting;
};

}  // namespace paddlestand::platform

#include "server_lifecycle.hpp"

#include <stdexcept>
#include <string>

namespace paddlestand::platform {

bool ServerLifecycle::is_shutting_down() const {
  return state_ == State::terminating || state_ == State::finished;
}

bool ServerLifecycle::is_legal(State from, State next) {
  switch (from) {
    case State::starting: return next == State::serving;
    case State::serving: return next == State::terminating;
    case State::terminating: return next == State::finished;
    case State::finished: return false;
  }
  return false;
}

void ServerLifecycle::advance_to(State next) {
  if (!is_legal(state_, next)) {
    throw std::logic_error("server lifecycle: no transition from state " +
                           std::to_string(static_cast<int>(state_)) + " to " +
                           std::to_string(static_cast<int>(next)));
  }
  state_ = next;
}

}  // namespace paddlestand::platform

#include "input_times.hpp"

#include <algorithm>

namespace paddlestand::platform {

void InputTimes::record_read(ReadOutcome outcome, TimePoint began, TimePoint now, Duration event_loop_lag) {
  const Duration unread = unread_since_ ? now - *unread_since_ : Duration{};
  const Duration delay = std::max({event_loop_lag, unread, accept_delay_});
  // The input arrived after the connection was last drained.
  arrived_ = std::max(std::min(began, now - delay), drained_at_);
  if (outcome == ReadOutcome::drained) {
    drained_at_ = began;  // not `now`: the process may have been stopped in between
    unread_since_.reset();
    accept_delay_ = {};
  } else if (outcome == ReadOutcome::failing && !unread_since_) {
    unread_since_ = arrived_;  // the first failure may itself have been noticed late
  }
}

void InputTimes::record_pause(TimePoint now, Duration event_loop_lag) {
  if (!unread_since_) unread_since_ = std::max(now - event_loop_lag, drained_at_);
}

}  // namespace paddlestand::platform

#include "input_times.hpp"

#include <algorithm>

namespace paddlestand::platform {

void InputTimes::record_read(ReadEnd end, TimePoint began, TimePoint now, Duration event_loop_lag) {
  const Duration failing = failing_since_ ? now - *failing_since_ : Duration{};
  const Duration delay = std::max({event_loop_lag, failing, accept_delay_});
  // It was not here yet when the connection was last read to the end.
  arrived_ = std::max(std::min(began, now - delay), drained_at_);
  if (end == ReadEnd::drained) {
    drained_at_ = began;  // the process may have been stopped since
    failing_since_.reset();
    accept_delay_ = {};
  } else if (end == ReadEnd::failing && !failing_since_) {
    failing_since_ = arrived_;  // the first failure may have been seen late itself
  }
}

}  // namespace paddlestand::platform

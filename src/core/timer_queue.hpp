/// A queue of timers that can be disarmed. Timers with equal due times expire in the order in which they were
/// armed.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "types.hpp"

namespace paddlestand::core {

enum class TimerUse : std::uint8_t { attempt_timeout, cancel_grace, connect, probe, idle_channel, shutdown };

/// The purpose and the subject of a timer.
struct Timer {
  TimerUse use{};
  std::uint64_t subject{};  ///< id of the channel; for `attempt_timeout`, of the query
  std::uint32_t attempt_index{};
};

class TimerQueue {
 public:
  using Handle = std::pair<TimePoint, std::uint64_t>;

  Handle arm(TimePoint at, Timer timer) {
    const Handle handle{at, ++last_sequence_number_};
    queue_.emplace(handle, timer);
    return handle;
  }

  /// Removes the timer if it is armed, and clears the handle.
  void disarm(std::optional<Handle>& handle) {
    if (handle) queue_.erase(*handle);
    handle.reset();
  }

  [[nodiscard]] std::optional<TimePoint> next_due() const {
    if (queue_.empty()) return std::nullopt;
    return queue_.begin()->first.first;
  }

  /// Removes and returns the first timer that is due at `now`.
  std::optional<Timer> pop_due(TimePoint now) {
    if (queue_.empty() || queue_.begin()->first.first > now) return std::nullopt;
    const Timer timer = queue_.begin()->second;
    queue_.erase(queue_.begin());
    return timer;
  }

  [[nodiscard]] std::size_t size() const { return queue_.size(); }

  /// Calls `visit(due, timer)` for each timer, in the order of their due times.
  template <typename Visit>
  void for_each(Visit visit) const {
    for (const auto& [handle, timer] : queue_) visit(handle.first, timer);
  }

 private:
  std::map<Handle, Timer> queue_;
  std::uint64_t last_sequence_number_ = 0;
};

}  // namespace paddlestand::core

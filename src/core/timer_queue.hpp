// Times at which something is due, each of which can be taken back. Equal times fall due in the order armed.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "types.hpp"

namespace paddlestand::core {

enum class TimerUse : std::uint8_t { attempt_timeout, cancel_grace, connect, probe, idle_channel, leave };

struct Timer {
  TimerUse use{};
  std::uint64_t subject{};  // a channel, or a query
  std::uint32_t attempt{};
};

class TimerQueue {
 public:
  using Handle = std::pair<TimePoint, std::uint64_t>;

  Handle arm(TimePoint at, Timer timer) {
    const Handle handle{at, ++armed_};
    queue_.emplace(handle, timer);
    return handle;
  }
  void disarm(std::optional<Handle>& handle) {
    if (handle) queue_.erase(*handle);
    handle.reset();
  }
  [[nodiscard]] std::optional<TimePoint> due() const {
    if (queue_.empty()) return std::nullopt;
    return queue_.begin()->first.first;
  }
  std::optional<Timer> take_due(TimePoint now) {
    if (queue_.empty() || queue_.begin()->first.first > now) return std::nullopt;
    const Timer timer = queue_.begin()->second;
    queue_.erase(queue_.begin());
    return timer;
  }
  [[nodiscard]] std::size_t size() const { return queue_.size(); }
  // In the order in which they fall due.
  template <typename Each>
  void each(Each each) const {
    for (const auto& [handle, timer] : queue_) each(handle.first, timer);
  }

 private:
  std::map<Handle, Timer> queue_;
  std::uint64_t armed_ = 0;
};

}  // namespace paddlestand::core

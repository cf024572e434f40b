/// The channels to one engine, bounded in number. Idle channels form a stack: the most recently used one is
/// reused first, so that surplus channels stay idle until their lifetime ends. No I/O; not thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "types.hpp"

namespace paddlestand::core {

class ChannelPool {
 public:
  /// How a query gets a channel: by reusing an idle one, by opening a new one, or not at all because the
  /// limit is reached.
  enum class Placement : std::uint8_t { reuse, open, none };

  /// `max_channels` limits the sum of opening, idle and busy channels.
  [[nodiscard]] Placement placement(std::uint32_t max_channels) const {
    if (!idle_.empty()) return Placement::reuse;
    return channels_ < max_channels ? Placement::open : Placement::none;
  }

  /// Removes and returns the channel that became idle last. The pool must have an idle channel.
  ChannelId pop_idle() {
    const ChannelId channel = idle_.back();
    idle_.pop_back();
    return channel;
  }

  /// Adds an idle channel. Returns false if the pool does not accept it, so that it must be closed.
  [[nodiscard]] bool add_idle(ChannelId channel, std::uint32_t max_idle) {
    if (!ready_ || idle_.size() >= max_idle) return false;
    idle_.push_back(channel);
    return true;
  }

  void on_opened() { ++channels_; }
  void on_closed(ChannelId channel) {
    --channels_;
    std::erase(idle_, channel);
  }

  [[nodiscard]] const std::vector<ChannelId>& idle() const { return idle_; }
  [[nodiscard]] std::uint32_t channels() const { return channels_; }

  /// Whether the engine is ready according to the endpoint list, and when it started (zero: long ago).
  [[nodiscard]] bool is_ready() const { return ready_; }
  [[nodiscard]] TimePoint started() const { return started_; }
  void set_ready(TimePoint started) {
    ready_ = true;
    started_ = started;
  }
  void set_not_ready() { ready_ = false; }
  void set_not_ready(TimePoint started) {
    ready_ = false;
    started_ = started;
  }

 protected:
  std::vector<ChannelId> idle_;

 private:
  std::uint32_t channels_ = 0;  // opening, idle and busy
  bool ready_ = false;
  TimePoint started_{};
};

}  // namespace paddlestand::core

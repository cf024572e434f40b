// The channels to one engine: bounded in number, idle ones in a stack, so that the least used fall idle for
// long and are closed.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "types.hpp"

namespace paddlestand::core {

class Pool {
 public:
  enum class Place : std::uint8_t { reuse, open, none };

  // Where a query's bytes could go now; `none` at the bound.
  [[nodiscard]] Place place(std::uint32_t most) const {
    if (!idle_.empty()) return Place::reuse;
    return channels_ < most ? Place::open : Place::none;
  }
  ChannelId take_idle() {
    const ChannelId channel = idle_.back();
    idle_.pop_back();
    return channel;
  }
  // Whether the channel may stay; one that may not is to be closed.
  bool park(ChannelId channel, std::uint32_t most_idle) {
    if (!ready_ || idle_.size() >= most_idle) return false;
    idle_.push_back(channel);
    return true;
  }
  void opened() { ++channels_; }
  void closed(ChannelId channel) {
    --channels_;
    std::erase(idle_, channel);
  }
  [[nodiscard]] const std::vector<ChannelId>& idle() const { return idle_; }
  [[nodiscard]] std::uint32_t channels() const { return channels_; }

  [[nodiscard]] bool ready() const { return ready_; }
  [[nodiscard]] TimePoint started() const { return started_; }
  void told(bool ready, TimePoint started) {
    ready_ = ready;
    started_ = started;
  }

 private:
  std::vector<ChannelId> idle_;
  std::uint32_t channels_ = 0;  // opening, idle and busy ones
  bool ready_ = false;
  TimePoint started_{};
};

}  // namespace paddlestand::core

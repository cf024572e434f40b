/// Bounds the memory of answers that engines deliver in several pages: an answer reserves the memory of all
/// its pages before they are requested. No I/O; not thread-safe.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

#include "core/types.hpp"

namespace paddlestand::platform {

/// Reserves memory for answers, in the order in which they asked for it.
class AnswerBudget {
 public:
  explicit AnswerBudget(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /// Reserves memory for the answer on a channel. Returns false if the answer has to wait; it is then
  /// returned by grant_available().
  [[nodiscard]] bool reserve(core::ChannelId channel, std::size_t bytes) {
    waiting_.push_back({channel, bytes});
    if (waiting_.size() > 1 || !is_available(bytes)) return false;
    take_first();
    return true;
  }
  /// Whether the answer on a channel waits for memory.
  [[nodiscard]] bool is_waiting(core::ChannelId channel) const {
    for (const Reservation& waiting : waiting_)
      if (waiting.channel == channel) return true;
    return false;
  }
  /// Releases the reservation of a channel, if it has one, or lets it no longer wait.
  void release(core::ChannelId channel) {
    std::erase_if(waiting_, [&](const Reservation& waiting) { return waiting.channel == channel; });
    const auto found = reserved_.find(channel);
    if (found == reserved_.end()) return;
    reserved_bytes_ -= found->second;
    reserved_.erase(found);
  }
  /// Reserves memory for the answers that wait, as far as it goes, and returns their channels.
  [[nodiscard]] std::vector<core::ChannelId> grant_available() {
    std::vector<core::ChannelId> granted;
    while (!waiting_.empty() && is_available(waiting_.front().bytes)) {
      granted.push_back(waiting_.front().channel);
      take_first();
    }
    return granted;
  }

 private:
  struct Reservation {
    core::ChannelId channel{};
    std::size_t bytes = 0;
  };

  /// An answer larger than the limit is let through alone.
  [[nodiscard]] bool is_available(std::size_t bytes) const {
    return reserved_.empty() || reserved_bytes_ + bytes <= max_bytes_;
  }
  void take_first() {
    const Reservation& first = waiting_.front();
    reserved_[first.channel] = first.bytes;
    reserved_bytes_ += first.bytes;
    waiting_.pop_front();
  }

  std::size_t max_bytes_;
  std::size_t reserved_bytes_ = 0;
  std::map<core::ChannelId, std::size_t> reserved_;
  std::deque<Reservation> waiting_;
};

}  // namespace paddlestand::platform

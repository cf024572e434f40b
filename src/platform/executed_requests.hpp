/// Remembers which requests may have had an effect, so that one that comes again under its trace id is not
/// run a second time. Bounded in time and in number. No I/O, no clock; not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

#include "core/types.hpp"

namespace paddlestand::platform {

/// The trace ids of requests that were sent to an engine and must not run twice.
class ExecutedRequests {
 public:
  /// How long and how many trace ids are remembered. The oldest ones are forgotten first.
  static constexpr Duration retention = std::chrono::seconds(60);
  static constexpr std::size_t max_requests = 8192;

  /// Remembers a request from `now` on.
  void add(std::uint64_t trace, TimePoint now);
  /// Whether the request is remembered.
  [[nodiscard]] bool contains(std::uint64_t trace, TimePoint now) const;
  [[nodiscard]] std::size_t size() const { return until_by_trace_.size(); }

 private:
  struct Entry {
    std::uint64_t trace{};
    TimePoint until{};
  };
  void forget_oldest();

  std::deque<Entry> entries_;  // in the order in which they were added
  std::unordered_map<std::uint64_t, TimePoint> until_by_trace_;
};

}  // namespace paddlestand::platform

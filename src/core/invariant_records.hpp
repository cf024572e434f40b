/// The invariant monitor's own records of queries, channels and engines, derived from events and actions
/// only.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "types.hpp"

namespace paddlestand::core::monitored {

struct Attempt {
  EngineId engine{};
  ChannelId channel{};
  TimePoint sent_at{};
  bool handed_over = false;  ///< the socket accepted the last byte: it may run from then on
  bool active = true;
  bool rejected = false;  ///< the engine reported that it did not run it
  std::uint64_t answer_bytes = 0;
  bool complete = false;

  [[nodiscard]] bool may_have_run() const { return handed_over && !rejected; }
};

struct Query {
  SessionId session{};
  std::uint32_t class_index{};
  std::uint64_t key{};  ///< zero: not ordered
  TimePoint arrived{};
  Duration client_timeout{};
  std::optional<Duration> cost;
  bool answered = false;
  bool abandoned = false;  ///< its client cancelled it, or closed its session
  std::uint64_t delivered_bytes = 0;
  std::size_t delivered_attempt = 0;  ///< whose bytes were delivered; valid if delivered_bytes > 0
  std::vector<Attempt> attempts;

  [[nodiscard]] bool has_active_attempt() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const Attempt& attempt) { return attempt.active; });
  }
  /// The first attempt that may have run, or nullptr.
  [[nodiscard]] const Attempt* first_that_may_have_run() const {
    const auto found = std::find_if(attempts.begin(), attempts.end(),
                                    [](const Attempt& attempt) { return attempt.may_have_run(); });
    return found == attempts.end() ? nullptr : &*found;
  }
};

struct Channel {
  EngineId engine{};
  ChannelUse use{};
  bool up = false;
  bool carries_query = false;
  bool cancelled = false;
  bool not_reusable = false;
  QueryId query{};  ///< the last one that the channel carried
  std::size_t attempt_index = 0;
  std::uint64_t buffered_bytes = 0;
};

struct Engine {
  EngineEntry entry;
  bool ready = false;
  TimePoint not_ready_since{};
  TimePoint slow_start_ends{};
  std::deque<std::pair<TimePoint, Duration>> sends_in_slow_start;  ///< times and estimated costs
  std::uint32_t channels = 0;
};

/// Unfinished queries by ordering key, in order of arrival, and the keys whose settle time runs because an
/// attempt with an uncertain outcome may still run.
class KeyOrder {
 public:
  struct Settling {
    TimePoint until{};
    QueryId query{};  ///< the query whose attempt may still run
  };

  void on_arrival(std::uint64_t key, QueryId query) { queues_[key].push_back(query); }
  void on_done(std::uint64_t key, QueryId query) {
    const auto queue = queues_.find(key);
    std::erase(queue->second, query);
    if (queue->second.empty()) queues_.erase(queue);
  }
  void start_settling(std::uint64_t key, Settling settling) { settling_[key] = settling; }
  void remove_settled(TimePoint now) {
    std::erase_if(settling_, [now](const auto& entry) { return entry.second.until < now; });
  }

  /// The queries of the key that have not ended, in order of arrival.
  [[nodiscard]] const std::vector<QueryId>& queue(std::uint64_t key) { return queues_[key]; }
  [[nodiscard]] const std::map<std::uint64_t, std::vector<QueryId>>& queues() const { return queues_; }
  [[nodiscard]] const std::map<std::uint64_t, Settling>& settling() const { return settling_; }

 private:
  std::map<std::uint64_t, std::vector<QueryId>> queues_;
  std::map<std::uint64_t, Settling> settling_;
};

/// The arrivals and retries within the retry budget's window.
class RetryWindow {
 public:
  void add_arrival(TimePoint at) { arrivals_.push_back(at); }
  void add_retry(TimePoint at) { retries_.push_back(at); }
  void remove_before(TimePoint from) {
    while (!arrivals_.empty() && arrivals_.front() < from) arrivals_.pop_front();
    while (!retries_.empty() && retries_.front() < from) retries_.pop_front();
  }

  [[nodiscard]] const std::deque<TimePoint>& arrivals() const { return arrivals_; }
  [[nodiscard]] const std::deque<TimePoint>& retries() const { return retries_; }

 private:
  std::deque<TimePoint> arrivals_;
  std::deque<TimePoint> retries_;
};

}  // namespace paddlestand::core::monitored

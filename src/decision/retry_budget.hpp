/// \file
/// The retry budget: retries of a window are limited to a floor plus a share of the requests in it, so that
/// retries can't multiply the load of a fleet in trouble.
#pragma once

#include "decision/recent_times.hpp"
#include "paddlestand/workload_manager.hpp"

namespace paddlestand::decision {

/// Window over which arrivals are counted for rates, in seconds.
inline constexpr double arrival_window = 5;

/// Counts arrivals and retries. Refers to the settings, which must outlive it.
class RetryBudget {
 public:
  explicit RetryBudget(const Settings& settings) : settings_(settings) {}

  void record_arrival(double now);
  void record_retry(double now);
  /// Drops retries that no window can hold any more.
  void forget_old_retries(double now);

  /// Whether one more retry fits the budget; always where the settings have none.
  [[nodiscard]] bool allows_retry(double now) const;
  /// Requests that arrived within the last `age` seconds; at most two arrival windows.
  [[nodiscard]] double arrivals_within(double age, double now) const;

  void visit(StateVisitor& visitor);

 private:
  const Settings& settings_;
  RecentTimes arrivals_;
  RecentTimes retries_;
};

}  // namespace paddlestand::decision

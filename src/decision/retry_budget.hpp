/// \file
/// The retry budget limits the retries within a window to a floor plus a share of the requests that arrived
/// in it, so that retries can't multiply the load of a failing fleet.
#pragma once

#include "decision/recent_times.hpp"
#include "paddlestand/workload_manager.hpp"

namespace paddlestand::decision {

/// Window over which arrivals are counted for rates, in seconds.
inline constexpr double arrival_window = 5;

/// Counts arrivals and retries. Holds a reference to the settings, which must outlive it.
class RetryBudget {
 public:
  explicit RetryBudget(const Settings& settings) : settings_(settings) {}

  void record_arrival(double now);
  void record_retry(double now);
  /// Drops retries that are too old for any window.
  void erase_old_retries(double now);

  /// Whether the budget allows one more retry; always true if the settings have no budget.
  [[nodiscard]] bool allows_retry(double now) const;
  /// Number of requests that arrived within the last `age` seconds, which must be at most two arrival
  /// windows.
  [[nodiscard]] double arrivals_within(double age, double now) const;

  void visit(StateVisitor& visitor);

 private:
  const Settings& settings_;
  RecentTimes arrivals_;
  RecentTimes retries_;
};

}  // namespace paddlestand::decision

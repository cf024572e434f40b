/// \file
/// Counts events over a sliding window.
#pragma once

#include <cstddef>
#include <deque>

#include "paddlestand/workload_manager.hpp"

namespace paddlestand::decision {

/// Times of events in ascending order, in seconds.
class RecentTimes {
 public:
  /// `time` must not be earlier than any time added before.
  void add(double time);
  void erase_before(double time);

  /// Number of events later than `time`.
  [[nodiscard]] double count_after(double time) const;
  /// Number of events at `time` or later.
  [[nodiscard]] double count_from(double time) const;
  [[nodiscard]] std::size_t size() const { return times_.size(); }

  void visit(StateVisitor& visitor);

 private:
  std::deque<double> times_;
};

}  // namespace paddlestand::decision

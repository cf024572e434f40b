#include "decision/recent_times.hpp"

#include <algorithm>

#include "decision/visit_fields.hpp"

namespace paddlestand::decision {

void RecentTimes::add(double time) { times_.push_back(time); }

void RecentTimes::erase_before(double time) {
  while (!times_.empty() && times_.front() < time) times_.pop_front();
}

double RecentTimes::count_after(double time) const {
  const auto first = std::upper_bound(times_.begin(), times_.end(), time);
  return static_cast<double>(times_.end() - first);
}

double RecentTimes::count_from(double time) const {
  const auto first = std::lower_bound(times_.begin(), times_.end(), time);
  return static_cast<double>(times_.end() - first);
}

void RecentTimes::visit(StateVisitor& visitor) {
  visit_sequence(visitor, times_, [&](double& time) { visitor.counted(time); });
}

}  // namespace paddlestand::decision

#include "decision/retry_budget.hpp"

#include "decision/units.hpp"

namespace paddlestand::decision {
namespace {

/// Safety margin of the window, in seconds: retries are counted over a window longer by it and requests over
/// one shorter by it, because another observer may place an event at the edge on either side.
constexpr double window_edge = 0.01;

}  // namespace

void RetryBudget::record_arrival(double now) {
  arrivals_.add(now);
  const double budget_window = settings_.retry_budget ? to_seconds(settings_.retry_budget->window) : 0.0;
  arrivals_.erase_before(now - (2 * arrival_window + budget_window));
}

void RetryBudget::record_retry(double now) { retries_.add(now); }

void RetryBudget::erase_old_retries(double now) {
  const double age = settings_.retry_budget
                         ? 2 * to_seconds(settings_.retry_budget->window + settings_.max_send_delay)
                         : 0.0;
  retries_.erase_before(now - age);
}

bool RetryBudget::allows_retry(double now) const {
  if (!settings_.retry_budget) return true;
  const RetryBudgetSettings& budget = *settings_.retry_budget;
  const double window = to_seconds(budget.window);
  const double edge = window_edge + to_seconds(settings_.max_send_delay);
  const double retries = retries_.count_from(now - window - edge);
  return retries + 1 <= budget.floor + budget.share * arrivals_within(window - edge, now);
}

double RetryBudget::arrivals_within(double age, double now) const { return arrivals_.count_after(now - age); }

void RetryBudget::visit(StateVisitor& visitor) {
  arrivals_.visit(visitor);
  retries_.visit(visitor);
}

}  // namespace paddlestand::decision

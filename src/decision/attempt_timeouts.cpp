#include "decision/attempt_timeouts.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "decision/units.hpp"

namespace paddlestand::decision {
namespace {

/// Lowest timeout, as a multiple of the expected run time. Beyond it, a bad plan is more likely than a long
/// request.
constexpr double min_timeout_run_times = 2;
/// Time added to the timeout, in seconds.
constexpr double timeout_slack = 0.25;
/// The multiple grows with the scatter of a class's estimates, as exp(scatter_factor * scatter).
constexpr double scatter_factor = 1.3;
/// Factor on the timeout until the class's slowdown is learned.
constexpr double unlearned_timeout_factor = 2;
/// Report periods without a progress report after which an attempt hangs or its answer is lost.
constexpr double max_missed_periods = 1.6;
/// Projected run time, as a multiple of the expected one, above which a bad plan is more likely than a long
/// request.
constexpr double bad_plan_run_times = 4;
/// Lower limit of the completed share; avoids division by zero.
constexpr double min_progress = 1e-3;
/// Cancellations allowed within the arrival window: the floor, plus this share of the requests that arrived.
/// Without a limit, all work on a slow fleet would be cancelled.
constexpr double cancellation_floor = 3;
constexpr double cancellation_share = 0.2;

}  // namespace

void AttemptTimeouts::record_progress(const ProgressReported& report) {
  Request* request = state_.requests.find(report.request);
  if (request == nullptr || report.attempt >= request->attempts.size()) return;
  Attempt& attempt = request->attempts[report.attempt];
  attempt.last_progress_at = state_.now;
  const bool has_level = report.level >= 0;  // false for NaN
  if (report.kind != ProgressKind::progress || !has_level) return;
  attempt.progress = std::clamp(report.level, min_progress, 1.0);
  attempt.progress_at = state_.now;
}

void AttemptTimeouts::cancel_overdue() {
  if (!state_.settings.may_cancel) return;
  state_.cancellations.erase_before(state_.now - arrival_window);
  for (auto& [id, request] : state_.requests) {
    if (request.is_over || request.attempts.empty()) continue;
    Attempt& attempt = request.attempts.back();
    if (!attempt.in_flight || attempt.cancelled) continue;
    if (!rules_.may_retry(request) || !is_overdue(request, attempt)) continue;
    if (is_cancellation_limit_reached()) return;
    state_.cancellations.add(state_.now);
    attempt.cancelled = true;
    actions_.emit(Cancel{id, static_cast<std::uint32_t>(request.attempts.size() - 1)});
    if (!attempt.of_earlier_process) {
      outliers_.record_overdue_cancellation(state_.engines.at(attempt.engine));
    }
  }
}

/// Progress reports show whether a request is long or has a bad plan, and whether it runs or its answer is
/// lost. Without reports, the attempt's age decides.
bool AttemptTimeouts::is_overdue(const Request& request, const Attempt& attempt) const {
  const double expected = costs_.expected_run_time(request, attempt);
  if (attempt.last_progress_at >= 0) return is_overdue_by_progress(attempt, expected);
  const ClassState& class_state = state_.class_of(request);
  const double run_times =
      std::max(min_timeout_run_times, std::exp(scatter_factor * class_state.cost_scatter));
  const double factor = class_state.slowdown_samples < trusted_samples ? unlearned_timeout_factor : 1;
  return state_.now - attempt.sent_at >= run_times * factor * expected + timeout_slack;
}

bool AttemptTimeouts::is_overdue_by_progress(const Attempt& attempt, double expected) const {
  const double max_silence = max_missed_periods * to_seconds(state_.settings.progress_report_period);
  if (state_.now - attempt.last_progress_at > max_silence) return true;
  if (attempt.progress <= 0) return false;
  const double projected = (attempt.progress_at - attempt.sent_at) / std::max(attempt.progress, min_progress);
  const double age = state_.now - attempt.sent_at;
  return projected > bad_plan_run_times * expected && projected - age > expected;
}

bool AttemptTimeouts::is_cancellation_limit_reached() const {
  const double arrivals = state_.retry_budget.arrivals_within(arrival_window, state_.now);
  return static_cast<double>(state_.cancellations.size()) >=
         cancellation_floor + cancellation_share * arrivals;
}

}  // namespace paddlestand::decision

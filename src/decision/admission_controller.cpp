#include "decision/admission_controller.hpp"

#include <algorithm>

#include "decision/units.hpp"

namespace paddlestand::decision {
namespace {

constexpr double proportional_gain = 4.93;  // k_p (paper, section 4)
constexpr double integral_gain = 5.36;  // k_i (paper, section 4)
/// In 1/s. A latency error of one second moves the bound by about the cost that drains in one second.
constexpr double gain_scale = 0.1;
/// Latency target as a share of the objective. A mean equal to the objective would leave half of all answers
/// late.
constexpr double objective_headroom = 0.7;
/// Lowest bound as a share of the maximum. A class is never closed completely, because light
/// requests would then be rejected along with heavy ones.
constexpr double min_bound_share = 0.1;
/// Highest bound, as a multiple of the largest cost.
constexpr double max_bound_in_largest_costs = 2;
constexpr double largest_cost_decay = 0.999;  // factor per control period
constexpr double min_largest_cost = 1e-3;  // seconds of work
/// Weight of one control period in the finish rate. It is low because a period may contain a single request.
constexpr double finish_rate_weight = 0.25;
/// Weight in the drain rate of a period with a higher finish rate.
constexpr double rate_increase_weight = 0.5;
/// Weight in the drain rate of a period with a lower finish rate, if the class had a backlog at its start and
/// end.
constexpr double rate_decrease_weight = 0.1;
/// Factor on the drain rate in all other periods. They don't measure capacity, as the load was light.
constexpr double rate_decay_per_period = 0.998;
/// Share of the thread bound from which engines count as under pressure.
constexpr double pressure_threshold = 0.7;

}  // namespace

/// Ages of a class's unfinished requests that are the first of their ordering key. A request's age counts
/// from its arrival, or from when it became the first of its key.
struct AdmissionController::LatencySample {
  // Times from which the ages of the oldest and newest request within its objective count, in seconds.
  double oldest_request_since = 0;
  double newest_request_since = -1;
  double requests = 0;  // number of these requests
  double objective_sum = 0;  // seconds
  double late_requests = 0;  // number of requests past their objective
  double late_age_sum = 0;  // seconds
};

bool AdmissionController::admits(const Request& request) const {
  const ClassState& class_state = state_.class_of(request);
  double queued = class_state.queued_cost;
  for (const RequestId id : class_state.queue) {
    const Request& other = state_.requests.at(id);
    if (other.ordering_key != request.ordering_key && !state_.is_first_of_key(other)) {
      queued -= costs_.cost_of(other);
    }
  }
  if (costs_.cost_of(request) + queued <= class_state.admission_bound) {
    return !(request.over_quota && is_under_pressure(request));
  }
  return queued <= 1e-9 && class_state.feedback_bound >= 0 && !is_under_pressure(request);
}

bool AdmissionController::is_under_pressure(const Request& request) const {
  return grants_.competing_threads(request) >= pressure_threshold * state_.fleet.thread_bound;
}

bool AdmissionController::is_too_late(const Request& request) const {
  const double done_at = state_.now + costs_.solo_run_time_of(request);
  if (done_at > request.deadline - answer_margin(state_.settings)) return true;
  if (done_at <= request.arrived_at + costs_.latency_objective_of(request)) return false;
  return state_.settings_of(request).late_answer_weight <= 0 || is_under_pressure(request);
}

Duration AdmissionController::retry_advice(const Request& request) const {
  if (!state_.settings.may_advise_retry) return {};
  const ClassState& class_state = state_.class_of(request);
  const double wait = control_period / 2 + class_state.queued_cost / std::max(class_state.drain_rate, 1e-3);
  return std::min(state_.settings.max_retry_after, to_duration(wait));
}

void AdmissionController::record_arrival(const Request& request) {
  ClassState& class_state = state_.class_of(request);
  class_state.had_arrivals = true;
  if (request.has_cost_estimate && class_state.drain_rate <= 0) {
    // Initial 1/rho: first estimate / objective * ready engines (design page).
    const double ready_engines = std::max(1.0, state_.fleet.ready_engines);
    const double objective = to_seconds(state_.settings_of(request).latency_objective);
    class_state.drain_rate = request.estimated_cost * ready_engines / std::max(objective, 1e-3);
  }
  class_state.largest_cost = std::max(class_state.largest_cost, costs_.cost_of(request));
  if (class_state.drain_rate > 0 && class_state.admission_bound <= 0 && !class_state.is_closed) {
    class_state.admission_bound =
        2 * class_state.drain_rate * objective_headroom * costs_.latency_objective_of(request);
  }
}

void AdmissionController::record_answer(const Request& request, const Attempt& attempt) {
  ClassState& class_state = state_.class_of(request);
  class_state.finished_cost += attempt.solo_run_time * state_.settings_of(request).threads;
  class_state.latency_sum += state_.now - request.first_of_key_since;
  class_state.answers += 1;
}

void AdmissionController::record_start(const Request& request, const Attempt& attempt) {
  state_.class_of(request).running_cost += attempt.solo_run_time * state_.settings_of(request).threads;
}

void AdmissionController::release_running_cost(const Request& request, Attempt& attempt) {
  if (!attempt.in_running_cost) return;
  attempt.in_running_cost = false;
  double& running_cost = state_.class_of(request).running_cost;
  const double cost = attempt.solo_run_time * state_.settings_of(request).threads;
  running_cost = std::max(0.0, running_cost - cost);
}

void AdmissionController::update_bounds() {
  for (std::size_t i = 0; i < state_.classes.size(); ++i) update_bound(i);
}

AdmissionController::LatencySample AdmissionController::sample_latency(std::size_t class_index) const {
  LatencySample sample;
  sample.oldest_request_since = state_.now;
  for (const auto& [id, request] : state_.requests) {
    if (request.class_index != class_index || request.is_over || !state_.is_first_of_key(request)) continue;
    const double objective = costs_.latency_objective_of(request);
    const double age = state_.now - request.first_of_key_since;
    sample.objective_sum += objective;
    sample.requests += 1;
    if (age > objective) {
      // Work on a hung engine never finishes. If its age weren't part of the latency, the class would seem to
      // meet its objective.
      sample.late_age_sum += age;
      sample.late_requests += 1;
      continue;
    }
    sample.oldest_request_since = std::min(sample.oldest_request_since, request.first_of_key_since);
    sample.newest_request_since = std::max(sample.newest_request_since, request.first_of_key_since);
  }
  sample.newest_request_since = std::max(sample.newest_request_since, sample.oldest_request_since);
  return sample;
}

/// The drain rate follows the highest finish rate and decays slowly: under light load, the finish rate shows
/// how much arrives, not how much could finish.
void AdmissionController::update_drain_rate(ClassState& class_state) const {
  class_state.finish_rate +=
      finish_rate_weight * (class_state.finished_cost / control_period - class_state.finish_rate);
  double& rate = class_state.drain_rate;
  if (class_state.finish_rate > rate) {
    rate += rate_increase_weight * (class_state.finish_rate - rate);
  } else if (class_state.had_backlog && !class_state.queue.empty()) {
    rate += rate_decrease_weight * (class_state.finish_rate - rate);
  } else {
    rate *= rate_decay_per_period;
  }
}

void AdmissionController::update_bound(std::size_t class_index) {
  ClassState& class_state = state_.classes[class_index];
  const LatencySample sample = sample_latency(class_index);
  class_state.largest_cost *= largest_cost_decay;
  update_drain_rate(class_state);
  if (sample.requests == 0 && class_state.answers == 0 && !class_state.had_arrivals) {
    class_state.feedback_bound = 0;
    class_state.last_error = 0;
  }
  const double objective = sample.requests > 0 ? sample.objective_sum / sample.requests
                                               : costs_.mean_latency_objective(class_index);
  const double target = objective_headroom * objective;
  // max_data: at most the cost that drains within the target, so that a rare heavy request can't allow a long
  // queue.
  const double max_bound =
      std::min(max_bound_in_largest_costs * std::max(class_state.largest_cost, min_largest_cost),
               class_state.drain_rate * target);
  const double min_bound = min_bound_share * max_bound;
  // b_f = 2/rho * (L - t + (t_oldest + t_newest) / 2) - running
  const double predicted_bound =
      2 * class_state.drain_rate *
          (target - state_.now + (sample.oldest_request_since + sample.newest_request_since) / 2) -
      class_state.running_cost;
  update_feedback_bound(class_state, sample, target);
  class_state.feedback_bound = std::clamp(class_state.feedback_bound, -max_bound, max_bound);
  // b_total = b_f + b_delta
  class_state.admission_bound =
      std::clamp(predicted_bound + class_state.feedback_bound, min_bound, max_bound);
  class_state.is_closed = class_state.admission_bound <= min_bound;
  start_period(class_state);
}

void AdmissionController::update_feedback_bound(ClassState& class_state, const LatencySample& sample,
                                                double target) const {
  const double answers = class_state.answers + sample.late_requests;
  if (answers <= 0) return;
  const double error = target - (class_state.latency_sum + sample.late_age_sum) / answers;
  // b_delta += k_p * ((k_i + 1) * error - last error)
  class_state.feedback_bound += gain_scale * class_state.finish_rate * proportional_gain *
                                ((integral_gain + 1) * error - class_state.last_error);
  class_state.last_error = error;
}

void AdmissionController::start_period(ClassState& class_state) const {
  class_state.finished_cost = 0;
  class_state.latency_sum = 0;
  class_state.answers = 0;
  class_state.had_arrivals = false;
  class_state.had_backlog = !class_state.queue.empty();
}

}  // namespace paddlestand::decision

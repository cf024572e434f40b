#include "decision/cost_model.hpp"

#include <algorithm>
#include <cmath>

#include "decision/units.hpp"

namespace paddlestand::decision {
namespace {

constexpr double min_cost = 1e-3;  // seconds of work
constexpr double default_cost = 0.1;  // seconds of work, until a class has an estimate
constexpr double min_priority_weight = 1e-3;
constexpr double min_run_time = 1e-4;  // seconds
/// Quantile that the bias follows where work is inferred from run times. Waiting lengthens some run times, so
/// a mean would be too high.
constexpr double run_time_quantile = 0.5;
/// Limit of one sample, as a multiple of the learned value.
constexpr double max_sample_ratio = 5;
/// Limits of the learned biases.
constexpr double min_bias = 0.05;
constexpr double max_bias = 20.0;

}  // namespace

double CostModel::cost_of(const Request& request) const {
  const ClassState& class_state = state_.class_of(request);
  const double cost = request.has_cost_estimate
                          ? request.estimated_cost * class_state.cost_bias
                          : positive_or(class_state.mean_cost * class_state.cost_bias, default_cost);
  return std::max(min_cost, cost);
}

double CostModel::solo_run_time_of(const Request& request) const {
  return cost_of(request) / state_.settings_of(request).threads;
}

double CostModel::expected_run_time(const Request& request, const Attempt& attempt) const {
  return attempt.solo_run_time * std::max(1.0, state_.class_of(request).slowdown);
}

double CostModel::latency_objective_of(const Request& request) const {
  const ClassSettings& settings = state_.settings_of(request);
  return to_seconds(settings.latency_objective) +
         settings.objective_per_run_time * cost_of(request) / settings.threads;
}

double CostModel::mean_latency_objective(std::size_t class_index) const {
  const ClassState& class_state = state_.classes[class_index];
  const ClassSettings& settings = state_.settings.classes[class_index];
  return to_seconds(settings.latency_objective) +
         settings.objective_per_run_time * class_state.mean_cost * class_state.cost_bias / settings.threads;
}

double CostModel::priority_weight(std::size_t class_index) const {
  return positive_or(state_.settings.classes[class_index].priority_weight, min_priority_weight);
}

double CostModel::relative_weight(std::size_t class_index) const {
  const TrafficMix mix = traffic_mix();
  return priority_weight(class_index) * std::max(mix.requests, 1.0) / std::max(mix.priority_weight, 1e-3);
}

TrafficMix CostModel::traffic_mix() const {
  TrafficMix mix;
  for (std::size_t i = 0; i < state_.classes.size(); ++i) {
    const ClassState& class_state = state_.classes[i];
    mix.requests += class_state.arrivals;
    mix.priority_weight += class_state.arrivals * priority_weight(i);
    mix.work += class_state.arrivals * class_state.mean_cost * class_state.cost_bias;
  }
  return mix;
}

void CostModel::record_arrival(const Request& request) {
  ClassState& class_state = state_.class_of(request);
  class_state.arrivals += 1;
  const double weight = std::max(learning_rate / 3, 1 / class_state.arrivals);
  class_state.mean_cost += weight * (request.estimated_cost - class_state.mean_cost);
}

void CostModel::learn(const Request& request, const Attempt& attempt, const AttemptEnded& answer) {
  const ClassSettings& settings = state_.settings_of(request);
  const double run_time = std::max(min_run_time, to_seconds(answer.elapsed));
  const double inferred_work = attempt.had_spare_cores ? run_time * settings.threads : 0.0;
  const double work = answer.work ? to_seconds(*answer.work) : inferred_work;
  if (work > 0 && request.has_cost_estimate) learn_cost(request, work, answer.work.has_value());
  if (answer.memory_mb && request.estimated_memory > 0) learn_memory(request, *answer.memory_mb);
  const double solo_run_time =
      answer.work ? std::max(1e-3, to_seconds(*answer.work)) / settings.threads : attempt.solo_run_time;
  learn_slowdown(request, run_time, solo_run_time);
}

void CostModel::learn_cost(const Request& request, double work, bool is_reported) {
  ClassState& class_state = state_.class_of(request);
  const double bias = class_state.cost_bias;
  const double ratio = work / request.estimated_cost;
  class_state.cost_samples += 1;
  const double weight = std::max(learning_rate, 1 / (class_state.cost_samples + 1));
  const double correction = is_reported ? std::min(ratio, max_sample_ratio * bias) - bias
                                        : bias * (ratio > bias ? run_time_quantile : run_time_quantile - 1);
  class_state.cost_scatter += weight * (std::abs(std::log(ratio / bias)) - class_state.cost_scatter);
  class_state.cost_bias = std::clamp(bias + weight * correction, min_bias, max_bias);
}

void CostModel::learn_memory(const Request& request, double memory_mb) {
  ClassState& class_state = state_.class_of(request);
  class_state.memory_samples += 1;
  const double ratio = std::clamp(memory_mb / request.estimated_memory, min_bias, max_bias);
  const double weight = std::max(learning_rate, 1 / (class_state.memory_samples + 1));
  class_state.memory_bias += weight * (ratio - class_state.memory_bias);
}

void CostModel::learn_slowdown(const Request& request, double run_time, double solo_run_time) {
  ClassState& class_state = state_.class_of(request);
  const double slowdown = std::min(run_time / solo_run_time, max_sample_ratio * class_state.slowdown);
  class_state.slowdown_samples += 1;
  const double weight = std::max(load_learning_rate, 1 / (class_state.slowdown_samples + 1));
  class_state.slowdown += weight * (slowdown - class_state.slowdown);
}

}  // namespace paddlestand::decision

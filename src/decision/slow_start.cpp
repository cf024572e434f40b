#include "decision/slow_start.hpp"

#include <algorithm>
#include <cmath>

#include "decision/units.hpp"

namespace paddlestand::decision {
namespace {

/// Share of the budget that is used, because actual work may exceed the estimates.
constexpr double usable_budget_share = 0.9;
/// Utilization of the cores that the rules define as capacity, reduced to allow for slower engines.
constexpr double utilization_at_capacity = 0.68;
/// Length of the window over which sends are counted, in overload windows.
constexpr double window_factor = 1.05;
/// Smallest share of a budget that one manager can use, in seconds of work.
constexpr double min_manager_budget = 1.5;
/// Factor on estimates until there are enough answers to correct them.
constexpr double unlearned_cost_factor = 2;
constexpr double min_budgeted_work = 0.05;  // seconds
constexpr double min_capacity_share = 0.1;

}  // namespace

bool SlowStart::is_warming_up(const Engine& engine) const { return state_.now < engine.slow_start_until; }

bool SlowStart::allows(const Request& request, const Engine& engine) const {
  if (!is_warming_up(engine)) return true;
  const Settings& settings = state_.settings;
  const double window = std::max(to_seconds(settings.overload_window), 1e-3);
  // Nothing is sent in the first window: what this manager may have sent before a restart is unknown, and
  // would count against the same budget.
  if (state_.now < window) return false;
  double sent = budgeted_work(request);
  for (const auto& [sent_at, work] : engine.slow_start_sends) {
    sent += sent_at > state_.now - window_factor * window ? work : 0.0;
  }
  const double budget_per_core = usable_budget_share * settings.overload_multiple * utilization_at_capacity *
                                 settings.slow_start_capacity_share * window;
  return sent <= manager_budget(engine, budget_per_core);
}

double SlowStart::capacity_share(const Engine& engine) const {
  if (!is_warming_up(engine)) return 1.0;
  return std::clamp(state_.settings.slow_start_capacity_share, min_capacity_share, 1.0);
}

void SlowStart::record_send(const Request& request, Engine& engine) const {
  if (is_warming_up(engine)) engine.slow_start_sends.emplace_back(state_.now, budgeted_work(request));
}

void SlowStart::erase_sends_to_warm_engines() {
  for (auto& [id, engine] : state_.engines) {
    if (!is_warming_up(engine)) engine.slow_start_sends.clear();
  }
}

/// Work that a request counts against the budget: its class's mean, or its own expected work if that is more.
double SlowStart::budgeted_work(const Request& request) const {
  const ClassState& class_state = state_.class_of(request);
  const double factor = class_state.cost_samples >= trusted_samples
                            ? class_state.cost_bias
                            : unlearned_cost_factor * std::max(1.0, class_state.cost_bias);
  return std::max({min_budgeted_work, class_state.mean_cost * factor, costs_.cost_of(request)});
}

/// With many managers, equal shares would be smaller than one request, so only some managers get a share. The
/// engine's id determines which. All managers compute the same result, so the shares never sum to more than
/// the budget.
double SlowStart::manager_budget(const Engine& engine, double budget_per_core) const {
  const double instances = instance_count(state_.settings);
  const double index = state_.settings.instance_index;
  const double budget = engine.cores * budget_per_core;
  const double sharing_managers = std::clamp(std::floor(budget / min_manager_budget), 1.0, instances);
  const double rank =
      std::fmod(static_cast<double>(engine.entry.engine % 65521U) * 7919.0 + index, instances);
  return index < instances && rank < sharing_managers ? budget / sharing_managers : 0.0;
}

}  // namespace paddlestand::decision

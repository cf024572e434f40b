#include "decision/slow_start.hpp"

#include <algorithm>
#include <cmath>

#include "decision/units.hpp"

namespace paddlestand::decision {
namespace {

/// Share of the budget that is used: actual work may pass the estimates.
constexpr double budget_use = 0.9;
/// Busy share of the cores at which the rules speak of capacity; less for speed.
constexpr double busy_share_at_capacity = 0.68;
/// Sends are counted over so many overload windows.
constexpr double window_factor = 1.05;
/// Least part of a budget that one manager can use, in seconds of work.
constexpr double min_budget_part = 1.5;
/// Factor on estimates until enough answers corrected them.
constexpr double unlearned_cost_factor = 2;
constexpr double min_budgeted_work = 0.05;  // s
constexpr double min_capacity_share = 0.1;

}  // namespace

bool SlowStart::is_warming_up(const Engine& engine) const { return state_.now < engine.slow_start_until; }

bool SlowStart::allows(const Request& request, const Engine& engine) const {
  if (!is_warming_up(engine)) return true;
  const Settings& settings = state_.settings;
  const double window = std::max(to_seconds(settings.overload_window), 1e-3);
  // What an earlier incarnation of this manager sent within the window is not known.
  if (state_.now < window) return false;
  double sent = budgeted_work(request);
  for (const auto& [sent_at, work] : engine.slow_start_sends) {
    sent += sent_at > state_.now - window_factor * window ? work : 0.0;
  }
  const double budget_per_core = budget_use * settings.overload_multiple * busy_share_at_capacity *
                                 settings.slow_start_capacity_share * window;
  return sent <= budget_part(engine, budget_per_core);
}

double SlowStart::capacity_share(const Engine& engine) const {
  if (!is_warming_up(engine)) return 1.0;
  return std::clamp(state_.settings.slow_start_capacity_share, min_capacity_share, 1.0);
}

void SlowStart::record_send(const Request& request, Engine& engine) const {
  if (is_warming_up(engine)) engine.slow_start_sends.emplace_back(state_.now, budgeted_work(request));
}

void SlowStart::forget_warm_engines() {
  for (auto& [id, engine] : state_.engines) {
    if (!is_warming_up(engine)) engine.slow_start_sends.clear();
  }
}

/// What a request counts: its class's usual work, or its own where that is estimated to be more.
double SlowStart::budgeted_work(const Request& request) const {
  const ClassState& class_state = state_.class_of(request);
  const double factor = class_state.cost_samples >= trusted_samples
                            ? class_state.cost_bias
                            : unlearned_cost_factor * std::max(1.0, class_state.cost_bias);
  return std::max({min_budgeted_work, class_state.mean_cost * factor, costs_.cost_of(request)});
}

/// With many managers an even part is less than one request, so a few have larger parts: those whose position
/// follows from the engine's id. All managers compute alike, so the parts never sum to more than the budget.
double SlowStart::budget_part(const Engine& engine, double budget_per_core) const {
  const double instances = instance_count(state_.settings);
  const double index = state_.settings.instance_index;
  const double budget = engine.cores * budget_per_core;
  const double users = std::clamp(std::floor(budget / min_budget_part), 1.0, instances);
  const double position =
      std::fmod(static_cast<double>(engine.entry.engine % 65521U) * 7919.0 + index, instances);
  return index < instances && position < users ? budget / users : 0.0;
}

}  // namespace paddlestand::decision

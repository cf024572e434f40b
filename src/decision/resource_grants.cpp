#include "decision/resource_grants.hpp"

#include <algorithm>
#include <cmath>

#include "decision/units.hpp"

namespace paddlestand::decision {
namespace {

/// Assumed ratio of cores between adjacent priorities (engines use 1 : 4 : 8 : 16).
constexpr double priority_step_ratio = 4;
/// Ratio of the grant to the corrected estimate; the same as the engines' default.
constexpr double grant_to_estimate_ratio = 1.25;
/// Factor on grants if engines overcommit memory. Only memory in use counts there, so a grant that is too
/// large costs nothing.
constexpr double overcommit_grant_factor = 2;
/// Standard deviations by which the memory bound may be exceeded. Few managers reach a small bound at the
/// same time, but requests that fill memory run long, so the factor is smaller than that for threads.
constexpr double memory_deviations = 0.8;
/// Lowest priority weight per second of work for the priorities 3, 2 and 1, relative to the mean of all
/// requests.
constexpr double priority_3_density = 2;
constexpr double priority_2_density = 0.7;
constexpr double priority_1_density = 0.25;

}  // namespace

std::uint8_t ResourceGrants::priority_of(const Request& request) const {
  const TrafficMix mix = costs_.traffic_mix();
  if (request.over_quota || state_.now > request.arrived_at + costs_.latency_objective_of(request)) return 0;
  const double density = costs_.priority_weight(request.class_index) / costs_.cost_of(request) * mix.work /
                         std::max(mix.priority_weight, 1e-6);
  if (density > priority_3_density) return 3;
  if (density > priority_2_density) return 2;
  return density > priority_1_density ? 1 : 0;
}

double ResourceGrants::granted_memory(const Request& request) const {
  const double bias = state_.settings.engines_honor_grants ? state_.class_of(request).memory_bias : 1.0;
  return positive_or(request.estimated_memory, 0.0) * bias * grant_to_estimate_ratio;
}

bool ResourceGrants::has_memory_for(const Request& request) const {
  if (state_.settings.memory_shortage == MemoryShortage::queue) return true;
  if (state_.class_of(request).is_announced) return true;
  if (state_.unannounced_memory <= 0) return true;
  const double needed = granted_memory(request);
  const double bound = state_.fleet.memory_bound;
  return state_.unannounced_memory + needed <= bound + memory_deviations * std::sqrt(bound * needed);
}

double ResourceGrants::competing_threads(const Request& request) const {
  const std::uint8_t own_priority = priority_of(request);
  double sum = 0;
  const int priorities = static_cast<int>(state_.threads_by_priority.size());
  for (int priority = 0; priority < priorities; ++priority) {
    const bool is_lower = state_.settings.engines_honor_priorities && priority < own_priority;
    const double threads = state_.threads_by_priority[static_cast<std::size_t>(priority)];
    sum += threads * (is_lower ? std::pow(priority_step_ratio, priority - own_priority) : 1);
  }
  return sum;
}

std::optional<SetResourceGrant> ResourceGrants::grant_for(const Request& request,
                                                          const Attempt& attempt) const {
  const Settings& settings = state_.settings;
  if (!settings.engines_honor_priorities && !settings.engines_honor_grants) return std::nullopt;
  const double factor = settings.memory_shortage == MemoryShortage::overcommit ? overcommit_grant_factor : 1;
  const double memory = settings.engines_honor_grants ? attempt.granted_memory * factor : 0.0;
  return SetResourceGrant{request.id, attempt.priority, memory};
}

}  // namespace paddlestand::decision

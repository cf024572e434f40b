/// \file
/// Load balancing: chooses the engine for a request and sets this manager's share of the fleet's threads and
/// memory.
#pragma once

#include "decision/cost_model.hpp"
#include "decision/manager_state.hpp"
#include "decision/outlier_detector.hpp"
#include "decision/resource_grants.hpp"
#include "decision/send_rules.hpp"
#include "decision/slow_start.hpp"

namespace paddlestand::decision {

class LoadBalancer {
 public:
  LoadBalancer(ManagerState& state, const CostModel& costs, const ResourceGrants& grants,
               const SendRules& rules, const SlowStart& slow_start, const OutlierDetector& outliers)
      : state_(state),
        costs_(costs),
        grants_(grants),
        rules_(rules),
        slow_start_(slow_start),
        outliers_(outliers) {}

  /// The least loaded engine that `request` may be sent to and that has capacity for it; null if there is
  /// none. Ties are broken at random, so that managers with the same information choose different engines.
  [[nodiscard]] Engine* choose(const Request& request);

  /// Updates this manager's bounds on threads and memory over all engines.
  void update_bounds();

  /// Updates the load of a zone from a report of one of its engines.
  void record_report(const Engine& engine, const LoadReport& report);

 private:
  /// Weights of the load terms that are the same for all engines.
  struct Weights {
    double cross_zone = 0;
    double zone_load = 0;
  };

  [[nodiscard]] Weights randomized_weights(const Request& request);
  [[nodiscard]] bool is_eligible(const Request& request, const Engine& engine) const;
  [[nodiscard]] bool fleet_has_capacity_for(const Request& request) const;
  [[nodiscard]] bool is_within_announced_limits(const Request& request, const Engine& engine) const;
  [[nodiscard]] double randomized_load(const Request& request, const Engine& engine, const Weights& weights);
  [[nodiscard]] double thread_bound(const Engine& engine) const;
  [[nodiscard]] double draw_uniform();

  ManagerState& state_;
  const CostModel& costs_;
  const ResourceGrants& grants_;
  const SendRules& rules_;
  const SlowStart& slow_start_;
  const OutlierDetector& outliers_;
};

}  // namespace paddlestand::decision

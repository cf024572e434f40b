/// \file
/// Load balancing: which engine a request goes to, and this manager's part of the fleet's threads and memory.
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

  /// The engine with the least load among those where `request` may go and that have capacity for it; null
  /// where there is none. Draws random numbers, so that managers that see the same choose differently.
  [[nodiscard]] Engine* choose(const Request& request);

  /// Sets this manager's bounds on threads and memory over all engines.
  void update_bounds();

  /// Learns the load of a zone from what one of its engines reports.
  void record_report(const Engine& engine, const LoadReport& report);

 private:
  /// What the choice for one request weighs, the same for all engines.
  struct Weights {
    double cross_zone = 0;
    double zone_load = 0;
  };

  [[nodiscard]] Weights draw_weights(const Request& request);
  [[nodiscard]] bool is_eligible(const Request& request, const Engine& engine) const;
  [[nodiscard]] bool fleet_has_capacity_for(const Request& request) const;
  [[nodiscard]] bool is_within_announced_limits(const Request& request, const Engine& engine) const;
  [[nodiscard]] double draw_load(const Request& request, const Engine& engine, const Weights& weights);
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

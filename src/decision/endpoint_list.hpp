/// \file
/// Applies endpoint updates from discovery to the engine table.
#pragma once

#include "decision/load_balancer.hpp"
#include "decision/manager_state.hpp"
#include "decision/outlier_detector.hpp"

namespace paddlestand::decision {

class EndpointList {
 public:
  EndpointList(ManagerState& state, OutlierDetector& outliers, LoadBalancer& balancer)
      : state_(state), outliers_(outliers), balancer_(balancer) {}

  /// Applies an update. A failed one schedules a new subscription; a complete list removes all engines that
  /// it doesn't contain.
  void apply(const EndpointsChanged& change);

 private:
  void apply_entry(const EngineEntry& entry);
  void mark_attempts_of_earlier_process(EngineId engine);

  ManagerState& state_;
  OutlierDetector& outliers_;
  LoadBalancer& balancer_;
};

}  // namespace paddlestand::decision

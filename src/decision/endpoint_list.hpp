/// \file
/// The list of engines, as discovery reports it.
#pragma once

#include "decision/load_balancer.hpp"
#include "decision/manager_state.hpp"
#include "decision/outlier_detector.hpp"

namespace paddlestand::decision {

class EndpointList {
 public:
  EndpointList(ManagerState& state, OutlierDetector& outliers, LoadBalancer& balancer)
      : state_(state), outliers_(outliers), balancer_(balancer) {}

  /// Applies a change. A failed watch schedules a new subscription; a list that is not a delta removes all
  /// engines that it doesn't name.
  void apply(const EndpointsChanged& change);

 private:
  void apply_entry(const EngineEntry& entry);
  void disown_attempts(EngineId engine);

  ManagerState& state_;
  OutlierDetector& outliers_;
  LoadBalancer& balancer_;
};

}  // namespace paddlestand::decision

/// \file
/// Admission control: each class has a bound on the cost that may be queued, updated once per control period.
///
/// As in the design (paper, section 4), the bound is the sum of a predictive part, from the rate at which the
/// class drains, and a reactive part, a proportional-integral controller on the latency error.
#pragma once

#include <cstddef>

#include "decision/cost_model.hpp"
#include "decision/manager_state.hpp"
#include "decision/resource_grants.hpp"

namespace paddlestand::decision {

/// Control period, in seconds.
inline constexpr double control_period = 1.0;

class AdmissionController {
 public:
  AdmissionController(ManagerState& state, const CostModel& costs, const ResourceGrants& grants)
      : state_(state), costs_(costs), grants_(grants) {}

  /// Whether `request` fits its class's bound; over its tenant's quota, it must also find the engines free. A
  /// request that is alone in its class's queue is admitted while engines are free, so that a small bound
  /// never closes the class, unless latencies over the target have made the feedback bound negative. Requests
  /// that wait for earlier ones of their ordering key don't wait for engines: they count only against
  /// requests of the same key.
  [[nodiscard]] bool admits(const Request& request) const;

  /// Whether most of the engines' threads are in use by requests that `request` competes with.
  [[nodiscard]] bool is_under_pressure(const Request& request) const;

  /// Whether an answer to `request` would come too late: its run time exceeds the time to its deadline, or to
  /// its latency objective if late answers have no weight or engines are under pressure. Such a request is
  /// rejected at once instead of using capacity.
  [[nodiscard]] bool is_too_late(const Request& request) const;

  /// How long the client should wait before it repeats a rejected request; zero: no advice.
  [[nodiscard]] Duration retry_advice(const Request& request) const;

  /// Sets the initial bound of a class at its first requests, before there are measurements.
  void record_arrival(const Request& request);
  void record_answer(const Request& request, const Attempt& attempt);
  void record_start(const Request& request, const Attempt& attempt);
  /// Removes an attempt from the running cost when it ends or its engine is ejected. Work on an ejected
  /// engine would lower the bound for the other engines. Has no effect on later calls for the same attempt.
  void release_running_cost(const Request& request, Attempt& attempt);

  /// Updates the bounds of all classes; called once per control period.
  void update_bounds();

 private:
  struct LatencySample;

  [[nodiscard]] LatencySample sample_latency(std::size_t class_index) const;
  void update_drain_rate(ClassState& class_state) const;
  void update_bound(std::size_t class_index);
  void update_feedback_bound(ClassState& class_state, const LatencySample& sample, double target) const;
  void start_period(ClassState& class_state) const;

  ManagerState& state_;
  const CostModel& costs_;
  const ResourceGrants& grants_;
};

}  // namespace paddlestand::decision

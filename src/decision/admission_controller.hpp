/// \file
/// Admission: each class has a bound on the cost that may be queued, set anew once a control period.
///
/// The mechanism is the design's (paper, section 4): a predictive part from the rate at which the class
/// drains, and a reactive part, a proportional-integral controller on the latency error.
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

  /// Whether the class's bound has capacity for `request`. A request that is alone in its class is admitted
  /// while engines are free, lest the class be shut. Requests that wait for others of their key don't wait
  /// for engines: they count only against their own key.
  [[nodiscard]] bool admits(const Request& request) const;

  /// Whether the engines' threads are nearly all in use, as far as `request` competes for them.
  [[nodiscard]] bool is_under_pressure(const Request& request) const;

  /// Whether `request` can no longer earn anything: its deadline, or its latency objective where late answers
  /// earn nothing, is nearer than its run time. Such a request is rejected at once instead of holding
  /// capacity.
  [[nodiscard]] bool is_past_saving(const Request& request) const;

  /// How long a rejected client should wait; zero: no advice.
  [[nodiscard]] Duration retry_advice(const Request& request) const;

  /// Opens the bound of a class at its first requests, before there is anything to control.
  void record_arrival(const Request& request);
  void record_answer(const Request& request, const Attempt& attempt);
  void record_start(const Request& request, const Attempt& attempt);
  /// Removes an attempt from the running cost, when it ends or its engine is ejected: work on an ejected
  /// engine would only shrink the bound. Does nothing the second time.
  void release_running_cost(const Request& request, Attempt& attempt);

  /// Sets the bounds of all classes; call once a control period.
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

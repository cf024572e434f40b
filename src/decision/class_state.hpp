/// \file
/// What a manager knows of each request class: its queue, its admission bound and its learned figures.
#pragma once

#include <vector>

#include "paddlestand/workload_manager.hpp"

namespace paddlestand::decision {

/// State of one class. Costs are seconds of work on one thread.
struct ClassState {
  std::vector<RequestId> queue;  // held requests, in order of arrival
  double queued_cost = 0;
  double running_cost = 0;  // in flight, without what is on ejected engines

  // Admission bound (admission_controller.hpp).
  double drain_rate = 0;  // 1/rho: cost finished per second, learned
  double feedback_bound = 0;  // b_delta
  double admission_bound = 0;  // b_total
  double last_error = 0;  // s
  double largest_cost = 0;  // seen, decaying
  double finish_rate = 0;  // cost finished per second, smoothed over some periods
  bool was_held_back = false;  // requests were queued when the last period ended
  bool is_closed = false;  // the bound is at its minimum

  // The present control period.
  double finished_cost = 0;
  double latency_sum = 0;  // s
  double answers = 0;
  bool had_arrivals = false;

  // Learned figures (cost_model.hpp).
  double cost_bias = 1;  // actual work over estimated cost
  double cost_samples = 0;
  double cost_scatter = 0.5;  // mean deviation of ln(work / corrected cost)
  double mean_cost = 0;  // of estimates
  double arrivals = 0;  // with an estimate
  double memory_bias = 1;  // actual memory over estimate
  double memory_samples = 0;
  double slowdown = 1;  // recent run time over the run time alone on an engine
  double slowdown_samples = 0;

  bool is_announced = false;  // attempts of this class are announced to peers
};

void visit_class(StateVisitor& visitor, ClassState& class_state);

}  // namespace paddlestand::decision

/// \file
/// State of a request class: its queue, its admission bound and its learned statistics.
#pragma once

#include <vector>

#include "paddlestand/workload_manager.hpp"

namespace paddlestand::decision {

/// State of one class. Costs are seconds of work on one thread.
struct ClassState {
  std::vector<RequestId> queue;  // requests not yet sent, in order of arrival
  double queued_cost = 0;
  double running_cost = 0;  // in flight, except on ejected engines

  // Admission bound (admission_controller.hpp).
  double drain_rate = 0;  // 1/rho: cost finished per second, learned
  double feedback_bound = 0;  // b_delta
  double admission_bound = 0;  // b_total
  double last_error = 0;  // seconds
  double largest_cost = 0;  // largest cost of a request, decaying
  double finish_rate = 0;  // cost finished per second, smoothed over several periods
  bool had_backlog = false;  // requests were queued when the last period ended
  bool is_closed = false;  // the bound is at its minimum

  // The current control period.
  double finished_cost = 0;
  double latency_sum = 0;  // seconds
  double answers = 0;
  bool had_arrivals = false;

  // Learned statistics (cost_model.hpp).
  double cost_bias = 1;  // actual work over estimated cost
  double cost_samples = 0;
  double cost_scatter = 0.5;  // mean deviation of ln(work / corrected cost)
  double mean_cost = 0;  // mean of the estimates
  double arrivals = 0;  // requests with an estimate
  double memory_bias = 1;  // actual memory over estimated memory
  double memory_samples = 0;
  double slowdown = 1;  // recent run time over the run time on an otherwise idle engine
  double slowdown_samples = 0;

  bool is_announced = false;  // new attempts of this class are announced to peers
};

void visit_class(StateVisitor& visitor, ClassState& class_state);

}  // namespace paddlestand::decision

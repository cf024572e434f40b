/// \file
/// Expected cost, run time and value of requests: estimates, corrected by what answers reported.
#pragma once

#include <cstddef>
#include <cstdint>

#include "decision/manager_state.hpp"

namespace paddlestand::decision {

/// Number of answers after which a class's learned statistics are used.
inline constexpr double trusted_samples = 5;
/// Lowest weight of one sample in a learned mean.
inline constexpr double learning_rate = 0.03;
/// Lowest weight of one sample in statistics that follow the current load.
inline constexpr double load_learning_rate = 0.1;

/// Totals over the requests that arrived, to compare one request with the mean.
struct TrafficMix {
  double requests = 0;
  double priority_weight = 0;
  double work = 0;  // seconds on one thread
};

/// Predicts costs and run times and learns from answers. Costs are seconds of work on one thread.
class CostModel {
 public:
  explicit CostModel(ManagerState& state) : state_(state) {}

  /// Expected work of a request: its estimate, corrected by the class's bias. Uncorrected, estimates that are
  /// far too low would understate the running cost, and the bound would admit too much.
  [[nodiscard]] double cost_of(const Request& request) const;
  /// Expected run time on an otherwise idle engine, in seconds.
  [[nodiscard]] double solo_run_time_of(const Request& request) const;
  /// Expected run time of an attempt at the current load, in seconds.
  [[nodiscard]] double expected_run_time(const Request& request, const Attempt& attempt) const;
  /// Time from arrival within which the answer should come, in seconds.
  [[nodiscard]] double latency_objective_of(const Request& request) const;
  /// Latency objective of a request with the class's mean cost, in seconds.
  [[nodiscard]] double mean_latency_objective(std::size_t class_index) const;

  [[nodiscard]] double priority_weight(std::size_t class_index) const;
  /// Priority weight of a class, relative to the mean request.
  [[nodiscard]] double relative_weight(std::size_t class_index) const;
  [[nodiscard]] TrafficMix traffic_mix() const;

  /// Updates the class's means with a request that carries a cost estimate.
  void record_arrival(const Request& request);
  /// Learns from an answer. If the engine reports no work, work is inferred from the run time, provided that
  /// the engine had spare cores.
  void learn(const Request& request, const Attempt& attempt, const AttemptEnded& answer);

 private:
  void learn_cost(const Request& request, double work, bool is_reported);
  void learn_memory(const Request& request, double memory_mb);
  void learn_slowdown(const Request& request, double run_time, double solo_run_time);

  ManagerState& state_;
};

}  // namespace paddlestand::decision

/// \file
/// What requests are expected to cost, to take and to be worth: estimates corrected by what answers showed.
#pragma once

#include <cstddef>
#include <cstdint>

#include "decision/manager_state.hpp"

namespace paddlestand::decision {

/// Answers after which a class's learned figures are trusted.
inline constexpr double trusted_samples = 5;
/// Least weight of one sample in a learned mean.
inline constexpr double learning_rate = 0.03;
/// Least weight of one sample in figures that follow the present load.
inline constexpr double load_learning_rate = 0.1;

/// Totals over the requests that arrived, for comparison with one request.
struct TrafficMix {
  double requests = 0;
  double priority_weight = 0;
  double work = 0;  // s on one thread
};

/// Expected costs, and how they are learned. Costs are seconds of work on one thread.
class CostModel {
 public:
  explicit CostModel(ManagerState& state) : state_(state) {}

  /// Expected work of a request: its estimate, corrected by the class's bias. Estimates far too low would let
  /// the running cost understate the work, and the bound admit too much.
  [[nodiscard]] double cost_of(const Request& request) const;
  /// Expected run time alone on an engine, in seconds.
  [[nodiscard]] double solo_run_time_of(const Request& request) const;
  /// Expected run time of an attempt at the present load, in seconds.
  [[nodiscard]] double expected_run_time(const Request& request, const Attempt& attempt) const;
  /// Time from arrival in which the answer should come, in seconds.
  [[nodiscard]] double latency_objective_of(const Request& request) const;
  /// The same for a mean request of a class.
  [[nodiscard]] double usual_latency_objective(std::size_t class_index) const;

  [[nodiscard]] double priority_weight(std::size_t class_index) const;
  /// Priority weight of a class over that of the mean request.
  [[nodiscard]] double relative_weight(std::size_t class_index) const;
  [[nodiscard]] TrafficMix traffic_mix() const;

  /// Updates the class's means with a request that carries a cost estimate.
  void record_arrival(const Request& request);
  /// Learns from an answer. Where the engine reports no work, the run time stands for it if cores were free.
  void learn(const Request& request, const Attempt& attempt, const AttemptEnded& answer);

 private:
  void learn_cost(const Request& request, double work, bool is_reported);
  void learn_memory(const Request& request, double memory_mb);
  void learn_slowdown(const Request& request, double run_time, double solo_run_time);

  ManagerState& state_;
};

}  // namespace paddlestand::decision

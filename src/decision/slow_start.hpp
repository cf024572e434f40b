/// \file
/// Slow start: an engine that has just started gets little work at first. All managers together must stay
/// below what overloads such an engine, each without knowing what the others send.
#pragma once

#include "decision/cost_model.hpp"
#include "decision/manager_state.hpp"

namespace paddlestand::decision {

class SlowStart {
 public:
  SlowStart(ManagerState& state, const CostModel& costs) : state_(state), costs_(costs) {}

  /// Whether this manager's part of the engine's budget has capacity for `request`. Always true for an engine
  /// that is warm.
  [[nodiscard]] bool allows(const Request& request, const Engine& engine) const;
  /// Share of its capacity that the engine has, from 0.1 to 1.
  [[nodiscard]] double capacity_share(const Engine& engine) const;

  /// Counts a request that goes to `engine` against its budget.
  void record_send(const Request& request, Engine& engine) const;
  /// Drops the records of engines that are warm.
  void forget_warm_engines();

 private:
  [[nodiscard]] bool is_warming_up(const Engine& engine) const;
  [[nodiscard]] double budgeted_work(const Request& request) const;
  [[nodiscard]] double budget_part(const Engine& engine, double budget_per_core) const;

  ManagerState& state_;
  const CostModel& costs_;
};

}  // namespace paddlestand::decision

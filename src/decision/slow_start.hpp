/// \file
/// Slow start: an engine that has just started gets little work at first. All managers together must not
/// overload such an engine, though none knows what the others send.
#pragma once

#include "decision/cost_model.hpp"
#include "decision/manager_state.hpp"

namespace paddlestand::decision {

class SlowStart {
 public:
  SlowStart(ManagerState& state, const CostModel& costs) : state_(state), costs_(costs) {}

  /// Whether `request` fits this manager's share of the engine's budget. Always true after the slow start.
  [[nodiscard]] bool allows(const Request& request, const Engine& engine) const;
  /// Current capacity of the engine as a share of its full capacity, from 0.1 to 1.
  [[nodiscard]] double capacity_share(const Engine& engine) const;

  /// Counts a request that is sent to `engine` against its budget.
  void record_send(const Request& request, Engine& engine) const;
  /// Drops the recorded sends of engines whose slow start is over.
  void erase_sends_to_warm_engines();

 private:
  [[nodiscard]] bool is_warming_up(const Engine& engine) const;
  [[nodiscard]] double budgeted_work(const Request& request) const;
  [[nodiscard]] double manager_budget(const Engine& engine, double budget_per_core) const;

  ManagerState& state_;
  const CostModel& costs_;
};

}  // namespace paddlestand::decision

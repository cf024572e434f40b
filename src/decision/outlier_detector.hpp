/// \file
/// Outlier detection: engines that fail or stop responding are ejected, and are readmitted after a health
/// check and a probation with single requests.
#pragma once

#include <cstdint>

#include "decision/action_sink.hpp"
#include "decision/admission_controller.hpp"
#include "decision/cost_model.hpp"
#include "decision/manager_state.hpp"

namespace paddlestand::decision {

class OutlierDetector {
 public:
  OutlierDetector(ManagerState& state, ActionSink& actions, const CostModel& costs,
                  AdmissionController& admission)
      : state_(state), actions_(actions), costs_(costs), admission_(admission) {}

  /// Expected share of failures at an engine, from 0 to 1. Without new outcomes it decays to the mean over
  /// all engines.
  [[nodiscard]] double failure_score(const Engine& engine) const;

  /// Updates the health of an attempt's engine with the attempt's result.
  void record_outcome(const Request& request, Attempt& attempt, AttemptResult result);
  /// Counts the cancellation of an overdue attempt. It has little weight, as the cause may be a bad plan.
  void record_overdue_cancellation(Engine& engine);
  void record_probe(Engine& engine, AttemptResult result);
  /// Discards the failures of the engine's previous process.
  void record_restart(Engine& engine);

  /// Updates the number of overdue attempts of each engine.
  void count_overdue_attempts();
  /// Ejects engines that answer nothing while attempts are overdue, unless more than half of the ready
  /// engines would be unhealthy then. Starts the recovery of ejected engines whose ejection time is over.
  void check_engines();
  /// Erases engines that are no longer listed or referenced and whose outcomes no longer count. Without this
  /// the table would grow without limit, as an autoscaled fleet assigns new ids all the time.
  void erase_removed_engines();

 private:
  enum class Outcome : std::uint8_t { success, failure };

  void record_success(Engine& engine);
  void record_failure(Engine& engine, const char* reason);
  void record_error(const Request& request, Attempt& attempt, Engine& engine);
  void record_reset(const Attempt& attempt, Engine& engine);
  static void attribute_resets_to_connection(Engine& engine);
  void update_failure_rate(Engine& engine, Outcome outcome, double min_weight);
  void eject(Engine& engine, const char* reason);
  void start_recovery(Engine& engine);
  [[nodiscard]] double evidence_weight(const Engine& engine) const;
  [[nodiscard]] double next_ejection_time(const Engine& engine) const;
  [[nodiscard]] bool is_silent(const Engine& engine) const;

  ManagerState& state_;
  ActionSink& actions_;
  const CostModel& costs_;
  AdmissionController& admission_;
};

}  // namespace paddlestand::decision

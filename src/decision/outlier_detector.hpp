/// \file
/// Outlier detection: engines that fail or fall silent are ejected, and come back by a health check and a
/// probation of single requests.
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

  /// Expected share of failures at an engine, from 0 to 1: what was seen of it decays towards what is usual.
  [[nodiscard]] double failure_score(const Engine& engine) const;

  /// Judges the engine of an attempt by how the attempt ended.
  void record_outcome(const Request& request, Attempt& attempt, AttemptResult result);
  /// Counts an overdue attempt that is cancelled. It may be a bad plan, so it says little of the engine.
  void record_overdue_cancellation(Engine& engine);
  void record_probe(Engine& engine, AttemptResult result);
  /// The engine's process is a new one: failures of the earlier one don't count.
  void record_restart(Engine& engine);

  /// Counts the overdue attempts of each engine.
  void count_overdue_attempts();
  /// Ejects engines that answer nothing while attempts are overdue, and checks ejected ones whose time is
  /// over.
  void check_engines();
  /// Erases engines that are not listed any more, of which nothing is in flight or remembered. Engines of a
  /// fleet that scales get new ids for ever.
  void forget_removed_engines();

 private:
  enum class Outcome : std::uint8_t { success, failure };

  void record_success(Engine& engine);
  void record_failure(Engine& engine, const char* reason);
  void record_error(const Request& request, Attempt& attempt, Engine& engine);
  void record_reset(const Attempt& attempt, Engine& engine);
  static void explain_resets(Engine& engine);
  void update_failure_rate(Engine& engine, Outcome outcome, double min_weight);
  void eject(Engine& engine, const char* reason);
  void start_recovery(Engine& engine);
  [[nodiscard]] double freshness(const Engine& engine) const;
  [[nodiscard]] double next_ejection_time(const Engine& engine) const;
  [[nodiscard]] bool is_silent(const Engine& engine) const;

  ManagerState& state_;
  ActionSink& actions_;
  const CostModel& costs_;
  AdmissionController& admission_;
};

}  // namespace paddlestand::decision

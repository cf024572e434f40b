/// \file
/// Timeouts of attempts: those far past their expected time are cancelled, to be repeated on another engine.
#pragma once

#include "decision/action_sink.hpp"
#include "decision/cost_model.hpp"
#include "decision/manager_state.hpp"
#include "decision/outlier_detector.hpp"
#include "decision/send_rules.hpp"

namespace paddlestand::decision {

class AttemptTimeouts {
 public:
  AttemptTimeouts(ManagerState& state, ActionSink& actions, const CostModel& costs, const SendRules& rules,
                  OutlierDetector& outliers)
      : state_(state), actions_(actions), costs_(costs), rules_(rules), outliers_(outliers) {}

  /// Records a progress report of an attempt; those of unknown attempts are ignored.
  void record_progress(const ProgressReported& report);

  /// Cancels overdue attempts that may still be retried, within a limit on cancellations.
  void cancel_overdue();

 private:
  [[nodiscard]] bool is_overdue(const Request& request, const Attempt& attempt) const;
  [[nodiscard]] bool is_overdue_by_progress(const Attempt& attempt, double expected) const;
  [[nodiscard]] bool is_cancellation_limit_reached() const;

  ManagerState& state_;
  ActionSink& actions_;
  const CostModel& costs_;
  const SendRules& rules_;
  OutlierDetector& outliers_;
};

}  // namespace paddlestand::decision

/// \file
/// Attempt timeouts: attempts far past their expected run time are cancelled and retried on another engine.
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

  /// Records a progress report; reports of unknown attempts are ignored.
  void record_progress(const ProgressReported& report);

  /// Cancels overdue attempts that may be retried, up to a limit on the rate of cancellations.
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

/// \file
/// Rules on whether a request may be sent to an engine, retried or rejected. Every send and every rejection
/// is checked here.
#pragma once

#include "decision/admission_controller.hpp"
#include "decision/manager_state.hpp"
#include "decision/slow_start.hpp"

namespace paddlestand::decision {

class SendRules {
 public:
  SendRules(const ManagerState& state, const AdmissionController& admission, const SlowStart& slow_start)
      : state_(state), admission_(admission), slow_start_(slow_start) {}

  /// Whether an attempt of `request` may be sent now to any engine.
  [[nodiscard]] bool may_send_now(const Request& request) const;
  /// Whether an attempt that may_send_now() allows may go to `engine`.
  [[nodiscard]] bool may_send_to(const Request& request, const Engine& engine) const;
  /// Whether another attempt would be allowed on some engine, given that the current one may have run.
  [[nodiscard]] bool may_retry(const Request& request) const;
  /// Whether the client may be told to repeat `request`. It may not if the request may have run and a
  /// repetition would run again.
  [[nodiscard]] bool may_reject(const Request& request) const;

  /// Whether `request` is the first of its ordering key and, unless it was sent before, the key has settled.
  [[nodiscard]] bool has_turn(const Request& request) const;
  /// Whether the retry budget allows the next attempt; always true for a first attempt.
  [[nodiscard]] bool is_within_retry_budget(const Request& request) const;

 private:
  [[nodiscard]] bool is_placement_allowed(const Request& request, const Engine& engine) const;
  [[nodiscard]] bool is_repeat_safe(const Request& request, const Engine& engine) const;

  const ManagerState& state_;
  const AdmissionController& admission_;
  const SlowStart& slow_start_;
};

}  // namespace paddlestand::decision

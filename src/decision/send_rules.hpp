/// \file
/// What the rules allow for a request: to send it to an engine, to retry it, to reject it. Every send and
/// every rejection passes here.
#pragma once

#include "decision/admission_controller.hpp"
#include "decision/manager_state.hpp"
#include "decision/slow_start.hpp"

namespace paddlestand::decision {

class SendRules {
 public:
  SendRules(const ManagerState& state, const AdmissionController& admission, const SlowStart& slow_start)
      : state_(state), admission_(admission), slow_start_(slow_start) {}

  /// Whether an attempt of `request` may be sent now, to whichever engine.
  [[nodiscard]] bool may_send_now(const Request& request) const;
  /// Whether `engine` may get an attempt of `request`, where may_send_now() allows one.
  [[nodiscard]] bool may_send_to(const Request& request, const Engine& engine) const;
  /// Whether another attempt could be made at all, once the present one has ended in doubt.
  [[nodiscard]] bool may_retry(const Request& request) const;
  /// Whether the client may be invited to repeat `request`: not where it may have run and a repeat may run
  /// again.
  [[nodiscard]] bool may_reject(const Request& request) const;

  /// Whether `request` is the first of its ordering key, and the key has settled.
  [[nodiscard]] bool has_turn(const Request& request) const;
  /// Whether the retry budget allows the next attempt; a first attempt needs none.
  [[nodiscard]] bool is_within_retry_budget(const Request& request) const;

 private:
  [[nodiscard]] bool is_placement_allowed(const Request& request, const Engine& engine) const;
  [[nodiscard]] bool is_repeat_safe(const Request& request, const Engine& engine) const;

  const ManagerState& state_;
  const AdmissionController& admission_;
  const SlowStart& slow_start_;
};

}  // namespace paddlestand::decision

/// \file
/// The lifecycle of a request: queued in its class, sent, answered, removed. Maintains all counts of queued
/// requests and attempts in flight.
#pragma once

#include "decision/action_sink.hpp"
#include "decision/admission_controller.hpp"
#include "decision/cost_model.hpp"
#include "decision/manager_state.hpp"
#include "decision/peer_gossip.hpp"
#include "decision/resource_grants.hpp"
#include "decision/send_rules.hpp"
#include "decision/slow_start.hpp"

namespace paddlestand::decision {

class RequestLifecycle {
 public:
  RequestLifecycle(ManagerState& state, ActionSink& actions, const CostModel& costs,
                   const ResourceGrants& grants, AdmissionController& admission, const SendRules& rules,
                   const SlowStart& slow_start, PeerGossip& gossip)
      : state_(state),
        actions_(actions),
        costs_(costs),
        grants_(grants),
        admission_(admission),
        rules_(rules),
        slow_start_(slow_start),
        gossip_(gossip) {}

  /// Adds a request to its class's queue, in order of arrival.
  void enqueue(Request& request);
  /// Sends a request to an engine. The caller must have checked that the rules allow it.
  void start_attempt(Request& request, Engine& engine);
  /// Removes an ended attempt from all counts.
  void end_attempt(const Request& request, Attempt& attempt);

  /// Gives the final answer: a rejection if the client may repeat the request, otherwise a failure. Has no
  /// effect if the request is over.
  void reject_or_fail(Request& request);
  /// Closes a request without an answer, because its client stopped waiting.
  void abandon(Request& request);
  /// Marks a request as over. The reference must not be used afterwards.
  void close(Request& request);
  /// Erases a request that is over and has no attempt in flight.
  void erase_if_done(RequestId id);

 private:
  void remove_from_queue(Request& request);
  void cancel_attempts(const Request& request);

  ManagerState& state_;
  ActionSink& actions_;
  const CostModel& costs_;
  const ResourceGrants& grants_;
  AdmissionController& admission_;
  const SendRules& rules_;
  const SlowStart& slow_start_;
  PeerGossip& gossip_;
};

}  // namespace paddlestand::decision

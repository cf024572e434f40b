/// \file
/// The life of a request: queued in its class, sent, answered, removed. Keeps all counts of what is
/// queued and in flight.
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

  /// Puts a request into its class's queue, in order of arrival.
  void hold(Request& request);
  /// Sends a request to an engine. The caller has checked that the rules allow it.
  void start_attempt(Request& request, Engine& engine);
  /// Removes an attempt that has ended from all counts.
  void end_attempt(const Request& request, Attempt& attempt);

  /// Gives the final answer now: a rejection where the client may repeat the request, else a failure. Does
  /// nothing for a request that is over.
  void reject_or_fail(Request& request);
  /// The client has disconnected: nothing is to be answered.
  void abandon(Request& request);
  /// Marks a request as answered. The reference may not be used afterwards.
  void close(Request& request);
  /// Erases a request that is over and has no attempt in flight.
  void forget_if_done(RequestId id);

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

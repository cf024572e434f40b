// Connects the components of the decision module to a state that a test sets up.
#pragma once

#include <utility>
#include <variant>
#include <vector>

#include "decision/action_sink.hpp"
#include "decision/admission_controller.hpp"
#include "decision/attempt_timeouts.hpp"
#include "decision/cost_model.hpp"
#include "decision/endpoint_list.hpp"
#include "decision/load_balancer.hpp"
#include "decision/manager_state.hpp"
#include "decision/outlier_detector.hpp"
#include "decision/peer_gossip.hpp"
#include "decision/request_lifecycle.hpp"
#include "decision/resource_grants.hpp"
#include "decision/send_rules.hpp"
#include "decision/slow_start.hpp"
#include "manager_harness.hpp"

namespace paddlestand::decision {

struct DecisionFixture {
  explicit DecisionFixture(Settings settings = test::small_deployment()) : state(std::move(settings)) {
    sink.write_to(actions);
  }

  /// Adds a request with an estimated cost of `cost` seconds that arrives now and has a deadline in five
  /// seconds.
  Request& add_request(RequestId id, std::uint32_t class_index = 0, double cost = 0.1) {
    Request request;
    request.id = id;
    request.class_index = class_index;
    request.arrived_at = state.now;
    request.first_of_key_since = state.now;
    request.deadline = state.now + 5;
    request.has_cost_estimate = true;
    request.estimated_cost = cost;
    return state.requests.add(std::move(request));
  }

  /// Adds an engine of kind 0 and updates the bounds.
  Engine& add_engine(EngineId id, EngineState engine_state = EngineState::ready) {
    const std::vector<EngineEntry> entries{test::engine(id, engine_state)};
    endpoints.apply({EndpointUpdate::delta, entries});
    return state.engines.at(id);
  }

  template <typename T>
  [[nodiscard]] std::vector<T> emitted() const {
    std::vector<T> found;
    for (const Action& action : actions) {
      if (const T* item = std::get_if<T>(&action)) found.push_back(*item);
    }
    return found;
  }

  ManagerState state;
  ActionSink sink;
  std::vector<Action> actions;
  CostModel costs{state};
  ResourceGrants grants{state, costs};
  AdmissionController admission{state, costs, grants};
  SlowStart slow_start{state, costs};
  SendRules rules{state, admission, slow_start};
  OutlierDetector outliers{state, sink, costs, admission};
  PeerGossip gossip{state, sink, costs};
  LoadBalancer balancer{state, costs, grants, rules, slow_start, outliers};
  AttemptTimeouts timeouts{state, sink, costs, rules, outliers};
  RequestLifecycle lifecycle{state, sink, costs, grants, admission, rules, slow_start, gossip};
  EndpointList endpoints{state, outliers, balancer};
};

}  // namespace paddlestand::decision

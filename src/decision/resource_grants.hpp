/// \file
/// Priorities and memory grants of requests, and how requests in flight compete with another request.
#pragma once

#include <cstdint>
#include <optional>

#include "decision/cost_model.hpp"
#include "decision/manager_state.hpp"

namespace paddlestand::decision {

class ResourceGrants {
 public:
  ResourceGrants(const ManagerState& state, const CostModel& costs) : state_(state), costs_(costs) {}

  /// Priority from 0 to 3, by priority weight per second of work relative to the mean of all requests, so
  /// that short requests come before long ones. Requests over their quota or past their objective have
  /// priority 0.
  [[nodiscard]] std::uint8_t priority_of(const Request& request) const;

  /// Memory in MB that the engine will grant. If engines honor grants, the estimate is corrected by the
  /// memory use that answers reported.
  [[nodiscard]] double granted_memory(const Request& request) const;

  /// Whether the request fits this manager's share of the fleet's memory. Limits only if a shortage slows
  /// down everything on an engine: always true if engines queue requests when memory runs short, and for
  /// requests that are announced to peers.
  [[nodiscard]] bool has_memory_for(const Request& request) const;

  /// Threads in flight that compete with `request`. If engines share cores by priority, threads of lower
  /// priority count only in part.
  [[nodiscard]] double competing_threads(const Request& request) const;

  /// The grant for an attempt; none if engines honor neither priorities nor memory grants.
  [[nodiscard]] std::optional<SetResourceGrant> grant_for(const Request& request,
                                                          const Attempt& attempt) const;

 private:
  const ManagerState& state_;
  const CostModel& costs_;
};

}  // namespace paddlestand::decision

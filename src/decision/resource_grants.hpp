/// \file
/// Priorities and memory that requests are granted on engines, and what requests in flight weigh on another.
#pragma once

#include <cstdint>
#include <optional>

#include "decision/cost_model.hpp"
#include "decision/manager_state.hpp"

namespace paddlestand::decision {

class ResourceGrants {
 public:
  ResourceGrants(const ManagerState& state, const CostModel& costs) : state_(state), costs_(costs) {}

  /// Priority from 0 to 3: short work ahead of long, by priority weight for each second of work against the
  /// mean of all that arrives. Requests over their quota or past their objective have the lowest.
  [[nodiscard]] std::uint8_t priority_of(const Request& request) const;

  /// Memory in MB that the engine will grant. Where grants are honoured, the estimate is corrected by what
  /// answers showed.
  [[nodiscard]] double granted_memory(const Request& request) const;

  /// Whether this manager's part of the fleet's memory has capacity for the request. Only limits where a
  /// shortage harms all that runs, and only requests that peers aren't notified of.
  [[nodiscard]] bool has_memory_for(const Request& request) const;

  /// Threads in flight as they weigh on `request`: where engines share cores by priority, lower ones hardly
  /// do.
  [[nodiscard]] double competing_threads(const Request& request) const;

  /// The grant that goes with an attempt; none where engines honour neither priorities nor memory grants.
  [[nodiscard]] std::optional<SetResourceGrant> grant_for(const Request& request,
                                                          const Attempt& attempt) const;

 private:
  const ManagerState& state_;
  const CostModel& costs_;
};

}  // namespace paddlestand::decision

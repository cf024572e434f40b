/// Checks the recorded events of a fault run against the rules.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "event_log.hpp"

namespace paddlestand::faults {

/// A rule that every run must satisfy.
enum class Rule : std::uint8_t {
  no_request_lost,  // exactly one answer, from an engine; no attempt after the client abandoned the request
  deadline_within_client_timeout,  // the time granted to an engine
  effect_at_most_once,  // for requests that must not run twice
  rejected_without_effect,  // for requests that must not run twice
  one_attempt_at_a_time,
  no_attempt_at_draining_engine,
  manager_keeps_running,
  manager_becomes_ready,
  manager_logs_no_violation  // detected by its own run-time checks
};

struct Violation {
  Rule rule{};
  std::string description;  // human-readable: which request, where, and by how much
};

/// Formats the violation as one line.
std::string to_line(const Violation& violation);

/// Properties of the run's profile on which the rules depend.
struct VerdictConditions {
  double drain_grace_s = 0;  // after an engine begins to drain; includes the delay of the notification
  bool many_idle_connections = false;  // a new connection may be closed without being read
};

struct Verdict {
  std::vector<Violation> violations;
  std::size_t requests = 0;
  std::size_t served = 0;
  std::size_t rejected = 0;
  std::size_t failed = 0;
};

/// Checks all rules. `events` must be sorted by time.
Verdict check_rules(const std::vector<RunEvent>& events, const VerdictConditions& conditions);

}  // namespace paddlestand::faults

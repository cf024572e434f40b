/// Whether a fault run kept the rules, judged by what its processes wrote down.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "event_log.hpp"

namespace paddlestand::faults {

/// What a run must keep to.
enum class Rule : std::uint8_t {
  no_request_lost,  // one answer, made by an engine; no attempt after the client has abandoned the request
  deadline_within_client_timeout,  // what an engine is granted
  effect_at_most_once,  // of requests that must not run twice
  rejected_without_effect,  // of requests that must not run twice
  one_attempt_at_a_time,
  no_attempt_at_draining_engine,
  manager_keeps_running,
  manager_becomes_ready,
  manager_logs_no_violation  // found by its own run-time checks
};

struct Violation {
  Rule rule{};
  std::string description;  // for a reader: which request, where and how much
};

/// The violation as one line.
std::string to_line(const Violation& violation);

/// What the verdict has to know of the run's profile.
struct RunFacts {
  double drain_grace_s = 0;  // after an engine begins to drain, with the delay until managers hear of it
  bool many_idle_connections = false;  // a new connection may be closed unread
};

struct Verdict {
  std::vector<Violation> violations;
  std::size_t requests = 0;
  std::size_t served = 0;
  std::size_t rejected = 0;
  std::size_t failed = 0;
};

/// `events` by time.
Verdict judge(const std::vector<RunEvent>& events, const RunFacts& facts);

}  // namespace paddlestand::faults

/// \file
/// State of the engines. Times are seconds since the manager's first event.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <utility>

#include "paddlestand/workload_manager.hpp"

namespace paddlestand::decision {

/// Health of an engine according to the outlier detector.
enum class Health : std::uint8_t {
  healthy,
  ejected,  // gets no requests
  probation,  // gets one idempotent request at a time
};

/// Duration of an engine's first ejection, in seconds.
inline constexpr double initial_ejection_time = 1.0;

/// One engine that is listed or was listed recently.
struct Engine {
  EngineEntry entry;
  bool is_listed = false;
  bool is_probing = false;  // a health check is in flight
  double cores = 1;
  double memory_capacity = 0;  // MB; 0: unknown

  // In flight, sent by this manager.
  double queries = 0;
  double threads = 0;
  double memory = 0;  // MB granted
  std::map<double, int> writers;  // number of writing requests by table group

  // In flight, announced by peers.
  double peer_threads = 0;
  double peer_memory = 0;  // MB

  // Outlier detection.
  Health health = Health::healthy;
  double failure_rate = 0;  // share of failures among its outcomes, as of the last outcome
  double last_outcome_at = -1e9;
  double last_answer_at = -1e9;
  double overdue_attempts = 0;  // attempts far overdue count twice
  double busy_since = 0;  // since when there has always been an attempt in flight
  double ejected_until = 0;
  double ejection_time = initial_ejection_time;
  int probation_successes = 0;
  double overloaded_until = -1e9;  // backoff after the engine rejected an attempt
  // Some attempts were reset while others continued, and the engine has not answered since: either one
  // connection was lost or the engine failed. The next two fields are valid only while this one is set.
  bool has_unexplained_resets = false;
  double first_reset_at = 0;
  double failure_score_before_resets = 0;

  // Slow start.
  double slow_start_until = -1e9;
  std::deque<std::pair<double, double>> slow_start_sends;  // time, work on one thread; both in seconds

  [[nodiscard]] bool is_ready() const { return is_listed && entry.state == EngineState::ready; }
};

/// All engines, ordered by id.
using EngineTable = std::map<EngineId, Engine>;

/// Visits all engines; `origin` is the time of the manager's first event on the host's clock.
void visit_engines(StateVisitor& visitor, EngineTable& engines, TimePoint origin);

}  // namespace paddlestand::decision

#include "decision/endpoint_list.hpp"

#include <algorithm>

#include "decision/units.hpp"

namespace paddlestand::decision {
namespace {

/// Time after which a failed subscription is retried, in seconds.
constexpr double resubscribe_delay = 1.0;

}  // namespace

void EndpointList::apply(const EndpointsChanged& change) {
  if (change.scope == EndpointUpdate::failed) {
    state_.schedule.resubscribe_at = state_.now + resubscribe_delay;
    return;
  }
  const bool is_complete = change.scope != EndpointUpdate::delta;
  if (is_complete) {
    for (auto& [id, engine] : state_.engines) engine.is_listed = false;
  }
  for (const EngineEntry& entry : change.engines) apply_entry(entry);
  if (is_complete) {
    for (auto& [id, engine] : state_.engines) {
      if (!engine.is_listed) engine.entry.state = EngineState::removed;
    }
  }
  balancer_.update_bounds();
}

void EndpointList::apply_entry(const EngineEntry& entry) {
  const auto [place, is_new] = state_.engines.try_emplace(entry.engine);
  Engine& engine = place->second;
  const bool has_returned = engine.entry.state == EngineState::removed && entry.state != EngineState::removed;
  const bool has_restarted = !is_new && (has_returned || entry.started > engine.entry.started);
  engine.entry = entry;
  engine.is_listed = entry.state != EngineState::removed;
  const bool has_kind = entry.kind < state_.settings.kinds.size();
  engine.cores = has_kind ? positive_or(state_.settings.kinds[entry.kind].cores, 1.0) : 1.0;
  engine.memory_capacity = has_kind ? positive_or(state_.settings.kinds[entry.kind].memory_mb, 0.0) : 0.0;
  if (entry.started.count() > 0) {
    const double warm_at =
        to_seconds(entry.started - state_.schedule.origin) + to_seconds(state_.settings.slow_start_duration);
    if (warm_at > state_.now) engine.slow_start_until = std::max(engine.slow_start_until, warm_at);
  }
  if (has_restarted) {
    outliers_.record_restart(engine);
    mark_attempts_of_earlier_process(entry.engine);
  }
}

/// Attempts in flight at an engine that restarted were sent to its previous process: their results say
/// nothing about the current one.
void EndpointList::mark_attempts_of_earlier_process(EngineId engine) {
  for (auto& [id, request] : state_.requests) {
    for (Attempt& attempt : request.attempts) {
      if (attempt.in_flight && attempt.engine == engine) attempt.of_earlier_process = true;
    }
  }
}

}  // namespace paddlestand::decision

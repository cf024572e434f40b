#include "decision/outlier_detector.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <string>

namespace paddlestand::decision {
namespace {

/// Lowest weight of one outcome in an engine's failure rate. With it, two failures in a row eject an engine.
constexpr double outcome_weight = 0.25;
/// An engine is ejected if its failure rate exceeds the mean over all engines by more than this.
constexpr double ejection_failure_rate = 0.4;
/// Time constant with which the weight of an engine's earlier outcomes decays, in seconds.
constexpr double evidence_decay_time = 10;
/// Time after which an engine's earlier outcomes no longer count, in seconds.
constexpr double evidence_lifetime = 3 * evidence_decay_time;
constexpr double max_ejection_time = 8.0;  // seconds
/// Number of consecutive successes that end a probation.
constexpr int probation_length = 3;
/// Backoff after an engine rejected an attempt, in seconds.
constexpr double overload_backoff = 0.25;
/// An attempt is overdue after this multiple of its expected run time, plus the slack.
constexpr double overdue_run_times = 3;
constexpr double overdue_slack = 0.25;  // seconds
/// Time without an answer after which an engine with overdue attempts is silent, in seconds.
constexpr double max_silence = 0.6;
/// Number of overdue attempts from which an engine counts as silent.
constexpr double min_overdue_attempts = 2;

}  // namespace

double OutlierDetector::failure_score(const Engine& engine) const {
  return state_.mean_failure_rate +
         evidence_weight(engine) * (engine.failure_rate - state_.mean_failure_rate);
}

void OutlierDetector::record_outcome(const Request& request, Attempt& attempt, AttemptResult result) {
  Engine& engine = state_.engines.at(attempt.engine);
  const bool has_answered = result == AttemptResult::served || result == AttemptResult::engine_error ||
                            result == AttemptResult::rejected;
  if (has_answered) attribute_resets_to_connection(engine);
  switch (result) {
    case AttemptResult::served: record_success(engine); break;
    case AttemptResult::engine_error: record_error(request, attempt, engine); break;
    case AttemptResult::connect_failed: record_failure(engine, "unreachable"); break;
    case AttemptResult::reset: record_reset(attempt, engine); break;
    case AttemptResult::rejected: engine.overloaded_until = state_.now + overload_backoff; break;
    case AttemptResult::timed_out:
    case AttemptResult::cancelled:
    case AttemptResult::not_sent: break;
  }
}

void OutlierDetector::record_overdue_cancellation(Engine& engine) {
  update_failure_rate(engine, Outcome::failure, 0);
}

void OutlierDetector::record_probe(Engine& engine, AttemptResult result) {
  if (engine.health != Health::ejected) return;
  if (result == AttemptResult::served) {
    engine.health = Health::probation;
  } else {
    engine.ejected_until = state_.now + initial_ejection_time;
  }
}

void OutlierDetector::record_restart(Engine& engine) {
  engine.failure_rate = 0;
  engine.has_unexplained_resets = false;
  engine.overloaded_until = state_.now;
  if (engine.health == Health::ejected) engine.ejected_until = state_.now;
}

void OutlierDetector::count_overdue_attempts() {
  for (auto& [id, engine] : state_.engines) engine.overdue_attempts = 0;
  for (const auto& [id, request] : state_.requests) {
    for (const Attempt& attempt : request.attempts) {
      if (!attempt.in_flight || attempt.cancelled || attempt.of_earlier_process) continue;
      const double limit = overdue_run_times * costs_.expected_run_time(request, attempt) + overdue_slack;
      const double age = state_.now - attempt.sent_at;
      if (age > limit) state_.engines.at(attempt.engine).overdue_attempts += age > 2 * limit ? 2 : 1;
    }
  }
}

void OutlierDetector::check_engines() {
  const FleetSummary& fleet = state_.fleet;
  for (auto& [id, engine] : state_.engines) {
    // A silent engine is ejected only if at most half of the ready engines are unhealthy then. If more of
    // them are silent, the cause is not in single engines, and ejecting them would overload the others.
    // Ejections for failures have no such limit.
    const bool may_eject = 2 * (fleet.unhealthy_engines + 1) <= fleet.ready_engines;
    if (is_silent(engine) && may_eject) eject(engine, "not responding");
    if (engine.health == Health::ejected && state_.now >= engine.ejected_until && engine.is_ready() &&
        !engine.is_probing) {
      start_recovery(engine);
    }
  }
}

void OutlierDetector::erase_removed_engines() {
  std::set<EngineId> referenced;
  for (const auto& [id, request] : state_.requests) {
    for (const Attempt& attempt : request.attempts) referenced.insert(attempt.engine);
  }
  for (const PeerReport& peer : state_.gossip.peers) {
    for (const GossipEntry& entry : peer.in_flight) referenced.insert(entry.engine);
  }
  std::erase_if(state_.engines, [&](const auto& entry) {
    const auto& [id, engine] = entry;
    const double last_seen =
        std::max({engine.last_outcome_at, engine.last_answer_at, engine.slow_start_until});
    return !engine.is_listed && !engine.is_probing && state_.now > last_seen + evidence_lifetime &&
           !referenced.contains(id);
  });
}

void OutlierDetector::record_success(Engine& engine) {
  engine.last_answer_at = state_.now;
  update_failure_rate(engine, Outcome::success, outcome_weight);
  if (engine.health != Health::probation) return;
  engine.probation_successes += 1;
  if (engine.probation_successes < probation_length) return;
  actions_.emit(Log{"engine " + std::to_string(engine.entry.engine) + " readmitted"});
  engine.health = Health::healthy;
  engine.failure_rate = 0;
}

void OutlierDetector::record_failure(Engine& engine, const char* reason) {
  engine.last_answer_at = state_.now;
  update_failure_rate(engine, Outcome::failure, outcome_weight);
  if (engine.health == Health::probation ||
      engine.failure_rate > ejection_failure_rate + state_.mean_failure_rate) {
    eject(engine, reason);
  }
}

/// A request that fails on several engines is itself the cause: its failures count against none of them.
void OutlierDetector::record_error(const Request& request, Attempt& attempt, Engine& engine) {
  attempt.failure_score_before = failure_score(engine);
  const auto earlier =
      std::find_if(request.attempts.begin(), request.attempts.end(), [&](const Attempt& other) {
        return other.failure_score_before >= 0 && other.engine != attempt.engine;
      });
  if (earlier == request.attempts.end()) {
    record_failure(engine, "query errors");
    return;
  }
  Engine& earlier_engine = state_.engines.at(earlier->engine);
  earlier_engine.failure_rate = std::min(earlier_engine.failure_rate, earlier->failure_score_before);
  if (earlier_engine.health == Health::ejected) {
    earlier_engine.health = Health::probation;
    earlier_engine.probation_successes = probation_length - 1;
  }
}

/// A lost connection resets the attempts on it; a failed engine resets all its attempts. While other attempts
/// continue, the engine is not ejected: its next answer or failure shows which of the two happened.
void OutlierDetector::record_reset(const Attempt& attempt, Engine& engine) {
  const bool has_other_attempts = engine.queries > 0;
  const bool is_same_connection_loss =
      !engine.has_unexplained_resets || attempt.sent_at <= engine.first_reset_at;
  if (engine.health != Health::healthy || !has_other_attempts || !is_same_connection_loss) {
    record_failure(engine, "unreachable");
    return;
  }
  if (!engine.has_unexplained_resets) {
    engine.has_unexplained_resets = true;
    engine.first_reset_at = state_.now;
    engine.failure_score_before_resets = failure_score(engine);
  }
  engine.last_answer_at = state_.now;
  update_failure_rate(engine, Outcome::failure, outcome_weight);
}

/// Called when the engine has answered: the earlier resets came from a lost connection and no longer count.
void OutlierDetector::attribute_resets_to_connection(Engine& engine) {
  if (!engine.has_unexplained_resets) return;
  engine.has_unexplained_resets = false;
  engine.failure_rate = std::min(engine.failure_rate, engine.failure_score_before_resets);
}

/// An outcome has more weight after a gap, so that the rate also adapts for an engine that is seldom used.
void OutlierDetector::update_failure_rate(Engine& engine, Outcome outcome, double min_weight) {
  const double observed = outcome == Outcome::failure ? 1 : 0;
  const double gap = 1 - evidence_weight(engine);
  const double score = failure_score(engine);
  engine.failure_rate = score + std::max(min_weight, gap) * (observed - score);
  state_.mean_failure_rate += learning_rate * (observed - state_.mean_failure_rate);
  engine.last_outcome_at = state_.now;
}

void OutlierDetector::eject(Engine& engine, const char* reason) {
  if (engine.health == Health::ejected) return;
  engine.ejection_time = next_ejection_time(engine);
  if (engine.health == Health::healthy) {
    actions_.emit(Log{"engine " + std::to_string(engine.entry.engine) + " ejected: " + reason});
    if (engine.is_ready()) state_.fleet.unhealthy_engines += 1;
  }
  engine.health = Health::ejected;
  engine.has_unexplained_resets = false;
  engine.ejected_until = state_.now + engine.ejection_time;
  engine.probation_successes = 0;
  for (auto& [id, request] : state_.requests) {
    for (Attempt& attempt : request.attempts) {
      if (attempt.in_flight && attempt.engine == engine.entry.engine) {
        admission_.release_running_cost(request, attempt);
      }
    }
  }
}

/// An engine must first answer a probe. As a probe doesn't prove that requests succeed, a probation with
/// single requests follows.
void OutlierDetector::start_recovery(Engine& engine) {
  if (state_.settings.may_probe) {
    engine.is_probing = true;
    actions_.emit(Probe{engine.entry.engine});
  } else {
    engine.health = Health::probation;
  }
}

/// Weight of an engine's earlier outcomes, decaying from 1 to 0.
double OutlierDetector::evidence_weight(const Engine& engine) const {
  return std::exp((engine.last_outcome_at - state_.now) / evidence_decay_time);
}

/// The time doubles at each failed probation. A probation puts a client's request at risk, so the time is at
/// least the mean interval at which this manager sends a request to any one engine.
double OutlierDetector::next_ejection_time(const Engine& engine) const {
  const double time = engine.health == Health::probation ? 2 * engine.ejection_time : initial_ejection_time;
  const double arrivals = state_.retry_budget.arrivals_within(arrival_window, state_.now);
  const double arrival_rate = std::max(1.0, arrivals) / arrival_window;
  const double mean_send_interval = state_.fleet.ready_engines / arrival_rate;
  return std::clamp(time, std::max(initial_ejection_time, mean_send_interval),
                    std::max(max_ejection_time, 2 * mean_send_interval));
}

bool OutlierDetector::is_silent(const Engine& engine) const {
  const double silent_since = std::max(engine.last_answer_at, engine.busy_since);
  return state_.now - silent_since > max_silence && engine.overdue_attempts >= min_overdue_attempts;
}

}  // namespace paddlestand::decision

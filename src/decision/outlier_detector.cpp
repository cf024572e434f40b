#include "decision/outlier_detector.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <string>

namespace paddlestand::decision {
namespace {

/// Least weight of one outcome in an engine's failure rate: two failures in a row eject it.
constexpr double outcome_weight = 0.25;
/// Share of failures above the usual one at which an engine is ejected.
constexpr double ejection_failure_rate = 0.4;
/// Time constant with which what was seen of an engine decays, in seconds.
constexpr double evidence_decay_time = 10;
/// Time after which observations of an engine no longer count, in seconds.
constexpr double evidence_lifetime = 3 * evidence_decay_time;
constexpr double max_ejection_time = 8.0;  // s
/// Answers in a row, one at a time, that end a probation.
constexpr int probation_length = 3;
/// Backoff after an engine rejected an attempt, in seconds.
constexpr double overload_backoff = 0.25;
/// Expected run times, and seconds added, after which an attempt is overdue.
constexpr double overdue_run_times = 3;
constexpr double overdue_slack = 0.25;
/// Time without an answer after which an engine with overdue attempts is silent, in seconds.
constexpr double max_silence = 0.6;
constexpr double min_overdue_attempts = 2;

}  // namespace

double OutlierDetector::failure_score(const Engine& engine) const {
  return state_.usual_failure_rate + freshness(engine) * (engine.failure_rate - state_.usual_failure_rate);
}

void OutlierDetector::record_outcome(const Request& request, Attempt& attempt, AttemptResult result) {
  Engine& engine = state_.engines.at(attempt.engine);
  const bool has_answered = result == AttemptResult::served || result == AttemptResult::engine_error ||
                            result == AttemptResult::rejected;
  if (has_answered) explain_resets(engine);
  switch (result) {
    case AttemptResult::served: record_success(engine); break;
    case AttemptResult::engine_error: record_error(request, attempt, engine); break;
    case AttemptResult::connect_failed: record_failure(engine, "not reached"); break;
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
    // What affects more than half of the engines together is no reason to eject any: the others would be
    // overrun.
    const bool may_eject = 2 * (fleet.unhealthy_engines + 1) <= fleet.ready_engines;
    if (is_silent(engine) && may_eject) eject(engine, "silent");
    if (engine.health == Health::ejected && state_.now >= engine.ejected_until && engine.is_ready() &&
        !engine.is_probing) {
      start_recovery(engine);
    }
  }
}

void OutlierDetector::forget_removed_engines() {
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
      engine.failure_rate > ejection_failure_rate + state_.usual_failure_rate) {
    eject(engine, reason);
  }
}

/// A request that fails at one engine after another is itself at fault: it counts against none of them.
void OutlierDetector::record_error(const Request& request, Attempt& attempt, Engine& engine) {
  attempt.failure_score_before = failure_score(engine);
  const auto earlier =
      std::find_if(request.attempts.begin(), request.attempts.end(), [&](const Attempt& other) {
        return other.failure_score_before >= 0 && other.engine != attempt.engine;
      });
  if (earlier == request.attempts.end()) {
    record_failure(engine, "failing fast");
    return;
  }
  Engine& earlier_engine = state_.engines.at(earlier->engine);
  earlier_engine.failure_rate = std::min(earlier_engine.failure_rate, earlier->failure_score_before);
  if (earlier_engine.health == Health::ejected) {
    earlier_engine.health = Health::probation;
    earlier_engine.probation_successes = probation_length - 1;
  }
}

/// A connection that ends resets each attempt on it, and an engine that ends resets all. While others go on,
/// the engine is kept: its next answer, or its next failure, tells which it was.
void OutlierDetector::record_reset(const Attempt& attempt, Engine& engine) {
  const bool others_go_on = engine.queries > 0;
  const bool is_of_one_loss = !engine.has_unexplained_resets || attempt.sent_at <= engine.first_reset_at;
  if (engine.health != Health::healthy || !others_go_on || !is_of_one_loss) {
    record_failure(engine, "not reached");
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

/// The engine answers: the resets were of a connection alone, and count no more.
void OutlierDetector::explain_resets(Engine& engine) {
  if (!engine.has_unexplained_resets) return;
  engine.has_unexplained_resets = false;
  engine.failure_rate = std::min(engine.failure_rate, engine.failure_score_before_resets);
}

/// One outcome weighs more after a gap: where few are seen of an engine, each has to say more.
void OutlierDetector::update_failure_rate(Engine& engine, Outcome outcome, double min_weight) {
  const double observed = outcome == Outcome::failure ? 1 : 0;
  const double gap = 1 - freshness(engine);
  const double score = failure_score(engine);
  engine.failure_rate = score + std::max(min_weight, gap) * (observed - score);
  state_.usual_failure_rate += learning_rate * (observed - state_.usual_failure_rate);
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

/// An engine must answer a probe first; that is no proof of health, so a probation of single requests
/// follows.
void OutlierDetector::start_recovery(Engine& engine) {
  if (state_.settings.may_probe) {
    engine.is_probing = true;
    actions_.emit(Probe{engine.entry.engine});
  } else {
    engine.health = Health::probation;
  }
}

/// Weight of what was seen of an engine, decaying from 1 to 0.
double OutlierDetector::freshness(const Engine& engine) const {
  return std::exp((engine.last_outcome_at - state_.now) / evidence_decay_time);
}

/// Doubled at each failed probation. A probation risks a request of ours: where this manager passes an engine
/// seldom, it tries it as seldom.
double OutlierDetector::next_ejection_time(const Engine& engine) const {
  const double time = engine.health == Health::probation ? 2 * engine.ejection_time : initial_ejection_time;
  const double arrivals = state_.retry_budget.arrivals_within(arrival_window, state_.now);
  const double arrival_rate = std::max(1.0, arrivals) / arrival_window;
  const double visit_interval = state_.fleet.ready_engines / arrival_rate;
  return std::clamp(time, std::max(initial_ejection_time, visit_interval),
                    std::max(max_ejection_time, 2 * visit_interval));
}

bool OutlierDetector::is_silent(const Engine& engine) const {
  const double quiet_since = std::max(engine.last_answer_at, engine.busy_since);
  return state_.now - quiet_since > max_silence && engine.overdue_attempts >= min_overdue_attempts;
}

}  // namespace paddlestand::decision

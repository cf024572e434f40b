#include "decision/engine_table.hpp"

#include <cmath>

#include "decision/units.hpp"
#include "decision/visit_fields.hpp"

namespace paddlestand::decision {
namespace {

void visit_entry(StateVisitor& visitor, EngineEntry& entry, TimePoint origin) {
  bool has_start_time = entry.started.count() > 0;
  double started = to_seconds(entry.started - origin);
  visit_integers(visitor, entry.state, entry.kind, entry.zone, entry.cell, has_start_time);
  visitor.number(entry.weight);
  if (has_start_time) visitor.since(started);
  if (!visitor.reads()) return;
  entry.started = has_start_time ? origin + TimePoint{std::llround(started * 1e9)} : TimePoint{};
}

void visit_engine(StateVisitor& visitor, Engine& engine) {
  visit_integers(visitor, engine.is_listed, engine.is_probing, engine.health, engine.probation_successes);
  visit_numbers(visitor, engine.cores, engine.memory_capacity, engine.queries, engine.threads, engine.memory,
                engine.peer_threads, engine.peer_memory, engine.failure_rate);
  visit_numbers(visitor, engine.overdue_attempts, engine.ejection_time);
  visitor.since(engine.last_outcome_at);
  visitor.since(engine.last_answer_at);
  visitor.since(engine.busy_since);
  visitor.until(engine.overloaded_until);
  visitor.until(engine.slow_start_until);
  visitor.until(engine.ejected_until);
  visit_integers(visitor, engine.has_unexplained_resets);
  if (engine.has_unexplained_resets) {
    visitor.since(engine.first_reset_at);
    visitor.number(engine.failure_score_before_resets);
  }
  visit_sequence(visitor, engine.slow_start_sends, [&](std::pair<double, double>& send) {
    visitor.since(send.first);
    visitor.number(send.second);
  });
  visit_map(visitor, engine.writers, [&](double& tables, int& count) {
    visitor.number(tables);
    visit_integer(visitor, count);
  });
}

}  // namespace

void visit_engines(StateVisitor& visitor, EngineTable& engines, TimePoint origin) {
  visit_map(visitor, engines, [&](EngineId& id, Engine& engine) {
    visit_id(visitor, StateVisitor::Name::engine, id);
    if (visitor.reads()) engine.entry.engine = id;
    visit_entry(visitor, engine.entry, origin);
    visit_engine(visitor, engine);
  });
}

}  // namespace paddlestand::decision

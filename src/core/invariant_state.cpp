// The state visitor of the invariant monitor.
#include "invariant_monitor.hpp"
#include "state_walk.hpp"

namespace paddlestand::core {

using monitored::Attempt;
using monitored::Channel;
using monitored::Engine;
using monitored::Query;

bool InvariantMonitor::key_settles_while_active(TimePoint from, TimePoint to) const {
  for (const auto& [key, settling] : key_order_.settling()) {
    const auto queue = key_order_.queues().find(key);
    if (settling.until <= from || settling.until > to || queue == key_order_.queues().end()) continue;
    for (const QueryId id : queue->second) {
      const auto query = queries_.find(id);
      if (query != queries_.end() && query->second.has_active_attempt()) return true;
    }
  }
  return false;
}

void InvariantMonitor::visit(StateVisitor& visitor) {
  const StateWalk fields(visitor, now_);
  fields.table(queries_, [&](QueryId id, const Query& query) {
    fields.name(Name::query, id);
    fields.name(Name::session, query.session);
    fields.integers(query.class_index, query.key, query.answered, query.abandoned, query.delivered_bytes,
                    query.delivered_attempt);
    fields.until(query.arrived + query.client_timeout);
    // Only the idempotency window depends on when an attempt was sent.
    const bool has_window = class_of(query).idempotency == Idempotency::idempotent_with_key;
    fields.list(query.attempts, [&](const Attempt& attempt) {
      fields.name(Name::engine, attempt.engine);
      fields.integers(attempt.handed_over, attempt.active, attempt.rejected, attempt.answer_bytes,
                      attempt.complete);
      if (has_window) fields.since(attempt.sent_at);
    });
  });
  fields.table(channels_, [&](ChannelId id, const Channel& channel) {
    fields.name(Name::channel, id);
    fields.integers(channel.up, channel.carries_query, channel.cancelled, channel.not_reusable,
                    channel.buffered_bytes);
    if (!channel.carries_query && channel.buffered_bytes == 0) return;
    fields.name(Name::query, channel.query);
    fields.integer(channel.attempt_index);
  });
  fields.table(engines_, [&](EngineId id, const Engine& engine) {
    fields.name(Name::engine, id);
    fields.integers(engine.ready, engine.channels);
    if (!engine.ready) fields.since(engine.not_ready_since);
    fields.until(engine.slow_start_ends);
    if (engine.slow_start_ends <= now_) return;
    fields.list(engine.sends_in_slow_start, [&](const auto& send) { fields.since(send.first); });
  });
  fields.table(key_order_.settling(), [&](std::uint64_t key, const monitored::KeyOrder::Settling& settling) {
    fields.integer(key);
    fields.until(settling.until);
    if (settling.until > now_) fields.name(Name::query, settling.query);
  });
  fields.list(retry_window_.arrivals(), [&](TimePoint at) { fields.counted(at); });
  fields.list(retry_window_.retries(), [&](TimePoint at) { fields.counted(at); });
}

}  // namespace paddlestand::core

// Introspection of the query coordinator: counts, consistency checks, and the state visitor.
#include <algorithm>

#include "query_coordinator.hpp"
#include "state_walk.hpp"

namespace paddlestand::core {

Counts QueryCoordinator::counts() const {
  Counts counts;
  counts.sessions = sessions_.size();
  counts.queries_open = unanswered_queries_;
  for (const auto& [id, query] : queries_)
    for (const AttemptRecord& attempt : query.attempts) counts.attempts_out += attempt.is_active() ? 1 : 0;
  counts.channels = channels_.size();
  for (const auto& [id, channel] : channels_)
    counts.channels_probing += channel.use == ChannelUse::probe ? 1 : 0;
  for (const auto& [engine, pool] : pools_) counts.channels_idle += pool.idle().size();
  counts.bytes_buffered = buffers_.total();
  counts.own_timers = timers_.own_size();
  counts.timers = timers_.size();
  return counts;
}

// ---- Consistency checks ----

void QueryCoordinator::check() const {
  check_sessions();
  check_queries();
  check_channels();
  check_pools();
  check_totals();
}

void QueryCoordinator::check_sessions() const {
  for (const auto& [id, session] : sessions_) {
    if (!session.state.is(SessionState::active)) continue;
    const auto query = queries_.find(session.query);
    if (query == queries_.end() || query->second.is_finished())
      fail_assertion("session", id, "waits for a query that is finished");
  }
}

void QueryCoordinator::check_queries() const {
  for (const auto& [id, query] : queries_) {
    if (query.is_finished() && !query.has_active_attempt())
      fail_assertion("query", id, "is finished, but its record was not removed");
    for (std::size_t i = 0; i < query.attempts.size(); ++i) check_attempt(query, i);
  }
}

void QueryCoordinator::check_attempt(const QueryRecord& query, std::size_t attempt_index) const {
  const AttemptRecord& attempt = query.attempts[attempt_index];
  if (attempt.is_active() == attempt.result.has_value())
    fail_assertion("query", query.id, "an attempt is both active and ended, or neither");
  if (!attempt.channel) {
    if (attempt.is_active()) fail_assertion("query", query.id, "an attempt is active without a channel");
    return;
  }
  const auto channel = channels_.find(*attempt.channel);
  if (channel == channels_.end() || channel->second.query != query.id ||
      channel->second.attempt_index != attempt_index)
    fail_assertion("query", query.id, "an attempt and its channel do not refer to each other");
}

void QueryCoordinator::check_channels() const {
  for (const auto& [id, channel] : channels_) check_channel(id, channel);
}

void QueryCoordinator::check_channel(ChannelId id, const ChannelRecord& channel) const {
  const bool is_idle = channel.state.is(ChannelState::idle);
  const bool is_opening = channel.state.is(ChannelState::opening);
  const bool needs_timer = is_idle || is_opening || channel.state.is(ChannelState::cancelling);
  if (needs_timer && !channel.timer) fail_assertion("channel", id, "has no timer that ends its state");
  if (channel.paused) {
    const auto session =
        channel.query ? sessions_.find(queries_.at(*channel.query).session) : sessions_.end();
    if (session == sessions_.end() || session->second.undelivered_bytes == 0)
      fail_assertion("channel", id, "is paused, but no client has undelivered bytes");
  }
  if (is_idle && channel.query) fail_assertion("channel", id, "is idle, but carries an attempt");
  if (channel.use == ChannelUse::query && !is_idle && !is_opening && !channel.query)
    fail_assertion("channel", id, "is in use, but carries no query");
}

void QueryCoordinator::check_pools() const {
  std::map<EngineId, std::uint32_t> channels;
  for (const auto& [id, channel] : channels_)
    if (channel.use == ChannelUse::query) ++channels[channel.engine];
  for (const auto& [engine, pool] : pools_) {
    if (pool.channels() != channels[engine])
      fail_assertion("pool of engine", engine, "wrong count of channels");
    if (pool.channels() > settings_->channels_per_engine)
      fail_assertion("pool of engine", engine, "more channels than allowed");
  }
}

void QueryCoordinator::check_totals() const {
  std::size_t bytes = 0;
  for (const auto& [id, session] : sessions_) bytes += session.undelivered_bytes;
  for (const auto& [id, channel] : channels_) bytes += channel.buffered_bytes;
  if (bytes != buffers_.total()) fail_assertion("coordinator", 0, "wrong count of buffered bytes");
  const auto unanswered = std::count_if(queries_.begin(), queries_.end(),
                                        [](const auto& entry) { return !entry.second.is_finished(); });
  if (static_cast<std::size_t>(unanswered) != unanswered_queries_)
    fail_assertion("coordinator", 0, "wrong count of open queries");
}

// ---- State visitor ----

void QueryCoordinator::visit(StateVisitor& visitor) {
  const StateWalk fields(visitor, now_);
  // Channels first: references to a channel are identified by its state, since ids are never reused.
  visit_channels(fields);
  visit_pools(fields);
  visit_sessions(fields);
  visit_queries(fields);
  visit_timers(fields);
  fields.integers(buffers_.total(), unanswered_queries_, lifecycle_ != Lifecycle::running,
                  lifecycle_ == Lifecycle::finished);
  visitor.behind(static_cast<double>((now_ - module_notified_at_).count()) * 1e-9);
  module_.visit(visitor);
  visitor.behind(0);
}

void QueryCoordinator::visit_channels(const StateWalk& fields) {
  fields.table(channels_, [&](ChannelId id, const ChannelRecord& channel) {
    fields.name(Name::channel, id);
    fields.name(Name::engine, channel.engine);
    fields.integers(channel.use, channel.state.state(), channel.query.has_value(), channel.buffered_bytes,
                    channel.paused, channel.timer.has_value());
    if (channel.query) {
      fields.name(Name::query, *channel.query);
      fields.integer(channel.attempt_index);
    }
    if (channel.timer) fields.until(channel.timer->first);
    if (channel.use == ChannelUse::probe) fields.since(channel.opened_at);
  });
}

void QueryCoordinator::visit_pools(const StateWalk& fields) {
  fields.table(pools_, [&](EngineId engine, const parts::Pool& pool) {
    fields.name(Name::engine, engine);
    fields.integers(pool.is_ready(), pool.channels());
    if (pool.started().count() > 0) fields.since(pool.started());
    fields.list(pool.idle(), [&](ChannelId channel) { fields.name(Name::channel, channel); });
  });
}

void QueryCoordinator::visit_sessions(const StateWalk& fields) {
  fields.table(sessions_, [&](SessionId id, const SessionRecord& session) {
    fields.name(Name::session, id);
    fields.integers(session.state.state(), session.undelivered_bytes);
    if (session.state.is(SessionState::active)) fields.name(Name::query, session.query);
  });
}

void QueryCoordinator::visit_queries(const StateWalk& fields) {
  fields.table(queries_, [&](QueryId id, const QueryRecord& query) {
    fields.name(Name::query, id);
    fields.name(Name::session, query.session);
    fields.integers(query.class_index, query.priority, query.state.state());
    fields.number(query.memory_mb);
    // The times of its arrival and of the starts of its attempts affect only the reported durations.
    fields.until(query.arrived + query.client_timeout);
    fields.list(query.attempts, [&](const AttemptRecord& attempt) {
      fields.name(Name::engine, attempt.engine);
      fields.integers(attempt.state.state(), attempt.channel.has_value(), attempt.result.has_value(),
                      attempt.answer_discarded, attempt.timed_out);
      if (attempt.result) fields.integer(*attempt.result);
      if (attempt.channel) fields.name(Name::channel, *attempt.channel);
    });
  });
}

void QueryCoordinator::visit_timers(const StateWalk& fields) {
  timers_.own().for_each([&](TimePoint due, const Timer& timer) {
    fields.until(due);
    fields.integers(timer.use, timer.attempt_index);
    switch (timer.use) {
      case TimerUse::attempt_timeout: fields.name(Name::query, timer.subject); break;
      case TimerUse::shutdown: break;
      default: fields.name(Name::channel, timer.subject); break;
    }
  });
  fields.list(timers_.for_module(), [&](const auto& timer) {
    fields.until(timer.first);
    fields.integer(timer.second);
  });
}

}  // namespace paddlestand::core

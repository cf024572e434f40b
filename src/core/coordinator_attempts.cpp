// Attempts of the query coordinator: how they start, are cancelled, time out and end.
#include "query_coordinator.hpp"

namespace paddlestand::core {

void QueryCoordinator::apply(const Send& action) {
  QueryRecord& query = queries_.at(action.request);
  if (query.is_finished()) fail_assertion("query", query.id, "sent after its final answer");
  if (!parts::Rules::may_send(query))
    fail_assertion("query", query.id, "sent again after part of an answer went to the client");
  const auto attempt_index = static_cast<std::uint32_t>(query.attempts.size());
  AttemptRecord& attempt = query.attempts.emplace_back(action.engine, query.id, now_);
  parts::Pool& pool = pools_[action.engine];
  if (!pool.is_ready()) {
    end_attempt(query, attempt_index, AttemptResult::not_sent);
    return;
  }
  attempt.timeout = timers_.arm(now_ + action.timeout, {TimerUse::attempt_timeout, query.id, attempt_index});
  switch (pool.placement(settings_->channels_per_engine)) {
    case ChannelPool::Placement::reuse: reuse_channel(query, attempt_index, pool); break;
    case ChannelPool::Placement::open: open_channel_for(query, attempt_index); break;
    case ChannelPool::Placement::none:
      // The module backs off from the engine briefly, as after a rejection by a full engine.
      end_attempt(query, attempt_index, AttemptResult::rejected);
      break;
  }
}

void QueryCoordinator::reuse_channel(QueryRecord& query, std::uint32_t attempt_index, parts::Pool& pool) {
  const ChannelId id = pool.pop_idle();
  ChannelRecord& channel = channels_.at(id);
  timers_.disarm(channel.timer);
  query.attempts[attempt_index].channel = id;
  send_attempt(id, channel, query, attempt_index);
}

void QueryCoordinator::open_channel_for(QueryRecord& query, std::uint32_t attempt_index) {
  AttemptRecord& attempt = query.attempts[attempt_index];
  const ChannelId id = open_channel(attempt.engine, ChannelUse::query, query.id);
  ChannelRecord& channel = channels_.at(id);
  channel.query = query.id;
  channel.attempt_index = attempt_index;
  attempt.channel = id;
}

void QueryCoordinator::send_attempt(ChannelId id, ChannelRecord& channel, QueryRecord& query,
                                    std::uint32_t attempt_index) {
  channel.query = query.id;
  channel.attempt_index = attempt_index;
  channel.state.transition_to(ChannelState::sending, "sending query");
  query.attempts[attempt_index].state.transition_to(AttemptState::sending, "sending query");
  emit(SendQuery{id, query.id, attempt_index, query.priority, query.memory_mb});
}

void QueryCoordinator::apply(const Cancel& action) {
  QueryRecord* query = find_query(action.request);
  if (query == nullptr || action.attempt >= query->attempts.size()) return;
  cancel_attempt(*query, action.attempt);
}

void QueryCoordinator::cancel_attempt(QueryRecord& query, std::uint32_t attempt_index) {
  AttemptRecord& attempt = query.attempts[attempt_index];
  switch (attempt.state.state()) {
    case AttemptState::connecting:
    case AttemptState::sending: end_unsent_attempt(query, attempt_index, AttemptResult::not_sent); break;
    case AttemptState::running:
    case AttemptState::answering: cancel_on_engine(attempt); break;
    case AttemptState::cancelling:
    case AttemptState::finished: break;
  }
}

void QueryCoordinator::time_out_attempt(QueryRecord& query, std::uint32_t attempt_index) {
  AttemptRecord& attempt = query.attempts[attempt_index];
  attempt.timeout.reset();
  switch (attempt.state.state()) {
    case AttemptState::connecting:
    case AttemptState::sending:
      end_unsent_attempt(query, attempt_index, AttemptResult::connect_failed);
      break;
    case AttemptState::running:
    case AttemptState::answering:
      // As after any cancel, the attempt is active until its engine confirms the end or the cancel grace
      // ends.
      attempt.timed_out = true;
      cancel_on_engine(attempt);
      break;
    case AttemptState::cancelling:  // the cancel grace ends it
    case AttemptState::finished: break;
  }
}

void QueryCoordinator::end_unsent_attempt(QueryRecord& query, std::uint32_t attempt_index,
                                          AttemptResult result) {
  AttemptRecord& attempt = query.attempts[attempt_index];
  const std::optional<ChannelId> channel = attempt.channel;
  if (attempt.state.is(AttemptState::connecting)) {
    if (channel) parts::Rules::detach_attempt(channels_.at(*channel), timers_);
    attempt.channel.reset();
    end_attempt(query, attempt_index, result);
    return;
  }
  // A partially sent query can't run: the engine sees the channel close before the end of the query.
  end_attempt(query, attempt_index, result);
  close_channel(channel.value());
}

void QueryCoordinator::cancel_on_engine(AttemptRecord& attempt) {
  const ChannelId id = attempt.channel.value();
  ChannelRecord& channel = channels_.at(id);
  attempt.state.transition_to(AttemptState::cancelling, "module cancels");
  parts::Rules::mark_cancelling(channel);
  emit(CancelOnEngine{id});
  timers_.disarm(channel.timer);
  channel.timer = timers_.arm(now_ + settings_->cancel_grace, {TimerUse::cancel_grace, id, 0});
  // The answer must be read to its end, otherwise the engine never sees the cancel.
  resume_if_paused(id, channel);
}

void QueryCoordinator::end_attempt(QueryRecord& query, std::uint32_t attempt_index, AttemptResult result,
                                   const AnswerEnd* end) {
  AttemptRecord& attempt = query.attempts[attempt_index];
  parts::Rules::finish(attempt, timers_);
  attempt.result = result;
  attempt.duration = now_ - attempt.started_at;
  if (attempt.channel) {
    ChannelRecord& channel = channels_.at(*attempt.channel);
    discard(*attempt.channel, channel);
    channel.query.reset();
    attempt.channel.reset();
  }
  const bool truncated = parts::Rules::truncates_answer(query, result);
  AttemptEnded event;
  event.request = query.id;
  event.attempt = attempt_index;
  event.engine = attempt.engine;
  event.result = result;
  event.elapsed = attempt.duration;
  event.request_over = result == AttemptResult::served || query.is_finished() || truncated;
  if (end != nullptr) {
    event.report = end->report;
    if (result == AttemptResult::served) {
      event.work = end->work;
      event.memory_mb = end->memory_mb;
    }
  }
  notify_module(event);
  const QueryId id = query.id;
  if (truncated && !query.is_finished()) finish_query(query, {.kind = AnswerKind::failed});
  remove_query_if_done(id);
}

}  // namespace paddlestand::core

// Answers: the flow of their bytes from engines to clients, and the final answer of each query.
#include "query_coordinator.hpp"

namespace paddlestand::core {

namespace {

/// The module gives up queries for their deadline at most this many clock steps before the client timeout
/// ends; those that it gives up earlier are given up for load.
constexpr int deadline_margin_steps = 4;

AttemptAccount account_of(const AttemptRecord& attempt, const QueryRecord& query, TimePoint now) {
  const Duration duration = attempt.result ? attempt.duration : now - attempt.started_at;
  return {attempt.engine, attempt.result, attempt.started_at - query.arrived, duration};
}

}  // namespace

// ---- Bytes ----

void QueryCoordinator::receive_bytes(ChannelRecord& channel, std::size_t bytes) {
  channel.buffered_bytes += bytes;
  buffers_.on_received(bytes);
}

void QueryCoordinator::deliver(ChannelId id, ChannelRecord& channel, QueryRecord& query) {
  if (channel.buffered_bytes == 0) return;
  SessionRecord& session = sessions_.at(query.session);
  session.undelivered_bytes += channel.buffered_bytes;
  emit(Deliver{id, query.session, channel.buffered_bytes});
  channel.buffered_bytes = 0;
}

void QueryCoordinator::discard(ChannelId id, ChannelRecord& channel) {
  if (channel.buffered_bytes == 0) return;
  buffers_.on_discarded(channel.buffered_bytes);
  channel.buffered_bytes = 0;
  emit(Discard{id});
}

void QueryCoordinator::on(const ClientConsumed& event) {
  const auto found = sessions_.find(event.session);
  if (found == sessions_.end()) return;  // the session was closed before its write completed
  SessionRecord& session = found->second;
  if (event.bytes > session.undelivered_bytes)
    fail_assertion("session", event.session, "consumed more than was delivered");
  session.undelivered_bytes -= event.bytes;
  buffers_.on_consumed(event.bytes);
  if (!session.state.is(SessionState::active)) return;
  for (const AttemptRecord& attempt : queries_.at(session.query).attempts) {
    if (!attempt.is_active() || !attempt.channel) continue;
    if (!buffers_.may_resume(session.undelivered_bytes)) continue;
    resume_if_paused(*attempt.channel, channels_.at(*attempt.channel));
  }
}

void QueryCoordinator::on(const AnswerPart& event) {
  ChannelRecord* channel = find_channel(event.channel);
  if (channel == nullptr || !channel->query) return;
  mark_sent(*channel);
  QueryRecord& query = queries_.at(*channel->query);
  AttemptRecord& attempt = query.attempts[channel->attempt_index];
  if (attempt.state.is(AttemptState::running))
    attempt.state.transition_to(AttemptState::answering, "first part");
  receive_bytes(*channel, event.bytes);
  if (query.is_finished()) {
    attempt.answer_discarded = true;
    discard(event.channel, *channel);
    return;
  }
  const bool buffer_is_full =
      channel->buffered_bytes > settings_->answer_buffer || buffers_.is_over_total_limit();
  if (attempt.state.is(AttemptState::cancelling)) {
    // The attempt may still be served, but nothing is delivered before its end. Bytes that exceed the buffer
    // are discarded.
    if (!buffer_is_full && !query.state.is(QueryState::streaming)) return;
    attempt.answer_discarded = true;
    discard(event.channel, *channel);
    return;
  }
  if (query.state.is(QueryState::open)) {
    if (!buffer_is_full) return;
    query.state.transition_to(QueryState::streaming, "answer is larger than its buffer");
    notify_module(AnswerStarted{query.id});
  }
  deliver(event.channel, *channel, query);
  pause_if_full(event.channel, *channel, sessions_.at(query.session));
}

// ---- Ends ----

void QueryCoordinator::on(const AnswerEnd& event) {
  ChannelRecord* channel = find_channel(event.channel);
  if (channel == nullptr) return;
  if (channel->use == ChannelUse::probe) {
    const bool is_healthy = event.ending == Ending::complete;
    end_probe(event.channel, is_healthy ? AttemptResult::served : AttemptResult::engine_error, event.report);
    return;
  }
  if (!channel->query) fail_assertion("channel", event.channel, "an answer ended without a query");
  const bool is_reusable = parts::Rules::is_reusable(*channel, event);
  mark_sent(*channel);
  if (parts::Rules::resumes_at_answer_end(*channel)) resume_if_paused(event.channel, *channel);
  receive_bytes(*channel, event.bytes);
  QueryRecord& query = queries_.at(*channel->query);
  const std::uint32_t attempt_index = channel->attempt_index;
  AttemptRecord& attempt = query.attempts[attempt_index];
  const AttemptResult result = result_of_end(event, query, attempt);
  if (result == AttemptResult::served && !query.is_finished()) {
    deliver(event.channel, *channel, query);
    attempt.result = result;
    attempt.duration = now_ - attempt.started_at;
    finish_query(query, {.kind = AnswerKind::served});
  }
  end_attempt(query, attempt_index, result, &event);
  if (!is_reusable) {
    close_channel(event.channel);
    return;
  }
  channel->state.transition_to(ChannelState::idle, "answer ended");
  return_to_pool(event.channel, *channel);
}

AttemptResult QueryCoordinator::result_of_end(const AnswerEnd& event, const QueryRecord& query,
                                              const AttemptRecord& attempt) const {
  switch (event.ending) {
    case Ending::complete: {
      // An answer with a discarded part can't be served. After the final answer it does not matter.
      const bool is_incomplete = attempt.answer_discarded && !query.is_finished();
      return is_incomplete ? AttemptResult::cancelled : AttemptResult::served;
    }
    case Ending::engine_error: return AttemptResult::engine_error;
    case Ending::full: return AttemptResult::rejected;
    case Ending::expired: return AttemptResult::not_sent;
    case Ending::cancelled: return attempt.cancel_result();
  }
  return AttemptResult::served;
}

void QueryCoordinator::on(const EngineProgress& event) {
  const ChannelRecord* channel = find_channel(event.channel);
  if (channel == nullptr || !channel->query) return;
  notify_module(ProgressReported{*channel->query, channel->attempt_index, event.kind, event.level});
}

void QueryCoordinator::finish_query(QueryRecord& query, const Outcome& outcome) {
  Answer answer = make_answer(query, outcome);
  query.state.transition_to(QueryState::finished, "final answer");
  --unanswered_queries_;
  const auto session = sessions_.find(query.session);
  if (session != sessions_.end()) session->second.state.transition_to(SessionState::idle, "answered");
  if (outcome.kind != AnswerKind::served) discard_active_attempts(query);
  emit(std::move(answer));
  remove_query_if_done(query.id);
}

Answer QueryCoordinator::make_answer(const QueryRecord& query, const Outcome& outcome) const {
  Answer answer;
  answer.session = query.session;
  answer.query = query.id;
  answer.kind = outcome.kind;
  answer.retry_safety = outcome.retry_safety;
  answer.begun = query.state.is(QueryState::streaming);
  answer.shutting_down = outcome.shutting_down;
  answer.retry_after = outcome.retry_after;
  answer.class_index = query.class_index;
  answer.elapsed = now_ - query.arrived;
  const bool was_given_up = outcome.kind == AnswerKind::rejected || outcome.kind == AnswerKind::failed;
  const Duration deadline_margin = deadline_margin_steps * settings_->module.clock_step;
  answer.deadline_exceeded = was_given_up && answer.elapsed + deadline_margin >= query.client_timeout;
  for (const AttemptRecord& attempt : query.attempts)
    answer.attempts.push_back(account_of(attempt, query, now_));
  return answer;
}

// The bytes of attempts that are still active are not needed. They are read to their end without flow
// control, since they are not sent to a client.
void QueryCoordinator::discard_active_attempts(QueryRecord& query) {
  for (AttemptRecord& attempt : query.attempts) {
    if (!attempt.is_active() || !attempt.channel) continue;
    attempt.answer_discarded = true;
    ChannelRecord& channel = channels_.at(*attempt.channel);
    discard(*attempt.channel, channel);
    resume_if_paused(*attempt.channel, channel);
  }
}

void QueryCoordinator::remove_query_if_done(QueryId id) {
  const auto found = queries_.find(id);
  if (found == queries_.end() || !found->second.is_finished() || found->second.has_active_attempt()) return;
  queries_.erase(found);
  finish_shutdown_if_idle();
}

}  // namespace paddlestand::core

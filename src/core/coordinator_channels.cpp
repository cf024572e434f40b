// Channels of the query coordinator: opening, sending, probing, closing, and their return to the pool.
#include "query_coordinator.hpp"

namespace paddlestand::core {

ChannelId QueryCoordinator::open_channel(EngineId engine, ChannelUse use, QueryId query) {
  const ChannelId id = ++last_channel_;
  ChannelRecord& channel = channels_.emplace(id, ChannelRecord(id, engine, use, now_)).first->second;
  if (use == ChannelUse::query) pools_[engine].on_opened();
  channel.timer = timers_.arm(now_ + settings_->connect_timeout, {TimerUse::connect, id, 0});
  emit(OpenChannel{id, engine, use, query});
  return id;
}

void QueryCoordinator::close_channel(ChannelId id) {
  ChannelRecord& channel = channels_.at(id);
  if (channel.query) fail_assertion("channel", id, "closed while it carries an attempt");
  if (channel.state.is(ChannelState::sending)) parts::Rules::withdraw_sends(*host_actions_, id);
  channel.state.transition_to(ChannelState::closed, "closed");
  timers_.disarm(channel.timer);
  buffers_.on_discarded(channel.buffered_bytes);
  if (channel.use == ChannelUse::query) pools_[channel.engine].on_closed(id);
  emit(CloseChannel{id});
  channels_.erase(id);
}

void QueryCoordinator::return_to_pool(ChannelId id, ChannelRecord& channel) {
  channel.query.reset();
  if (!pools_[channel.engine].add_idle(id, settings_->idle_channels_per_engine)) {
    close_channel(id);
    return;
  }
  channel.timer = timers_.arm(now_ + settings_->idle_channel_lifetime, {TimerUse::idle_channel, id, 0});
}

void QueryCoordinator::mark_sent(ChannelRecord& channel) {
  if (!channel.state.is(ChannelState::sending)) return;
  channel.state.transition_to(ChannelState::busy, "query sent");
  if (!channel.query) return;
  AttemptRecord& attempt = queries_.at(*channel.query).attempts[channel.attempt_index];
  attempt.state.transition_to(AttemptState::running, "query sent");
}

void QueryCoordinator::on(const QuerySent& event) {
  if (ChannelRecord* channel = find_channel(event.channel)) mark_sent(*channel);
}

void QueryCoordinator::on(const ChannelOpened& event) {
  ChannelRecord* channel = find_channel(event.channel);
  if (channel == nullptr) return;
  channel->state.transition_to(ChannelState::idle, "opened");
  if (channel->use == ChannelUse::probe) {
    channel->state.transition_to(ChannelState::sending, "sending probe");
    emit(SendProbe{event.channel});
    return;
  }
  timers_.disarm(channel->timer);
  if (!channel->query) {
    return_to_pool(event.channel, *channel);
    return;
  }
  send_attempt(event.channel, *channel, queries_.at(*channel->query), channel->attempt_index);
}

void QueryCoordinator::on(const ChannelLost& event) {
  const ChannelRecord* channel = find_channel(event.channel);
  if (channel == nullptr) return;
  if (channel->use == ChannelUse::probe) {
    const bool is_local = event.why == ChannelLossReason::local;
    end_probe(event.channel, is_local ? AttemptResult::not_sent : AttemptResult::connect_failed);
    return;
  }
  if (channel->query) {
    QueryRecord& query = queries_.at(*channel->query);
    const AttemptRecord& attempt = query.attempts[channel->attempt_index];
    end_attempt(query, channel->attempt_index, parts::Rules::result_of_loss(*channel, attempt, event.why));
  }
  close_channel(event.channel);
}

void QueryCoordinator::apply(const Probe& action) {
  if (!pools_[action.engine].is_ready()) {
    notify_module(ProbeEnded{action.engine, AttemptResult::not_sent, {}, {}});
    return;
  }
  const ChannelId id = open_channel(action.engine, ChannelUse::probe);
  ChannelRecord& channel = channels_.at(id);
  timers_.disarm(channel.timer);
  channel.timer = timers_.arm(now_ + settings_->probe_timeout, {TimerUse::probe, id, 0});
}

void QueryCoordinator::end_probe(ChannelId id, AttemptResult result, const LoadReport& report) {
  const ChannelRecord& channel = channels_.at(id);
  notify_module(ProbeEnded{channel.engine, result, now_ - channel.opened_at, report});
  close_channel(id);
}

void QueryCoordinator::resume_if_paused(ChannelId id, ChannelRecord& channel) {
  if (!channel.paused) return;
  channel.paused = false;
  emit(ResumeChannel{id});
}

void QueryCoordinator::pause_if_full(ChannelId id, ChannelRecord& channel, const SessionRecord& session) {
  if (channel.paused || !buffers_.must_pause(session.undelivered_bytes)) return;
  channel.paused = true;
  emit(PauseChannel{id});
}

}  // namespace paddlestand::core

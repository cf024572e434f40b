// The invariant monitor's records, as updated by events and actions.
#include "invariant_monitor.hpp"

#include <algorithm>

namespace paddlestand::core {

using monitored::Attempt;
using monitored::Channel;
using monitored::Engine;
using monitored::Query;

namespace {

std::string query_text(QueryId id) { return "query " + std::to_string(id); }

}  // namespace

InvariantMonitor::InvariantMonitor(const CoreSettings& settings)
    : settings_(std::make_shared<const CoreSettings>(settings)) {}

void InvariantMonitor::on_event(TimePoint now, const CoreEvent& event) {
  now_ = now;
  std::visit([this](const auto& one) { on(one); }, event);
}

void InvariantMonitor::on_action(TimePoint now, const HostAction& action) {
  now_ = now;
  std::visit([this](const auto& one) { record(one); }, action);
}

void InvariantMonitor::violation(Invariant invariant, std::string what) {
  ++violation_count_;
  if (violations_.size() < max_recorded_violations) violations_.push_back({invariant, std::move(what)});
}

const ClassSettings& InvariantMonitor::class_of(const Query& query) const {
  return settings_->module.classes.at(query.class_index);
}

Query* InvariantMonitor::find_query(QueryId id) {
  const auto found = queries_.find(id);
  return found == queries_.end() ? nullptr : &found->second;
}

Channel* InvariantMonitor::find_channel(ChannelId id) {
  const auto found = channels_.find(id);
  return found == channels_.end() ? nullptr : &found->second;
}

// ---- Events of clients ----

void InvariantMonitor::on(const SessionClosed& event) { abandon_query_of(event.session); }

void InvariantMonitor::on(const ClientCancelled& event) { abandon_query_of(event.session); }

void InvariantMonitor::abandon_query_of(SessionId session) {
  const auto found = active_query_.find(session);
  if (found == active_query_.end()) return;
  if (Query* query = find_query(found->second)) query->abandoned = true;
}

void InvariantMonitor::on(const QueryArrived& event) {
  Query query;
  query.session = event.session;
  query.class_index = event.class_index;
  query.arrived = now_;
  query.client_timeout = event.client_timeout;
  query.cost = event.estimated_cost;
  const auto& classes = settings_->module.classes;
  const bool is_known = event.class_index < classes.size();
  if (is_known && classes[event.class_index].ordered_by_key) query.key = event.ordering_key;
  if (query.key != 0) key_order_.on_arrival(query.key, event.query);
  active_query_[event.session] = event.query;
  deadlines_.emplace(now_ + event.client_timeout, event.query);
  queries_[event.query] = std::move(query);
  if (!settings_->module.retry_budget) return;
  expire_retry_window();  // here too, since there are only arrivals while nothing can be sent
  retry_window_.add_arrival(now_);
}

void InvariantMonitor::expire_retry_window() {
  retry_window_.remove_before(now_ - settings_->module.retry_budget->window);
}

void InvariantMonitor::on(const TimerExpired&) {
  key_order_.remove_settled(now_);
  while (!deadlines_.empty() && deadlines_.begin()->first < now_) {
    const QueryId id = deadlines_.begin()->second;
    deadlines_.erase(deadlines_.begin());
    const Query* query = find_query(id);
    if (query == nullptr || query->answered) continue;
    violation(Invariant::answered_before_timeout, query_text(id) + " has no answer after its client timeout");
  }
}

// ---- Events of channels ----

void InvariantMonitor::on(const ChannelOpened& event) {
  if (Channel* channel = find_channel(event.channel)) channel->up = true;
}

void InvariantMonitor::mark_handed_over(const Channel& channel) {
  if (!channel.carries_query) return;
  if (Query* query = find_query(channel.query)) query->attempts[channel.attempt_index].handed_over = true;
}

void InvariantMonitor::on(const QuerySent& event) {
  if (const Channel* channel = find_channel(event.channel)) mark_handed_over(*channel);
}

void InvariantMonitor::on(const AnswerPart& event) {
  Channel* channel = find_channel(event.channel);
  if (channel == nullptr || !channel->carries_query) return;
  mark_handed_over(*channel);
  channel->buffered_bytes += event.bytes;
  if (Query* query = find_query(channel->query))
    query->attempts[channel->attempt_index].answer_bytes += event.bytes;
}

void InvariantMonitor::on(const AnswerEnd& event) {
  Channel* channel = find_channel(event.channel);
  if (channel == nullptr || !channel->carries_query) return;
  mark_handed_over(*channel);
  channel->buffered_bytes += event.bytes;
  channel->not_reusable |= !event.reusable;
  if (Query* query = find_query(channel->query)) {
    Attempt& attempt = query->attempts[channel->attempt_index];
    attempt.answer_bytes += event.bytes;
    attempt.rejected = event.ending == Ending::full || event.ending == Ending::expired;
    attempt.complete = event.ending == Ending::complete;
  }
  end_attempt(*channel, event.ending == Ending::cancelled);
}

void InvariantMonitor::on(const ChannelLost& event) {
  Channel* channel = find_channel(event.channel);
  if (channel == nullptr) return;
  channel->up = false;
  // The loss of a channel does not end the query on its engine.
  if (channel->carries_query) end_attempt(*channel, true);
}

void InvariantMonitor::end_attempt(Channel& channel, bool may_still_run) {
  channel.carries_query = false;
  Query* query = find_query(channel.query);
  if (query == nullptr) return;
  Attempt& attempt = query->attempts[channel.attempt_index];
  attempt.active = false;
  if (may_still_run && attempt.may_have_run() && query->key != 0)
    key_order_.start_settling(query->key, {now_ + settings_->module.ordering_settle_time, channel.query});
  remove_query_if_done(channel.query);
}

// ---- Events of endpoints ----

void InvariantMonitor::on(const EndpointsUpdated& event) {
  if (event.scope == EndpointUpdate::failed) return;
  std::set<EngineId> listed;
  for (const EngineEntry& entry : event.engines) {
    listed.insert(entry.engine);
    update_engine(entry);
  }
  if (event.scope != EndpointUpdate::delta) {
    for (auto& [id, engine] : engines_) {
      if (listed.contains(id)) continue;
      mark_not_ready(engine);
      engine.entry.state = EngineState::removed;
    }
  }
  remove_unused_engines();
}

void InvariantMonitor::update_engine(const EngineEntry& entry) {
  Engine& engine = engines_[entry.engine];
  const bool restarted = entry.started > engine.entry.started;
  engine.entry = entry;
  if (entry.state != EngineState::ready) {
    mark_not_ready(engine);
    return;
  }
  engine.ready = true;
  if (restarted && entry.started.count() > 0)
    engine.slow_start_ends = entry.started + settings_->module.slow_start_duration;
}

void InvariantMonitor::mark_not_ready(Engine& engine) {
  if (!engine.ready) return;
  engine.ready = false;
  engine.not_ready_since = now_;
}

// Engine ids are not reused: a removed engine is kept only while a query or channel refers to it.
void InvariantMonitor::remove_unused_engines() {
  const auto is_removed = [](const auto& entry) {
    const Engine& engine = entry.second;
    return !engine.ready && engine.channels == 0 && engine.entry.state == EngineState::removed;
  };
  if (std::none_of(engines_.begin(), engines_.end(), is_removed)) return;
  std::set<EngineId> attempted;
  for (const auto& [id, query] : queries_)
    for (const Attempt& attempt : query.attempts) attempted.insert(attempt.engine);
  std::erase_if(engines_,
                [&](const auto& entry) { return is_removed(entry) && !attempted.contains(entry.first); });
}

// ---- Actions ----

void InvariantMonitor::record(const OpenChannel& action) {
  Channel channel;
  channel.engine = action.engine;
  channel.use = action.use;
  channels_[action.channel] = channel;
  if (action.use != ChannelUse::query) return;
  Engine& engine = engines_[action.engine];
  ++engine.channels;
  if (engine.channels > settings_->channels_per_engine) {
    violation(Invariant::resource_limits,
              "engine " + std::to_string(action.engine) + " has more channels than allowed");
  }
}

void InvariantMonitor::record(const SendQuery& action) {
  Channel* channel = find_channel(action.channel);
  Query* query = find_query(action.query);
  if (channel == nullptr) {
    violation(Invariant::channel_reuse, query_text(action.query) + " is sent on a channel that is closed");
    return;
  }
  if (query == nullptr) {
    violation(Invariant::nothing_after_final_answer, query_text(action.query) + " is sent after it ended");
    return;
  }
  check_send(action, *query, *channel);
  Attempt attempt;
  attempt.engine = channel->engine;
  attempt.channel = action.channel;
  attempt.sent_at = now_;
  channel->query = action.query;
  channel->attempt_index = query->attempts.size();
  channel->carries_query = true;
  channel->buffered_bytes = 0;
  query->attempts.push_back(attempt);
}

void InvariantMonitor::record(const CancelOnEngine& action) {
  Channel* channel = find_channel(action.channel);
  if (channel == nullptr || !channel->carries_query) {
    violation(Invariant::cancel_target,
              "channel " + std::to_string(action.channel) + " is cancelled, but carries no query");
    return;
  }
  channel->cancelled = true;
  if (find_query(channel->query) == nullptr)
    violation(Invariant::cancel_target, "a cancel is sent for an unknown query");
}

void InvariantMonitor::record(const CloseChannel& action) {
  Channel* channel = find_channel(action.channel);
  if (channel == nullptr) return;
  if (channel->carries_query) end_attempt(*channel, true);
  if (channel->use == ChannelUse::query) --engines_[channel->engine].channels;
  channels_.erase(action.channel);
}

void InvariantMonitor::record(const Deliver& action) {
  Channel* channel = find_channel(action.channel);
  if (channel == nullptr) {
    violation(Invariant::row_ownership, "rows of a closed channel are delivered");
    return;
  }
  Query* query = find_query(channel->query);
  const std::string text = query_text(channel->query);
  if (query == nullptr || query->answered) {
    violation(Invariant::nothing_after_final_answer, text + ": rows are delivered after it ended");
    return;
  }
  if (query->session != action.session)
    violation(Invariant::row_ownership, text + ": its rows are delivered to another session");
  if (query->delivered_bytes > 0 && query->delivered_attempt != channel->attempt_index)
    violation(Invariant::row_ownership, text + ": rows of two attempts are delivered");
  if (action.bytes != channel->buffered_bytes)
    violation(Invariant::complete_answer, text + ": not all buffered bytes are delivered");
  query->delivered_bytes += action.bytes;
  query->delivered_attempt = channel->attempt_index;
  channel->buffered_bytes = 0;
}

void InvariantMonitor::record(const Discard& action) {
  if (Channel* channel = find_channel(action.channel)) channel->buffered_bytes = 0;
}

void InvariantMonitor::record(const Answer& action) {
  Query* query = find_query(action.query);
  if (query == nullptr || query->answered) {
    violation(Invariant::one_answer, query_text(action.query) + " is answered again");
    return;
  }
  check_answer(action, *query);
  query->answered = true;
  deadlines_.erase({query->arrived + query->client_timeout, action.query});
  active_query_.erase(query->session);
  remove_query_if_done(action.query);
}

void InvariantMonitor::remove_query_if_done(QueryId id) {
  const auto found = queries_.find(id);
  if (found == queries_.end()) return;
  const Query& query = found->second;
  if (!query.answered || query.has_active_attempt()) return;
  if (query.key != 0) key_order_.on_done(query.key, id);
  queries_.erase(found);
}

}  // namespace paddlestand::core

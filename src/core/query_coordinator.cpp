#include "query_coordinator.hpp"

#include <algorithm>

#include "seeded_defects.hpp"
#include "state_walk.hpp"

namespace paddlestand::core {

namespace {

CoreSettings as_used(CoreSettings settings) {
  if (!seeded(Defect::connect_time_forgotten)) settings.module.max_send_delay = settings.connect_timeout;
  if (seeded(Defect::key_rest_forgotten)) settings.module.ordering_settle_time = {};
  if (seeded(Defect::budget_off_by_one) && settings.module.retry_budget)
    settings.module.retry_budget->floor += 1;
  for (ClassSettings& k : settings.module.classes) {
    if (seeded(Defect::placement_lost)) k.allowed_zones.reset();
  }
  return settings;
}

}  // namespace

QueryCoordinator::QueryCoordinator(CoreSettings settings)
    : settings_(std::make_shared<const CoreSettings>(as_used(std::move(settings)))),
      module_(settings_->module) {}

void QueryCoordinator::handle(TimePoint now, const CoreEvent& event, std::vector<HostAction>& actions) {
  if (now < now_) fail_assertion("conductor", 0, "time went back");
  now_ = now;
  out_ = &actions;
  std::visit([this](const auto& e) { on(e); }, event);
  drain();
}

std::optional<TimePoint> QueryCoordinator::due() const {
  auto first = timers_.due();
  if (!module_timers_.empty())
    first = first ? std::min(*first, module_timers_.begin()->first) : module_timers_.begin()->first;
  if (first && seeded(Defect::timers_late)) *first += 20 * settings_->module.clock_step;
  return first;
}

QueryRecord* QueryCoordinator::find_query(QueryId id) {
  const auto found = queries_.find(id);
  return found == queries_.end() ? nullptr : &found->second;
}

ChannelRecord* QueryCoordinator::find_channel(ChannelId id) {
  const auto found = channels_.find(id);
  return found == channels_.end() ? nullptr : &found->second;
}

// ---- Sessions ----

void QueryCoordinator::on(const SessionOpened& event) {
  if (!sessions_.emplace(event.session, SessionRecord(event.session)).second)
    fail_assertion("session", event.session, "opened twice");
}

void QueryCoordinator::on(const SessionClosed& event) {
  const auto found = sessions_.find(event.session);
  if (found == sessions_.end()) fail_assertion("session", event.session, "closed, but not open");
  SessionRecord& session = found->second;
  if (session.state.is(SessionState::active)) {
    // The client hears nothing of it, but what became of its query is accounted for; and first, so that
    // nothing that waits for it goes out before it is over.
    QueryRecord& query = queries_.at(session.query);
    const QueryId id = query.id;
    answer(query, AnswerKind::cancelled, RetrySafety::unknown);
    notify_module(RequestAbandoned{id});
    drain();
  }
  session.state.go(SessionState::closed, "client gone");
  if (!seeded(Defect::untaken_bytes_left)) buffered_ -= session.undelivered_bytes;
  sessions_.erase(found);
}

void QueryCoordinator::on(const ClientCancelled& event) {
  const auto found = sessions_.find(event.session);
  // A cancel that comes after the answer finds nothing under way: it must not strike the next query.
  if (found == sessions_.end() || !found->second.state.is(SessionState::active)) return;
  const QueryId id = found->second.query;
  answer(queries_.at(id), AnswerKind::cancelled, RetrySafety::unknown);
  notify_module(RequestAbandoned{id});
}

void QueryCoordinator::on(const QueryArrived& event) {
  const auto found = sessions_.find(event.session);
  if (found == sessions_.end()) fail_assertion("session", event.session, "asks, but is not open");
  SessionRecord& session = found->second;
  session.state.go(SessionState::active, "query came");
  session.query = event.query;
  const auto [place, fresh] = queries_.emplace(event.query, QueryRecord(event.query, event.session, now_));
  if (!fresh) fail_assertion("query", event.query, "its id came twice");
  QueryRecord& query = place->second;
  query.class_index = event.class_index;
  query.client_timeout = event.client_timeout;
  ++open_queries_;
  if (leaving_) return answer(query, AnswerKind::rejected, RetrySafety::safe, {}, true);
  RequestArrived told;
  told.request = event.query;
  told.class_index = event.class_index;
  told.tenant = event.tenant;
  told.ordering_key = event.ordering_key;
  told.client_timeout = event.client_timeout;
  told.estimated_cost = event.estimated_cost;
  told.estimated_memory_mb = event.estimated_memory_mb;
  told.tables = event.tables;
  told.repeated = event.repeated;
  notify_module(told);
}

void QueryCoordinator::on(const ClientConsumed& event) {
  const auto found = sessions_.find(event.session);
  if (found == sessions_.end()) return;  // its close crossed with the write
  SessionRecord& session = found->second;
  if (event.bytes > session.undelivered_bytes)
    fail_assertion("session", event.session, "took more than was delivered");
  session.undelivered_bytes -= event.bytes;
  buffered_ -= event.bytes;
  if (!session.state.is(SessionState::active)) return;
  QueryRecord& query = queries_.at(session.query);
  for (const AttemptRecord& attempt : query.attempts) {
    if (!attempt.out() || !attempt.channel) continue;
    ChannelRecord& channel = channels_.at(*attempt.channel);
    const bool room = session.undelivered_bytes <= settings_->client_window / 2;
    if (!channel.paused || !room ||
        (buffered_ > settings_->buffers_in_total && session.undelivered_bytes > 0))
      continue;
    if (seeded(Defect::resume_forgotten)) continue;
    channel.paused = false;
    act(ResumeChannel{*attempt.channel});
  }
}

// ---- The module ----

void QueryCoordinator::notify_module(const Event& event) { module_events_.push_back(event); }

// Actions may tell the module more, at once; that waits its turn here and is never nested.
void QueryCoordinator::drain() {
  if (draining_) return;
  draining_ = true;
  while (!module_events_.empty()) {
    const Event event = std::move(module_events_.front());
    module_events_.pop_front();
    actions_.clear();
    module_notified_at_ = now_;
    module_.handle(now_, event, actions_);
    for (std::size_t i = 0; i < actions_.size(); ++i) {
      std::visit([this](const auto& action) { apply(action); }, actions_[i]);
    }
  }
  draining_ = false;
}

void QueryCoordinator::apply(const Send& action) {
  QueryRecord& query = queries_.at(action.request);
  if (query.over()) fail_assertion("query", query.id, "sent after its final answer");
  if (query.state.is(QueryState::streaming) && !seeded(Defect::streamed_query_is_repeated))
    fail_assertion("query", query.id, "sent again after part of an answer went to the client");
  const auto index = static_cast<std::uint32_t>(query.attempts.size());
  AttemptRecord& attempt = query.attempts.emplace_back(action.engine, query.id, now_);
  Pool& pool = pools_[action.engine];
  if (!pool.ready()) return end(query, index, AttemptResult::not_sent);
  attempt.timeout = timers_.arm(now_ + action.timeout, {TimerUse::attempt_timeout, query.id, index});
  switch (pool.place(settings_->channels_per_engine)) {
    case Pool::Place::reuse: {
      const ChannelId id = seeded(Defect::idle_link_taken_twice) ? pool.idle().back() : pool.take_idle();
      ChannelRecord& channel = channels_.at(id);
      timers_.disarm(channel.timer);
      attempt.channel = id;
      start_on(id, channel, query, index);
      break;
    }
    case Pool::Place::open: {
      const ChannelId id = open(action.engine, ChannelUse::query, query.id);
      ChannelRecord& channel = channels_.at(id);
      channel.query = query.id;
      channel.attempt = index;
      attempt.channel = id;
      break;
    }
    // Our own bound; the module lets the engine rest a little, as after any refusal that says `full`.
    case Pool::Place::none: end(query, index, AttemptResult::rejected); break;
  }
}

void QueryCoordinator::apply(const Cancel& action) {
  QueryRecord* query = find_query(action.request);
  if (query == nullptr || action.attempt >= query->attempts.size()) return;
  cancel(*query, action.attempt);
}

void QueryCoordinator::apply(const Reject& action) {
  QueryRecord* query = find_query(action.request);
  if (query == nullptr || query->over()) return;
  const Duration advice = action.retry_after * (seeded(Defect::advice_too_long) ? 3 : 1);
  answer(*query, AnswerKind::rejected, RetrySafety::safe, advice);
}

void QueryCoordinator::apply(const Fail& action) {
  QueryRecord* query = find_query(action.request);
  if (query == nullptr || query->over()) return;
  const bool lie = seeded(Defect::harmless_after_a_run);
  answer(*query, lie ? AnswerKind::rejected : AnswerKind::failed,
         lie ? RetrySafety::safe : RetrySafety::unknown);
}

// The module asks for a timer with each query and counts in clock steps: due times go up to the next whole
// one, so that those of a step are one, and the table holds no more than the longest client timeout has
// steps.
void QueryCoordinator::apply(const SetTimer& action) {
  const Duration step = std::max(settings_->module.clock_step, Duration{1});
  const auto steps = (now_ + action.after + step - Duration{1}) / step;
  module_timers_.emplace(steps * step, action.token);
}

void QueryCoordinator::apply(const Probe& action) {
  if (!pools_[action.engine].ready()) {
    notify_module(ProbeEnded{action.engine, AttemptResult::not_sent, {}, {}});
    return;
  }
  ChannelRecord& channel = channels_.at(open(action.engine, ChannelUse::probe));
  timers_.disarm(channel.timer);
  channel.timer = timers_.arm(now_ + settings_->probe_timeout, {TimerUse::probe, channel.state.id(), 0});
}

void QueryCoordinator::apply(const SetResourceGrant& action) {
  QueryRecord* query = find_query(action.request);
  if (query == nullptr || query->over()) return;
  query->priority = action.priority;
  query->memory_mb = action.memory_mb;
  for (const AttemptRecord& attempt : query->attempts) {
    const bool runs = attempt.state.is(AttemptState::running) || attempt.state.is(AttemptState::answering);
    if (runs && attempt.channel)
      act(UpdateResourceGrant{*attempt.channel, action.priority, action.memory_mb});
  }
}

void QueryCoordinator::apply(const SubscribeEndpoints&) {}  // hosts tell the list and its changes unasked
void QueryCoordinator::apply(const SendGossip&) {}  // no peers are known to a host yet: may_gossip is off
void QueryCoordinator::apply(const Log& action) { act(LogMessage{action.text}); }

// ---- Attempts ----

void QueryCoordinator::start_on(ChannelId id, ChannelRecord& channel, QueryRecord& query,
                                std::uint32_t index) {
  channel.query = query.id;
  channel.attempt = index;
  channel.state.go(ChannelState::sending, "query goes out");
  query.attempts[index].state.go(AttemptState::sending, "query goes out");
  act(SendQuery{id, query.id, index, query.priority, query.memory_mb});
}

void QueryCoordinator::mark_sent(ChannelRecord& channel) {
  if (!channel.state.is(ChannelState::sending)) return;
  channel.state.go(ChannelState::busy, "bytes handed over");
  if (channel.query)
    queries_.at(*channel.query).attempts[channel.attempt].state.go(AttemptState::running, "handed over");
}

void QueryCoordinator::on(const QuerySent& event) {
  if (ChannelRecord* channel = find_channel(event.channel)) mark_sent(*channel);
}

void QueryCoordinator::cancel(QueryRecord& query, std::uint32_t index) {
  AttemptRecord& attempt = query.attempts[index];
  switch (attempt.state.state()) {
    case AttemptState::connecting:
      // The channel may still come up, and serve another.
      if (attempt.channel) channels_.at(*attempt.channel).query.reset();
      if (attempt.channel && seeded(Defect::link_left_open))
        timers_.disarm(channels_.at(*attempt.channel).timer);
      attempt.channel.reset();
      end(query, index, AttemptResult::not_sent);
      break;
    case AttemptState::sending: {
      // What was not wholly handed over can't run: the engine sees the channel's end before the query's.
      const ChannelId id = *attempt.channel;
      end(query, index, AttemptResult::not_sent);
      close(id);
      break;
    }
    case AttemptState::running:
    case AttemptState::answering: {
      const ChannelId id = *attempt.channel;
      ChannelRecord& channel = channels_.at(id);
      if (seeded(Defect::next_attempt_while_cancelling)) {
        act(CancelOnEngine{id});
        end(query, index, AttemptResult::cancelled);
        break;
      }
      attempt.state.go(AttemptState::cancelling, "module cancels");
      if (!seeded(Defect::cancelled_link_goes_on))
        channel.state.go(ChannelState::cancelling, "module cancels");
      act(CancelOnEngine{id});
      timers_.disarm(channel.timer);
      channel.timer = timers_.arm(now_ + settings_->cancel_grace, {TimerUse::cancel_grace, id, 0});
      if (channel.paused) {  // its end must be read, or the engine never gets to hear of the cancel
        channel.paused = false;
        act(ResumeChannel{id});
      }
      break;
    }
    case AttemptState::cancelling:
    case AttemptState::finished: break;
  }
}

void QueryCoordinator::timeout(QueryRecord& query, std::uint32_t index) {
  AttemptRecord& attempt = query.attempts[index];
  attempt.timeout.reset();
  switch (attempt.state.state()) {
    case AttemptState::connecting: {
      if (attempt.channel) channels_.at(*attempt.channel).query.reset();
      attempt.channel.reset();
      end(query, index, AttemptResult::connect_failed);
      break;
    }
    case AttemptState::sending: {
      const ChannelId id = *attempt.channel;
      end(query, index, AttemptResult::connect_failed);
      close(id);
      break;
    }
    case AttemptState::running:
    case AttemptState::answering: {
      // As after any cancel, it is out until its engine has heard of that, or the grace for it is over.
      attempt.timed_out = true;
      cancel(query, index);
      break;
    }
    case AttemptState::cancelling:  // the grace of the cancel decides
    case AttemptState::finished: break;
  }
}

// One outcome for each attempt, told to the module once. The channel is the caller's to park or to close.
void QueryCoordinator::end(QueryRecord& query, std::uint32_t index, AttemptResult result,
                           const AnswerEnd* told) {
  AttemptRecord& attempt = query.attempts[index];
  attempt.state.go(AttemptState::finished, "ended");
  if (!seeded(Defect::time_out_left_armed)) timers_.disarm(attempt.timeout);
  attempt.result = result;
  attempt.took = now_ - attempt.began;
  if (attempt.channel) {
    ChannelRecord& channel = channels_.at(*attempt.channel);
    discard(*attempt.channel, channel);
    channel.query.reset();
    attempt.channel.reset();
  }
  const bool midway = query.state.is(QueryState::streaming) && result != AttemptResult::served;
  AttemptEnded event;
  event.request = query.id;
  event.attempt = index;
  event.engine = attempt.engine;
  event.result = result;
  event.took = attempt.took;
  // From the first byte to the client on there is no further attempt.
  event.request_over = result == AttemptResult::served || query.over() ||
                       (midway && !seeded(Defect::streamed_query_is_repeated));
  if (told != nullptr && result == AttemptResult::served) {
    event.work = told->work;
    event.memory_mb = told->memory_mb;
  }
  if (told != nullptr) event.report = told->report;
  if (seeded(Defect::reset_told_as_never_ran) && result == AttemptResult::reset)
    event.result = AttemptResult::connect_failed;
  if (!seeded(Defect::outcome_not_told) || result != AttemptResult::connect_failed) notify_module(event);
  const QueryId id = query.id;
  if (seeded(Defect::streamed_query_is_repeated)) {
    forget_if_done(id);
    return;
  }
  if (midway && !query.over()) answer(query, AnswerKind::failed, RetrySafety::unknown);
  forget_if_done(id);
}

void QueryCoordinator::forget_if_done(QueryId id) {
  const auto found = queries_.find(id);
  if (found == queries_.end() || !found->second.over() || found->second.any_out()) return;
  queries_.erase(found);
  leave_if_done();
}

// ---- Links ----

ChannelId QueryCoordinator::open(EngineId engine, ChannelUse use, QueryId query) {
  const ChannelId id = ++last_channel_;
  ChannelRecord& channel = channels_.emplace(id, ChannelRecord(id, engine, use, now_)).first->second;
  if (use == ChannelUse::query) pools_[engine].opened();
  channel.timer = timers_.arm(now_ + settings_->connect_timeout, {TimerUse::connect, id, 0});
  act(OpenChannel{id, engine, use, query});
  return id;
}

void QueryCoordinator::close(ChannelId id) {
  ChannelRecord& channel = channels_.at(id);
  if (channel.query) fail_assertion("link", id, "closed under an attempt");
  if (channel.state.is(ChannelState::sending)) never_goes_out(id);
  channel.state.go(ChannelState::closed, "closed");
  timers_.disarm(channel.timer);
  buffered_ -= channel.kept;
  if (channel.use == ChannelUse::query) pools_[channel.engine].closed(id);
  act(CloseChannel{id});
  channels_.erase(id);
}

// What was to go out in this very turn must not any more: its attempt is called one that never ran.
void QueryCoordinator::never_goes_out(ChannelId id) {
  if (seeded(Defect::pending_send_goes_out)) return;
  std::erase_if(*out_, [id](const HostAction& action) {
    const auto* query = std::get_if<SendQuery>(&action);
    const auto* probe = std::get_if<SendProbe>(&action);
    return (query != nullptr && query->channel == id) || (probe != nullptr && probe->channel == id);
  });
}

void QueryCoordinator::park(ChannelId id, ChannelRecord& channel) {
  channel.query.reset();
  if (!pools_[channel.engine].park(id, settings_->idle_channels_per_engine)) return close(id);
  channel.timer = timers_.arm(now_ + settings_->idle_channel_lifetime, {TimerUse::idle_channel, id, 0});
}

void QueryCoordinator::on(const ChannelOpened& event) {
  ChannelRecord* channel = find_channel(event.channel);
  if (channel == nullptr) return;
  channel->state.go(ChannelState::idle, "up");
  if (channel->use == ChannelUse::probe) {
    channel->state.go(ChannelState::sending, "probe goes out");
    act(SendProbe{event.channel});
    return;
  }
  timers_.disarm(channel->timer);
  if (!channel->query) return park(event.channel, *channel);
  start_on(event.channel, *channel, queries_.at(*channel->query), channel->attempt);
}

void QueryCoordinator::on(const ChannelLost& event) {
  ChannelRecord* channel = find_channel(event.channel);
  if (channel == nullptr) return;
  if (channel->use == ChannelUse::probe) {
    return end_probe(
        event.channel,
        event.why == ChannelLossReason::local ? AttemptResult::not_sent : AttemptResult::connect_failed,
        nullptr);
  }
  if (channel->query) {
    AttemptResult result = AttemptResult::reset;
    switch (channel->state.state()) {
      case ChannelState::opening:
      case ChannelState::sending:
        // Want of descriptors is this manager's trouble and speaks against no engine.
        result =
            event.why == ChannelLossReason::local ? AttemptResult::not_sent : AttemptResult::connect_failed;
        break;
      case ChannelState::cancelling:
        result = queries_.at(*channel->query).attempts[channel->attempt].cancel_result();
        break;
      default:
        // Nothing was heard of its end: it may still run, and its key has to rest.
        if (event.why == ChannelLossReason::protocol_error && seeded(Defect::broken_link_told_as_ended))
          result = AttemptResult::engine_error;
        break;
    }
    end(queries_.at(*channel->query), channel->attempt, result);
  }
  close(event.channel);
}

void QueryCoordinator::end_probe(ChannelId id, AttemptResult result, const AnswerEnd* told) {
  const ChannelRecord& channel = channels_.at(id);
  notify_module(ProbeEnded{channel.engine, result, now_ - channel.opened,
                           told != nullptr ? told->report : LoadReport{}});
  close(id);
}

void QueryCoordinator::engine_not_ready(EngineId engine) {
  const std::vector<ChannelId> idle = pools_[engine].idle();
  for (const ChannelId id : idle) close(id);
  // What has not been handed over yet must not be: by the time that its channel is up, the grace may be over.
  std::vector<ChannelId> ended;
  for (const auto& [id, channel] : channels_) {
    if (seeded(Defect::drain_spares_opening_links) && channel.state.is(ChannelState::opening)) continue;
    const bool unsent_query =
        channel.state.is(ChannelState::opening) || channel.state.is(ChannelState::sending);
    // What a probe finds out hereafter would be credited to the process that comes after this one.
    if (channel.engine == engine && (unsent_query || channel.use == ChannelUse::probe)) ended.push_back(id);
  }
  std::sort(ended.begin(), ended.end());
  for (const ChannelId id : ended) {
    ChannelRecord& channel = channels_.at(id);
    if (channel.use == ChannelUse::probe) {
      end_probe(id, AttemptResult::not_sent, nullptr);
      continue;
    }
    if (channel.query) end(queries_.at(*channel.query), channel.attempt, AttemptResult::not_sent);
    close(id);
  }
}

void QueryCoordinator::on(const EndpointsUpdated& event) {
  if (seeded(Defect::drain_told_late) && event.scope == EndpointUpdate::delta && !event.engines.empty() &&
      event.engines[0].state == EngineState::draining)
    return;
  // The module first: what is given back below must not be sent to the same engine once more.
  EndpointsChanged told;
  told.scope = event.scope;
  std::vector<EngineEntry> entries = event.engines;
  for (EngineEntry& entry : entries)
    if (seeded(Defect::cold_start_not_told)) entry.started = {};
  told.engines = entries;
  drain();
  notify_module(told);
  drain();  // the span in it lives only as long as the event
  if (event.scope == EndpointUpdate::failed) return;
  std::set<EngineId> named;
  std::vector<EngineId> left;
  for (const EngineEntry& entry : event.engines) {
    named.insert(entry.engine);
    Pool& pool = pools_[entry.engine];
    const bool ready = entry.state == EngineState::ready;
    const bool restarted = pool.ready() && entry.started > pool.started();
    if (pool.ready() && (!ready || restarted)) {
      pool.told(false, pool.started());
      engine_not_ready(entry.engine);
    }
    pool.told(ready, entry.started);
  }
  if (event.scope != EndpointUpdate::delta) {
    for (auto& [id, pool] : pools_)
      if (!named.contains(id) && pool.ready()) left.push_back(id);
  }
  for (const EngineId id : left) {
    pools_[id].told(false, pools_[id].started());
    engine_not_ready(id);
  }
  // Engines are ever new: what is not ready and holds nothing is nothing to remember.
  std::erase_if(pools_, [](const auto& pool) { return !pool.second.ready() && pool.second.channels() == 0; });
}

// ---- Answers ----

void QueryCoordinator::discard(ChannelId id, ChannelRecord& channel) {
  if (channel.kept == 0) return;
  if (!seeded(Defect::kept_bytes_left)) buffered_ -= channel.kept;
  channel.kept = 0;
  act(Discard{id});
}

void QueryCoordinator::deliver(ChannelId id, ChannelRecord& channel, QueryRecord& query) {
  if (channel.kept == 0) return;
  SessionRecord& session = sessions_.at(query.session);
  session.undelivered_bytes += channel.kept;
  act(Deliver{id, query.session, channel.kept});
  channel.kept = 0;
}

// A slow reader slows its engine's channel. When all buffers together are full, a channel with nothing
// untaken still gets to hold one part, so that no client starves another.
void QueryCoordinator::rest_if_full(ChannelId id, ChannelRecord& channel, const SessionRecord& session) {
  const bool full = session.undelivered_bytes > settings_->client_window ||
                    (buffered_ > settings_->buffers_in_total && session.undelivered_bytes > 0);
  if (!full || channel.paused) return;
  channel.paused = true;
  act(PauseChannel{id});
}

void QueryCoordinator::on(const AnswerPart& event) {
  ChannelRecord* channel = find_channel(event.channel);
  if (channel == nullptr || !channel->query) return;
  mark_sent(*channel);
  QueryRecord& query = queries_.at(*channel->query);
  AttemptRecord& attempt = query.attempts[channel->attempt];
  if (attempt.state.is(AttemptState::running)) attempt.state.go(AttemptState::answering, "first part");
  channel->kept += event.bytes;
  buffered_ += event.bytes;
  if (query.over()) {
    attempt.spoiled = true;
    if (seeded(Defect::delivers_after_the_answer) && sessions_.contains(query.session))
      return deliver(event.channel, *channel, query);
    return discard(event.channel, *channel);
  }
  const bool overfull = channel->kept > settings_->answer_buffer || buffered_ > settings_->buffers_in_total;
  if (attempt.state.is(AttemptState::cancelling)) {
    // It may still end well, but no part of it is given out before it has; too much is let go.
    if (!overfull && !query.state.is(QueryState::streaming)) return;
    attempt.spoiled = true;
    return discard(event.channel, *channel);
  }
  if (query.state.is(QueryState::open)) {
    if (!overfull) return;
    query.state.go(QueryState::streaming, "answer is larger than what is kept");
    if (!seeded(Defect::streamed_query_is_repeated)) notify_module(AnswerStarted{query.id});
  }
  deliver(event.channel, *channel, query);
  rest_if_full(event.channel, *channel, sessions_.at(query.session));
}

void QueryCoordinator::on(const AnswerEnd& event) {
  ChannelRecord* channel = find_channel(event.channel);
  if (channel == nullptr) return;
  if (channel->use == ChannelUse::probe) {
    const bool well = event.ending == Ending::complete;
    return end_probe(event.channel, well ? AttemptResult::served : AttemptResult::engine_error, &event);
  }
  if (!channel->query) fail_assertion("link", event.channel, "an answer ended where none was asked for");
  const bool clean =
      channel->state.is(ChannelState::busy) && (event.reusable || seeded(Defect::unclean_link_is_parked));
  mark_sent(*channel);
  QueryRecord& query = queries_.at(*channel->query);
  const std::uint32_t index = channel->attempt;
  AttemptRecord& attempt = query.attempts[index];
  // Its last part may have come in the same read as the end: who rests now would rest under the next query.
  if (channel->paused && !seeded(Defect::rest_left_behind)) {
    channel->paused = false;
    act(ResumeChannel{event.channel});
  }
  channel->kept += event.bytes;
  buffered_ += event.bytes;
  AttemptResult result = AttemptResult::served;
  switch (event.ending) {
    case Ending::complete:
      // Bytes of it may be gone; where the query is over they are nobody's, and the engine did serve.
      result = attempt.spoiled && !query.over() ? AttemptResult::cancelled : AttemptResult::served;
      break;
    case Ending::engine_error: result = AttemptResult::engine_error; break;
    case Ending::full: result = AttemptResult::rejected; break;
    case Ending::expired: result = AttemptResult::not_sent; break;
    case Ending::cancelled: result = attempt.cancel_result(); break;
  }
  if (result == AttemptResult::served && !query.over()) {
    if (!seeded(Defect::rest_of_answer_lost)) deliver(event.channel, *channel, query);
    attempt.result = result;
    attempt.took = now_ - attempt.began;
    answer(query, AnswerKind::served, RetrySafety::unknown);
  }
  end(query, index, result, &event);
  // Clean: all was sent, its end came, and no cancel was ever told of it.
  if (!clean) return close(event.channel);
  channel->state.go(ChannelState::idle, "answer ended");
  park(event.channel, *channel);
}

void QueryCoordinator::on(const EngineProgress& event) {
  const ChannelRecord* channel = find_channel(event.channel);
  if (channel == nullptr || !channel->query) return;
  notify_module(ProgressReported{*channel->query, channel->attempt, event.kind, event.level});
}

// Every final answer passes here, once for each query.
void QueryCoordinator::answer(QueryRecord& query, AnswerKind kind, RetrySafety retry_safety,
                              Duration retry_after, bool leaving) {
  Answer out;
  out.session = query.session;
  out.query = query.id;
  out.kind = kind;
  out.retry_safety = retry_safety;
  out.begun = query.state.is(QueryState::streaming);
  out.shutting_down = leaving;
  out.retry_after = retry_after;
  out.class_index = query.class_index;
  out.took = now_ - query.arrived;
  // The module answers a little before the client timeout ends; what it gives up earlier it says is for load.
  out.deadline_exceeded = (kind == AnswerKind::rejected || kind == AnswerKind::failed) &&
                          out.took + 4 * settings_->module.clock_step >= query.client_timeout;
  for (const AttemptRecord& a : query.attempts) {
    out.attempts.push_back({a.engine, a.result, a.began - query.arrived, a.result ? a.took : now_ - a.began});
  }
  query.state.go(QueryState::finished, "final answer");
  --open_queries_;
  if (const auto session = sessions_.find(query.session); session != sessions_.end())
    session->second.state.go(SessionState::idle, "answered");
  // Bytes that are kept for attempts still out are nobody's any more.
  for (AttemptRecord& a : query.attempts) {
    if (!a.out() || !a.channel || kind == AnswerKind::served) continue;
    a.spoiled = true;
    discard(*a.channel, channels_.at(*a.channel));
    ChannelRecord& channel = channels_.at(*a.channel);
    if (channel.paused) {  // nobody is slow any more: let it run out
      channel.paused = false;
      act(ResumeChannel{*a.channel});
    }
  }
  if (seeded(Defect::answers_twice) && out.kind == AnswerKind::failed) act(out);
  act(std::move(out));
  forget_if_done(query.id);
}

// ---- Time ----

void QueryCoordinator::on(const TimerExpired&) {
  // What falls due while this runs is due at a later call, so that no event can keep the loop for ever.
  const std::size_t most = timers_.size() + module_timers_.size();
  for (std::size_t i = 0; i < most; ++i) {
    const auto own = timers_.due();
    const bool module_first = !module_timers_.empty() && (!own || module_timers_.begin()->first <= *own);
    if (module_first) {
      if (module_timers_.begin()->first > now_) break;
      const std::uint32_t token = module_timers_.begin()->second;
      module_timers_.erase(module_timers_.begin());
      notify_module(TimerFired{token});
    } else {
      const auto timer = timers_.take_due(now_);
      if (!timer) break;
      on_timer(*timer);
    }
    drain();
  }
}

void QueryCoordinator::on_timer(const Timer& timer) {
  switch (timer.use) {
    case TimerUse::attempt_timeout: {
      if (QueryRecord* query = find_query(timer.subject)) timeout(*query, timer.attempt);
      break;
    }
    case TimerUse::connect: on(ChannelLost{timer.subject, ChannelLossReason::timed_out}); break;
    case TimerUse::cancel_grace: on(ChannelLost{timer.subject, ChannelLossReason::timed_out}); break;
    case TimerUse::probe: {
      channels_.at(timer.subject).timer.reset();
      end_probe(timer.subject, AttemptResult::timed_out, nullptr);
      break;
    }
    case TimerUse::idle_channel: close(timer.subject); break;
    case TimerUse::leave: {
      // Whether a repeat is harmless hangs on what certainly never ran; the module is told that they left.
      std::vector<QueryId> open;
      for (const auto& [id, query] : queries_)
        if (!query.over()) open.push_back(id);
      std::sort(open.begin(), open.end());
      for (const QueryId id : open) {
        const QueryRecord& query = queries_.at(id);
        const bool harmless = std::all_of(query.attempts.begin(), query.attempts.end(),
                                          [](const AttemptRecord& a) { return a.never_ran(); });
        const bool lie = seeded(Defect::leaving_calls_all_harmless);
        answer(queries_.at(id), harmless || lie ? AnswerKind::rejected : AnswerKind::failed,
               harmless || lie ? RetrySafety::safe : RetrySafety::unknown, {}, true);
        notify_module(RequestAbandoned{id});
        drain();
      }
      leave_if_done();
      break;
    }
  }
}

void QueryCoordinator::on(const BeginShutdown& event) {
  if (leaving_) return;
  leaving_ = true;
  timers_.arm(now_ + event.grace, {TimerUse::leave, 0, 0});
  leave_if_done();
}

void QueryCoordinator::leave_if_done() {
  if (!leaving_ || left_ || !queries_.empty()) return;
  left_ = true;
  act(ShutdownComplete{});
}

// ---- Accounts ----

Counts QueryCoordinator::counts() const {
  Counts c;
  c.sessions = sessions_.size();
  c.queries_open = open_queries_;
  for (const auto& [id, query] : queries_)
    for (const AttemptRecord& a : query.attempts) c.attempts_out += a.out() ? 1 : 0;
  c.channels = channels_.size();
  for (const auto& [id, channel] : channels_) c.channels_probing += channel.use == ChannelUse::probe ? 1 : 0;
  for (const auto& [id, pool] : pools_) c.channels_idle += pool.idle().size();
  c.bytes_buffered = buffered_;
  c.own_timers = timers_.size();
  c.timers = c.own_timers + module_timers_.size();
  return c;
}

void QueryCoordinator::check() const {
  std::size_t bytes = 0, open = 0;
  for (const auto& [id, session] : sessions_) {
    bytes += session.undelivered_bytes;
    const bool asking = session.state.is(SessionState::active);
    const auto query = queries_.find(session.query);
    if (asking && (query == queries_.end() || query->second.over()))
      fail_assertion("session", id, "waits for a query that is over");
  }
  for (const auto& [id, query] : queries_) {
    open += query.over() ? 0 : 1;
    if (query.over() && !query.any_out()) fail_assertion("query", id, "is over, and kept");
    for (std::size_t i = 0; i < query.attempts.size(); ++i) {
      const AttemptRecord& a = query.attempts[i];
      if (a.out() == a.result.has_value()) fail_assertion("query", id, "an attempt without just one outcome");
      if (!a.channel) {
        if (a.out()) fail_assertion("query", id, "an attempt is out on no link");
        continue;
      }
      const auto channel = channels_.find(*a.channel);
      if (channel == channels_.end() || channel->second.query != id || channel->second.attempt != i)
        fail_assertion("query", id, "attempt and link disagree");
    }
  }
  std::map<EngineId, std::uint32_t> held;
  for (const auto& [id, channel] : channels_) {
    bytes += channel.kept;
    if (channel.use == ChannelUse::query) ++held[channel.engine];
    const bool idle = channel.state.is(ChannelState::idle);
    const bool waits =
        idle || channel.state.is(ChannelState::opening) || channel.state.is(ChannelState::cancelling);
    if (waits && !channel.timer) fail_assertion("link", id, "nothing would ever end it");
    if (channel.paused) {
      const auto session =
          channel.query ? sessions_.find(queries_.at(*channel.query).session) : sessions_.end();
      if (session == sessions_.end() || session->second.undelivered_bytes == 0)
        fail_assertion("link", id, "is not read, and no client is slow");
    }
    if (idle && channel.query) fail_assertion("link", id, "idle under an attempt");
    if (channel.use == ChannelUse::query && !idle && !channel.query &&
        !channel.state.is(ChannelState::opening))
      fail_assertion("link", id, "in use for nothing");
  }
  for (const auto& [id, pool] : pools_) {
    if (pool.channels() != held[id]) fail_assertion("pool of engine", id, "links are miscounted");
    if (pool.channels() > settings_->channels_per_engine)
      fail_assertion("pool of engine", id, "more links than allowed");
  }
  if (bytes != buffered_) fail_assertion("conductor", 0, "buffered bytes are miscounted");
  if (open != open_queries_) fail_assertion("conductor", 0, "open queries are miscounted");
}

// ---- State ----

void QueryCoordinator::visit(StateVisitor& v) {
  const StateWalk w(v, now_);
  // Links first: what refers to one is told by what the channel is, since ids only count up.
  w.table(channels_, [&](ChannelId id, ChannelRecord& l) {
    w.name(Name::channel, id);
    w.name(Name::engine, l.engine);
    w.wholes(l.use, l.state.state(), l.query.has_value(), l.kept, l.paused, l.timer.has_value());
    if (l.query) w.name(Name::query, *l.query), w.wholes(l.attempt);
    if (l.timer) w.until(l.timer->first);
    if (l.use == ChannelUse::probe) w.since(l.opened);
  });
  w.table(pools_, [&](EngineId id, Pool& pool) {
    w.name(Name::engine, id);
    w.wholes(pool.ready(), pool.channels());
    if (pool.started().count() > 0) w.since(pool.started());
    w.list(pool.idle(), [&](ChannelId channel) { w.name(Name::channel, channel); });
  });
  w.table(sessions_, [&](SessionId id, SessionRecord& s) {
    w.name(Name::session, id);
    const bool asking = s.state.is(SessionState::active);
    w.wholes(s.state.state(), s.undelivered_bytes);
    if (asking) w.name(Name::query, s.query);
  });
  w.table(queries_, [&](QueryId id, QueryRecord& q) {
    w.name(Name::query, id);
    w.name(Name::session, q.session);
    w.wholes(q.class_index, q.priority, q.state.state());
    w.number(q.memory_mb);
    w.until(q.arrived + q.client_timeout);  // when it came, and when attempts began, is for accounts only
    w.list(q.attempts, [&](AttemptRecord& a) {
      w.name(Name::engine, a.engine);
      w.wholes(a.state.state(), a.channel.has_value(), a.result.has_value(), a.spoiled, a.timed_out);
      if (a.result) w.wholes(*a.result);
      if (a.channel) w.name(Name::channel, *a.channel);
    });
  });
  timers_.each([&](TimePoint at, const Timer& timer) {
    w.until(at);
    w.wholes(timer.use, timer.attempt);
    switch (timer.use) {
      case TimerUse::attempt_timeout: w.name(Name::query, timer.subject); break;
      case TimerUse::leave: break;
      default: w.name(Name::channel, timer.subject); break;
    }
  });
  w.list(module_timers_, [&](const auto& timer) {
    w.until(timer.first);
    w.wholes(timer.second);
  });
  w.wholes(buffered_, open_queries_, leaving_, left_);
  v.behind(static_cast<double>((now_ - module_notified_at_).count()) * 1e-9);
  module_.visit(v);
  v.behind(0);
}

}  // namespace paddlestand::core

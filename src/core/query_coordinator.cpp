// Entry points, sessions, and the decision module's events and actions.
#include "query_coordinator.hpp"

namespace paddlestand::core {

namespace {

/// A query may be sent as late as its channel opens. The module needs this upper limit of the delay.
CoreSettings with_send_delay(CoreSettings settings) {
  settings.module.max_send_delay = settings.connect_timeout;
  return settings;
}

RequestArrived request_of(const QueryArrived& query) {
  RequestArrived request;
  request.request = query.query;
  request.class_index = query.class_index;
  request.tenant = query.tenant;
  request.ordering_key = query.ordering_key;
  request.client_timeout = query.client_timeout;
  request.estimated_cost = query.estimated_cost;
  request.estimated_memory_mb = query.estimated_memory_mb;
  request.tables = query.tables;
  request.repeated = query.repeated;
  return request;
}

}  // namespace

QueryCoordinator::QueryCoordinator(CoreSettings settings)
    : settings_(std::make_shared<const CoreSettings>(with_send_delay(std::move(settings)))),
      module_(settings_->module),
      timers_(settings_->module.clock_step),
      buffers_(*settings_) {}

void QueryCoordinator::handle(TimePoint now, const CoreEvent& event, std::vector<HostAction>& actions) {
  if (now < now_) fail_assertion("coordinator", 0, "time decreased");
  now_ = now;
  host_actions_ = &actions;
  std::visit([this](const auto& host_event) { on(host_event); }, event);
  process_module_events();
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
  const bool is_new = sessions_.emplace(event.session, SessionRecord(event.session)).second;
  if (!is_new) fail_assertion("session", event.session, "opened twice");
}

void QueryCoordinator::on(const SessionClosed& event) {
  const auto found = sessions_.find(event.session);
  if (found == sessions_.end()) fail_assertion("session", event.session, "closed, but was not open");
  SessionRecord& session = found->second;
  if (session.state.is(SessionState::active)) {
    // Before the session is removed: no query that waits for this one may be sent while it is unfinished.
    const QueryId id = session.query;
    finish_query(queries_.at(id), {.kind = AnswerKind::cancelled});
    notify_module(RequestAbandoned{id});
    process_module_events();
  }
  session.state.transition_to(SessionState::closed, "client disconnected");
  buffers_.on_session_closed(session.undelivered_bytes);
  sessions_.erase(found);
}

void QueryCoordinator::on(const ClientCancelled& event) {
  const auto found = sessions_.find(event.session);
  // A cancel that arrives after the answer must not affect the session's next query.
  if (found == sessions_.end() || !found->second.state.is(SessionState::active)) return;
  const QueryId id = found->second.query;
  finish_query(queries_.at(id), {.kind = AnswerKind::cancelled});
  notify_module(RequestAbandoned{id});
}

void QueryCoordinator::on(const QueryArrived& event) {
  const auto found = sessions_.find(event.session);
  if (found == sessions_.end()) fail_assertion("session", event.session, "sent a query, but is not open");
  SessionRecord& session = found->second;
  session.state.transition_to(SessionState::active, "query arrived");
  session.query = event.query;
  const auto [place, is_new] = queries_.emplace(event.query, QueryRecord(event.query, event.session, now_));
  if (!is_new) fail_assertion("query", event.query, "its id is already in use");
  QueryRecord& query = place->second;
  query.class_index = event.class_index;
  query.client_timeout = event.client_timeout;
  ++unanswered_queries_;
  if (lifecycle_ != Lifecycle::running) {
    finish_query(query,
                 {.kind = AnswerKind::rejected, .retry_safety = RetrySafety::safe, .shutting_down = true});
    return;
  }
  notify_module(request_of(event));
}

// ---- The decision module ----

void QueryCoordinator::notify_module(const Event& event) { module_events_.push_back(event); }

// Actions may cause further module events. These are queued and processed in order, never nested.
void QueryCoordinator::process_module_events() {
  if (processing_module_events_) return;
  processing_module_events_ = true;
  while (!module_events_.empty()) {
    const Event event = module_events_.front();
    module_events_.pop_front();
    module_actions_.clear();
    module_notified_at_ = now_;
    module_.handle(now_, event, module_actions_);
    for (const Action& module_action : module_actions_) {
      std::visit([this](const auto& action) { apply(action); }, module_action);
    }
  }
  processing_module_events_ = false;
}

void QueryCoordinator::apply(const Reject& action) {
  QueryRecord* query = find_query(action.request);
  if (query == nullptr || query->is_finished()) return;
  finish_query(
      *query,
      {.kind = AnswerKind::rejected, .retry_safety = RetrySafety::safe, .retry_after = action.retry_after});
}

void QueryCoordinator::apply(const Fail& action) {
  QueryRecord* query = find_query(action.request);
  if (query == nullptr || query->is_finished()) return;
  finish_query(*query, {.kind = AnswerKind::failed});
}

void QueryCoordinator::apply(const SetTimer& action) {
  timers_.arm_for_module(now_ + action.after, action.token);
}

void QueryCoordinator::apply(const SetResourceGrant& action) {
  QueryRecord* query = find_query(action.request);
  if (query == nullptr || query->is_finished()) return;
  query->priority = action.priority;
  query->memory_mb = action.memory_mb;
  for (const AttemptRecord& attempt : query->attempts) {
    const bool is_running =
        attempt.state.is(AttemptState::running) || attempt.state.is(AttemptState::answering);
    if (!is_running || !attempt.channel) continue;
    emit(UpdateResourceGrant{*attempt.channel, action.priority, action.memory_mb});
  }
}

// Hosts report the endpoint list and its changes without a subscription.
void QueryCoordinator::apply(const SubscribeEndpoints&) {}

// Hosts do not support peers yet, and may_gossip is off.
void QueryCoordinator::apply(const SendGossip&) {}

void QueryCoordinator::apply(const Log& action) { emit(LogMessage{action.text}); }

}  // namespace paddlestand::core

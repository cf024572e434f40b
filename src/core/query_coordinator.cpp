#include "conductor.hpp"

#include <algorithm>

#include "seeded.hpp"
#include "walk.hpp"

namespace paddlestand::core {

namespace {

CoreSettings as_used(CoreSettings settings) {
  if (!seeded(Defect::connect_time_forgotten)) settings.module.send_delay = settings.connect_time_out;
  if (seeded(Defect::key_rest_forgotten)) settings.module.order_settle = {};
  if (seeded(Defect::budget_off_by_one) && settings.module.attempt_budget)
    settings.module.attempt_budget->floor += 1;
  for (ClassSettings& k : settings.module.classes) {
    if (seeded(Defect::placement_lost)) k.allowed_zones.reset();
  }
  return settings;
}

}  // namespace

Conductor::Conductor(CoreSettings settings)
    : settings_(std::make_shared<const CoreSettings>(as_used(std::move(settings)))),
      module_(settings_->module) {}

void Conductor::handle(TimePoint now, const CoreEvent& event, std::vector<Effect>& effects) {
  if (now < now_) fail_assertion("conductor", 0, "time went back");
  now_ = now;
  out_ = &effects;
  std::visit([this](const auto& e) { on(e); }, event);
  drain();
}

std::optional<TimePoint> Conductor::due() const {
  auto first = timers_.due();
  if (!module_timers_.empty())
    first = first ? std::min(*first, module_timers_.begin()->first) : module_timers_.begin()->first;
  if (first && seeded(Defect::timers_late)) *first += 20 * settings_->module.clock_step;
  return first;
}

QueryRecord* Conductor::find_query(QueryId id) {
  const auto found = queries_.find(id);
  return found == queries_.end() ? nullptr : &found->second;
}

LinkRecord* Conductor::find_link(LinkId id) {
  const auto found = links_.find(id);
  return found == links_.end() ? nullptr : &found->second;
}

// ---- Sessions ----

void Conductor::on(const SessionOpened& event) {
  if (!sessions_.emplace(event.session, SessionRecord(event.session)).second)
    fail_assertion("session", event.session, "opened twice");
}

void Conductor::on(const SessionClosed& event) {
  const auto found = sessions_.find(event.session);
  if (found == sessions_.end()) fail_assertion("session", event.session, "closed, but not open");
  SessionRecord& session = found->second;
  if (session.state.is(SessionState::asking)) {
    // The client hears nothing of it, but what became of its query is accounted for; and first, so that
    // nothing that waits for it goes out before it is over.
    QueryRecord& query = queries_.at(session.query);
    const QueryId id = query.id;
    answer(query, AnswerKind::cancelled, Repeatable::unknown);
    tell(ClientLeft{id});
    drain();
  }
  session.state.go(SessionState::closed, "client gone");
  if (!seeded(Defect::untaken_bytes_left)) buffered_ -= session.untaken;
  sessions_.erase(found);
}

void Conductor::on(const CancelAsked& event) {
  const auto found = sessions_.find(event.session);
  // A cancel that comes after the answer finds nothing under way: it must not strike the next query.
  if (found == sessions_.end() || !found->second.state.is(SessionState::asking)) return;
  const QueryId id = found->second.query;
  answer(queries_.at(id), AnswerKind::cancelled, Repeatable::unknown);
  tell(ClientLeft{id});
}

void Conductor::on(const QueryArrived& event) {
  const auto found = sessions_.find(event.session);
  if (found == sessions_.end()) fail_assertion("session", event.session, "asks, but is not open");
  SessionRecord& session = found->second;
  session.state.go(SessionState::asking, "query came");
  session.query = event.query;
  const auto [place, fresh] = queries_.emplace(event.query, QueryRecord(event.query, event.session, now_));
  if (!fresh) fail_assertion("query", event.query, "its id came twice");
  QueryRecord& query = place->second;
  query.class_index = event.class_index;
  query.patience = event.patience;
  ++open_queries_;
  if (leaving_) return answer(query, AnswerKind::refused, Repeatable::harmless, {}, true);
  RequestArrived told;
  told.request = event.query;
  told.class_index = event.class_index;
  told.tenant = event.tenant;
  told.order_key = event.order_key;
  told.patience = event.patience;
  told.told_cost = event.told_cost;
  told.told_memory_mb = event.told_memory_mb;
  told.tables = event.tables;
  told.repeated = event.repeated;
  tell(told);
}

void Conductor::on(const ClientTook& event) {
  const auto found = sessions_.find(event.session);
  if (found == sessions_.end()) return;  // its close crossed with the write
  SessionRecord& session = found->second;
  if (event.bytes > session.untaken) fail_assertion("session", event.session, "took more than was delivered");
  session.untaken -= event.bytes;
  buffered_ -= event.bytes;
  if (!session.state.is(SessionState::asking)) return;
  QueryRecord& query = queries_.at(session.query);
  for (const AttemptRecord& attempt : query.attempts) {
    if (!attempt.out() || !attempt.link) continue;
    LinkRecord& link = links_.at(*attempt.link);
    const bool room = session.untaken <= settings_->client_window / 2;
    if (!link.paused || !room || (buffered_ > settings_->buffers_in_total && session.untaken > 0)) continue;
    if (seeded(Defect::resume_forgotten)) continue;
    link.paused = false;
    act(ResumeLink{*attempt.link});
  }
}

// ---- The module ----

void Conductor::tell(const Event& event) { told_.push_back(event); }

// Actions may tell the module more, at once; that waits its turn here and is never nested.
void Conductor::drain() {
  if (draining_) return;
  draining_ = true;
  while (!told_.empty()) {
    const Event event = std::move(told_.front());
    told_.pop_front();
    actions_.clear();
    module_told_ = now_;
    module_.handle(now_, event, actions_);
    for (std::size_t i = 0; i < actions_.size(); ++i) {
      std::visit([this](const auto& action) { apply(action); }, actions_[i]);
    }
  }
  draining_ = false;
}

void Conductor::apply(const Send& action) {
  QueryRecord& query = queries_.at(action.request);
  if (query.over()) fail_assertion("query", query.id, "sent after its final answer");
  if (query.state.is(QueryState::streaming) && !seeded(Defect::streamed_query_is_repeated))
    fail_assertion("query", query.id, "sent again after part of an answer went to the client");
  const auto index = static_cast<std::uint32_t>(query.attempts.size());
  AttemptRecord& attempt = query.attempts.emplace_back(action.engine, query.id, now_);
  Pool& pool = pools_[action.engine];
  if (!pool.ready()) return end(query, index, Result::moot);
  attempt.time_out = timers_.arm(now_ + action.time_out, {TimerUse::attempt_time_out, query.id, index});
  switch (pool.place(settings_->links_per_engine)) {
    case Pool::Place::reuse: {
      const LinkId id = seeded(Defect::idle_link_taken_twice) ? pool.idle().back() : pool.take_idle();
      LinkRecord& link = links_.at(id);
      timers_.disarm(link.timer);
      attempt.link = id;
      start_on(id, link, query, index);
      break;
    }
    case Pool::Place::open: {
      const LinkId id = open(action.engine, LinkUse::query, query.id);
      LinkRecord& link = links_.at(id);
      link.query = query.id;
      link.attempt = index;
      attempt.link = id;
      break;
    }
    // Our own bound; the module lets the engine rest a little, as after any refusal that says `full`.
    case Pool::Place::none: end(query, index, Result::full); break;
  }
}

void Conductor::apply(const Cancel& action) {
  QueryRecord* query = find_query(action.request);
  if (query == nullptr || action.attempt >= query->attempts.size()) return;
  cancel(*query, action.attempt);
}

void Conductor::apply(const Refuse& action) {
  QueryRecord* query = find_query(action.request);
  if (query == nullptr || query->over()) return;
  const Duration advice = action.retry_after * (seeded(Defect::advice_too_long) ? 3 : 1);
  answer(*query, AnswerKind::refused, Repeatable::harmless, advice);
}

void Conductor::apply(const Fail& action) {
  QueryRecord* query = find_query(action.request);
  if (query == nullptr || query->over()) return;
  const bool lie = seeded(Defect::harmless_after_a_run);
  answer(*query, lie ? AnswerKind::refused : AnswerKind::failed,
         lie ? Repeatable::harmless : Repeatable::unknown);
}

// The module asks for a timer with each query and counts in clock steps: due times go up to the next whole
// one, so that those of a step are one, and the table holds no more than the longest patience has steps.
void Conductor::apply(const SetTimer& action) {
  const Duration step = std::max(settings_->module.clock_step, Duration{1});
  const auto steps = (now_ + action.after + step - Duration{1}) / step;
  module_timers_.emplace(steps * step, action.token);
}

void Conductor::apply(const Probe& action) {
  if (!pools_[action.engine].ready()) {
    tell(ProbeEnded{action.engine, Result::moot, {}, {}});
    return;
  }
  LinkRecord& link = links_.at(open(action.engine, LinkUse::probe));
  timers_.disarm(link.timer);
  link.timer = timers_.arm(now_ + settings_->probe_time_out, {TimerUse::probe, link.state.id(), 0});
}

void Conductor::apply(const SetTerms& action) {
  QueryRecord* query = find_query(action.request);
  if (query == nullptr || query->over()) return;
  query->priority = action.priority;
  query->memory_mb = action.memory_mb;
  for (const AttemptRecord& attempt : query->attempts) {
    const bool runs = attempt.state.is(AttemptState::running) || attempt.state.is(AttemptState::answering);
    if (runs && attempt.link) act(ChangeTerms{*attempt.link, action.priority, action.memory_mb});
  }
}

void Conductor::apply(const SubscribeFleet&) {}  // hosts tell the list and its changes unasked
void Conductor::apply(const TellPeers&) {}  // no peers are known to a host yet: may_tell_peers is off
void Conductor::apply(const Log& action) { act(Remark{action.text}); }

// ---- Attempts ----

void Conductor::start_on(LinkId id, LinkRecord& link, QueryRecord& query, std::uint32_t index) {
  link.query = query.id;
  link.attempt = index;
  link.state.go(LinkState::sending, "query goes out");
  query.attempts[index].state.go(AttemptState::sending, "query goes out");
  act(SendQuery{id, query.id, index, query.priority, query.memory_mb});
}

void Conductor::mark_sent(LinkRecord& link) {
  if (!link.state.is(LinkState::sending)) return;
  link.state.go(LinkState::busy, "bytes handed over");
  if (link.query)
    queries_.at(*link.query).attempts[link.attempt].state.go(AttemptState::running, "handed over");
}

void Conductor::on(const QuerySent& event) {
  if (LinkRecord* link = find_link(event.link)) mark_sent(*link);
}

void Conductor::cancel(QueryRecord& query, std::uint32_t index) {
  AttemptRecord& attempt = query.attempts[index];
  switch (attempt.state.state()) {
    case AttemptState::connecting:
      // The link may still come up, and serve another.
      if (attempt.link) links_.at(*attempt.link).query.reset();
      if (attempt.link && seeded(Defect::link_left_open)) timers_.disarm(links_.at(*attempt.link).timer);
      attempt.link.reset();
      end(query, index, Result::moot);
      break;
    case AttemptState::sending: {
      // What was not wholly handed over can't run: the engine sees the link's end before the query's.
      const LinkId id = *attempt.link;
      end(query, index, Result::moot);
      close(id);
      break;
    }
    case AttemptState::running:
    case AttemptState::answering: {
      const LinkId id = *attempt.link;
      LinkRecord& link = links_.at(id);
      if (seeded(Defect::next_attempt_while_cancelling)) {
        act(CancelOnEngine{id});
        end(query, index, Result::cancelled);
        break;
      }
      attempt.state.go(AttemptState::cancelling, "module cancels");
      if (!seeded(Defect::cancelled_link_goes_on)) link.state.go(LinkState::cancelling, "module cancels");
      act(CancelOnEngine{id});
      timers_.disarm(link.timer);
      link.timer = timers_.arm(now_ + settings_->cancel_grace, {TimerUse::cancel_grace, id, 0});
      if (link.paused) {  // its end must be read, or the engine never gets to hear of the cancel
        link.paused = false;
        act(ResumeLink{id});
      }
      break;
    }
    case AttemptState::cancelling:
    case AttemptState::over: break;
  }
}

void Conductor::time_out(QueryRecord& query, std::uint32_t index) {
  AttemptRecord& attempt = query.attempts[index];
  attempt.time_out.reset();
  switch (attempt.state.state()) {
    case AttemptState::connecting: {
      if (attempt.link) links_.at(*attempt.link).query.reset();
      attempt.link.reset();
      end(query, index, Result::connect_failed);
      break;
    }
    case AttemptState::sending: {
      const LinkId id = *attempt.link;
      end(query, index, Result::connect_failed);
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
    case AttemptState::over: break;
  }
}

// One outcome for each attempt, told to the module once. The link is the caller's to park or to close.
void Conductor::end(QueryRecord& query, std::uint32_t index, Result result, const AnswerEnd* told) {
  AttemptRecord& attempt = query.attempts[index];
  attempt.state.go(AttemptState::over, "ended");
  if (!seeded(Defect::time_out_left_armed)) timers_.disarm(attempt.time_out);
  attempt.result = result;
  attempt.took = now_ - attempt.began;
  if (attempt.link) {
    LinkRecord& link = links_.at(*attempt.link);
    discard(*attempt.link, link);
    link.query.reset();
    attempt.link.reset();
  }
  const bool midway = query.state.is(QueryState::streaming) && result != Result::served;
  AttemptEnded event;
  event.request = query.id;
  event.attempt = index;
  event.engine = attempt.engine;
  event.result = result;
  event.took = attempt.took;
  // From the first byte to the client on there is no further attempt.
  event.request_over =
      result == Result::served || query.over() || (midway && !seeded(Defect::streamed_query_is_repeated));
  if (told != nullptr && result == Result::served) {
    event.work = told->work;
    event.memory_mb = told->memory_mb;
  }
  if (told != nullptr) event.report = told->report;
  if (seeded(Defect::reset_told_as_never_ran) && result == Result::reset)
    event.result = Result::connect_failed;
  if (!seeded(Defect::outcome_not_told) || result != Result::connect_failed) tell(event);
  const QueryId id = query.id;
  if (seeded(Defect::streamed_query_is_repeated)) {
    forget_if_done(id);
    return;
  }
  if (midway && !query.over()) answer(query, AnswerKind::failed, Repeatable::unknown);
  forget_if_done(id);
}

void Conductor::forget_if_done(QueryId id) {
  const auto found = queries_.find(id);
  if (found == queries_.end() || !found->second.over() || found->second.any_out()) return;
  queries_.erase(found);
  leave_if_done();
}

// ---- Links ----

LinkId Conductor::open(EngineId engine, LinkUse use, QueryId query) {
  const LinkId id = ++last_link_;
  LinkRecord& link = links_.emplace(id, LinkRecord(id, engine, use, now_)).first->second;
  if (use == LinkUse::query) pools_[engine].opened();
  link.timer = timers_.arm(now_ + settings_->connect_time_out, {TimerUse::connect, id, 0});
  act(OpenLink{id, engine, use, query});
  return id;
}

void Conductor::close(LinkId id) {
  LinkRecord& link = links_.at(id);
  if (link.query) fail_assertion("link", id, "closed under an attempt");
  if (link.state.is(LinkState::sending)) never_goes_out(id);
  link.state.go(LinkState::closed, "closed");
  timers_.disarm(link.timer);
  buffered_ -= link.kept;
  if (link.use == LinkUse::query) pools_[link.engine].closed(id);
  act(CloseLink{id});
  links_.erase(id);
}

// What was to go out in this very turn must not any more: its attempt is called one that never ran.
void Conductor::never_goes_out(LinkId id) {
  if (seeded(Defect::pending_send_goes_out)) return;
  std::erase_if(*out_, [id](const Effect& effect) {
    const auto* query = std::get_if<SendQuery>(&effect);
    const auto* probe = std::get_if<SendProbe>(&effect);
    return (query != nullptr && query->link == id) || (probe != nullptr && probe->link == id);
  });
}

void Conductor::park(LinkId id, LinkRecord& link) {
  link.query.reset();
  if (!pools_[link.engine].park(id, settings_->idle_links_per_engine)) return close(id);
  link.timer = timers_.arm(now_ + settings_->idle_link_life, {TimerUse::idle_link, id, 0});
}

void Conductor::on(const LinkUp& event) {
  LinkRecord* link = find_link(event.link);
  if (link == nullptr) return;
  link->state.go(LinkState::idle, "up");
  if (link->use == LinkUse::probe) {
    link->state.go(LinkState::sending, "probe goes out");
    act(SendProbe{event.link});
    return;
  }
  timers_.disarm(link->timer);
  if (!link->query) return park(event.link, *link);
  start_on(event.link, *link, queries_.at(*link->query), link->attempt);
}

void Conductor::on(const LinkLost& event) {
  LinkRecord* link = find_link(event.link);
  if (link == nullptr) return;
  if (link->use == LinkUse::probe) {
    return end_probe(event.link, event.why == LinkLoss::local ? Result::moot : Result::connect_failed,
                     nullptr);
  }
  if (link->query) {
    Result result = Result::reset;
    switch (link->state.state()) {
      case LinkState::opening:
      case LinkState::sending:
        // Want of descriptors is this manager's trouble and speaks against no engine.
        result = event.why == LinkLoss::local ? Result::moot : Result::connect_failed;
        break;
      case LinkState::cancelling:
        result = queries_.at(*link->query).attempts[link->attempt].cancel_result();
        break;
      default:
        // Nothing was heard of its end: it may still run, and its key has to rest.
        if (event.why == LinkLoss::broken_protocol && seeded(Defect::broken_link_told_as_ended))
          result = Result::engine_error;
        break;
    }
    end(queries_.at(*link->query), link->attempt, result);
  }
  close(event.link);
}

void Conductor::end_probe(LinkId id, Result result, const AnswerEnd* told) {
  const LinkRecord& link = links_.at(id);
  tell(ProbeEnded{link.engine, result, now_ - link.opened, told != nullptr ? told->report : LoadReport{}});
  close(id);
}

void Conductor::engine_not_ready(EngineId engine) {
  const std::vector<LinkId> idle = pools_[engine].idle();
  for (const LinkId id : idle) close(id);
  // What has not been handed over yet must not be: by the time that its link is up, the grace may be over.
  std::vector<LinkId> ended;
  for (const auto& [id, link] : links_) {
    if (seeded(Defect::drain_spares_opening_links) && link.state.is(LinkState::opening)) continue;
    const bool unsent_query = link.state.is(LinkState::opening) || link.state.is(LinkState::sending);
    // What a probe finds out hereafter would be credited to the process that comes after this one.
    if (link.engine == engine && (unsent_query || link.use == LinkUse::probe)) ended.push_back(id);
  }
  std::sort(ended.begin(), ended.end());
  for (const LinkId id : ended) {
    LinkRecord& link = links_.at(id);
    if (link.use == LinkUse::probe) {
      end_probe(id, Result::moot, nullptr);
      continue;
    }
    if (link.query) end(queries_.at(*link.query), link.attempt, Result::moot);
    close(id);
  }
}

void Conductor::on(const FleetTold& event) {
  if (seeded(Defect::drain_told_late) && event.scope == FleetScope::delta && !event.engines.empty() &&
      event.engines[0].state == EngineState::draining)
    return;
  // The module first: what is given back below must not be sent to the same engine once more.
  FleetChanged told;
  told.scope = event.scope;
  std::vector<EngineEntry> entries = event.engines;
  for (EngineEntry& entry : entries)
    if (seeded(Defect::cold_start_not_told)) entry.started = {};
  told.engines = entries;
  drain();
  tell(told);
  drain();  // the span in it lives only as long as the event
  if (event.scope == FleetScope::failed) return;
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
  if (event.scope != FleetScope::delta) {
    for (auto& [id, pool] : pools_)
      if (!named.contains(id) && pool.ready()) left.push_back(id);
  }
  for (const EngineId id : left) {
    pools_[id].told(false, pools_[id].started());
    engine_not_ready(id);
  }
  // Engines are ever new: what is not ready and holds nothing is nothing to remember.
  std::erase_if(pools_, [](const auto& pool) { return !pool.second.ready() && pool.second.links() == 0; });
}

// ---- Answers ----

void Conductor::discard(LinkId id, LinkRecord& link) {
  if (link.kept == 0) return;
  if (!seeded(Defect::kept_bytes_left)) buffered_ -= link.kept;
  link.kept = 0;
  act(Discard{id});
}

void Conductor::deliver(LinkId id, LinkRecord& link, QueryRecord& query) {
  if (link.kept == 0) return;
  SessionRecord& session = sessions_.at(query.session);
  session.untaken += link.kept;
  act(Deliver{id, query.session, link.kept});
  link.kept = 0;
}

// A slow reader slows its engine's link. When all buffers together are full, a link with nothing untaken
// still gets to hold one part, so that no client starves another.
void Conductor::rest_if_full(LinkId id, LinkRecord& link, const SessionRecord& session) {
  const bool full = session.untaken > settings_->client_window ||
                    (buffered_ > settings_->buffers_in_total && session.untaken > 0);
  if (!full || link.paused) return;
  link.paused = true;
  act(PauseLink{id});
}

void Conductor::on(const AnswerPart& event) {
  LinkRecord* link = find_link(event.link);
  if (link == nullptr || !link->query) return;
  mark_sent(*link);
  QueryRecord& query = queries_.at(*link->query);
  AttemptRecord& attempt = query.attempts[link->attempt];
  if (attempt.state.is(AttemptState::running)) attempt.state.go(AttemptState::answering, "first part");
  link->kept += event.bytes;
  buffered_ += event.bytes;
  if (query.over()) {
    attempt.spoiled = true;
    if (seeded(Defect::delivers_after_the_answer) && sessions_.contains(query.session))
      return deliver(event.link, *link, query);
    return discard(event.link, *link);
  }
  const bool overfull = link->kept > settings_->answer_buffer || buffered_ > settings_->buffers_in_total;
  if (attempt.state.is(AttemptState::cancelling)) {
    // It may still end well, but no part of it is given out before it has; too much is let go.
    if (!overfull && !query.state.is(QueryState::streaming)) return;
    attempt.spoiled = true;
    return discard(event.link, *link);
  }
  if (query.state.is(QueryState::open)) {
    if (!overfull) return;
    query.state.go(QueryState::streaming, "answer is larger than what is kept");
    if (!seeded(Defect::streamed_query_is_repeated)) tell(AnswerStarted{query.id});
  }
  deliver(event.link, *link, query);
  rest_if_full(event.link, *link, sessions_.at(query.session));
}

void Conductor::on(const AnswerEnd& event) {
  LinkRecord* link = find_link(event.link);
  if (link == nullptr) return;
  if (link->use == LinkUse::probe) {
    const bool well = event.ending == Ending::complete;
    return end_probe(event.link, well ? Result::served : Result::engine_error, &event);
  }
  if (!link->query) fail_assertion("link", event.link, "an answer ended where none was asked for");
  const bool clean =
      link->state.is(LinkState::busy) && (event.reusable || seeded(Defect::unclean_link_is_parked));
  mark_sent(*link);
  QueryRecord& query = queries_.at(*link->query);
  const std::uint32_t index = link->attempt;
  AttemptRecord& attempt = query.attempts[index];
  // Its last part may have come in the same read as the end: who rests now would rest under the next query.
  if (link->paused && !seeded(Defect::rest_left_behind)) {
    link->paused = false;
    act(ResumeLink{event.link});
  }
  link->kept += event.bytes;
  buffered_ += event.bytes;
  Result result = Result::served;
  switch (event.ending) {
    case Ending::complete:
      // Bytes of it may be gone; where the query is over they are nobody's, and the engine did serve.
      result = attempt.spoiled && !query.over() ? Result::cancelled : Result::served;
      break;
    case Ending::engine_error: result = Result::engine_error; break;
    case Ending::full: result = Result::full; break;
    case Ending::expired: result = Result::moot; break;
    case Ending::cancelled: result = attempt.cancel_result(); break;
  }
  if (result == Result::served && !query.over()) {
    if (!seeded(Defect::rest_of_answer_lost)) deliver(event.link, *link, query);
    attempt.result = result;
    attempt.took = now_ - attempt.began;
    answer(query, AnswerKind::served, Repeatable::unknown);
  }
  end(query, index, result, &event);
  // Clean: all was sent, its end came, and no cancel was ever told of it.
  if (!clean) return close(event.link);
  link->state.go(LinkState::idle, "answer ended");
  park(event.link, *link);
}

void Conductor::on(const EngineNote& event) {
  const LinkRecord* link = find_link(event.link);
  if (link == nullptr || !link->query) return;
  tell(Note{*link->query, link->attempt, event.kind, event.level});
}

// Every final answer passes here, once for each query.
void Conductor::answer(QueryRecord& query, AnswerKind kind, Repeatable repeatable, Duration retry_after,
                       bool leaving) {
  Answer out;
  out.session = query.session;
  out.query = query.id;
  out.kind = kind;
  out.repeatable = repeatable;
  out.begun = query.state.is(QueryState::streaming);
  out.leaving = leaving;
  out.retry_after = retry_after;
  out.class_index = query.class_index;
  out.took = now_ - query.arrived;
  // The module answers a little before the patience ends; what it gives up earlier it says is for load.
  out.time_up = (kind == AnswerKind::refused || kind == AnswerKind::failed) &&
                out.took + 4 * settings_->module.clock_step >= query.patience;
  for (const AttemptRecord& a : query.attempts) {
    out.attempts.push_back({a.engine, a.result, a.began - query.arrived, a.result ? a.took : now_ - a.began});
  }
  query.state.go(QueryState::over, "final answer");
  --open_queries_;
  if (const auto session = sessions_.find(query.session); session != sessions_.end())
    session->second.state.go(SessionState::idle, "answered");
  // Bytes that are kept for attempts still out are nobody's any more.
  for (AttemptRecord& a : query.attempts) {
    if (!a.out() || !a.link || kind == AnswerKind::served) continue;
    a.spoiled = true;
    discard(*a.link, links_.at(*a.link));
    LinkRecord& link = links_.at(*a.link);
    if (link.paused) {  // nobody is slow any more: let it run out
      link.paused = false;
      act(ResumeLink{*a.link});
    }
  }
  if (seeded(Defect::answers_twice) && out.kind == AnswerKind::failed) act(out);
  act(std::move(out));
  forget_if_done(query.id);
}

// ---- Time ----

void Conductor::on(const TimeCame&) {
  // What falls due while this runs is due at a later call, so that no event can keep the loop for ever.
  const std::size_t most = timers_.size() + module_timers_.size();
  for (std::size_t i = 0; i < most; ++i) {
    const auto own = timers_.due();
    const bool module_first = !module_timers_.empty() && (!own || module_timers_.begin()->first <= *own);
    if (module_first) {
      if (module_timers_.begin()->first > now_) break;
      const std::uint32_t token = module_timers_.begin()->second;
      module_timers_.erase(module_timers_.begin());
      tell(TimerFired{token});
    } else {
      const auto timer = timers_.take_due(now_);
      if (!timer) break;
      on_timer(*timer);
    }
    drain();
  }
}

void Conductor::on_timer(const Timer& timer) {
  switch (timer.use) {
    case TimerUse::attempt_time_out: {
      if (QueryRecord* query = find_query(timer.subject)) time_out(*query, timer.attempt);
      break;
    }
    case TimerUse::connect: on(LinkLost{timer.subject, LinkLoss::timed_out}); break;
    case TimerUse::cancel_grace: on(LinkLost{timer.subject, LinkLoss::timed_out}); break;
    case TimerUse::probe: {
      links_.at(timer.subject).timer.reset();
      end_probe(timer.subject, Result::timed_out, nullptr);
      break;
    }
    case TimerUse::idle_link: close(timer.subject); break;
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
        answer(queries_.at(id), harmless || lie ? AnswerKind::refused : AnswerKind::failed,
               harmless || lie ? Repeatable::harmless : Repeatable::unknown, {}, true);
        tell(ClientLeft{id});
        drain();
      }
      leave_if_done();
      break;
    }
  }
}

void Conductor::on(const Leave& event) {
  if (leaving_) return;
  leaving_ = true;
  timers_.arm(now_ + event.grace, {TimerUse::leave, 0, 0});
  leave_if_done();
}

void Conductor::leave_if_done() {
  if (!leaving_ || left_ || !queries_.empty()) return;
  left_ = true;
  act(Left{});
}

// ---- Accounts ----

Counts Conductor::counts() const {
  Counts c;
  c.sessions = sessions_.size();
  c.queries_open = open_queries_;
  for (const auto& [id, query] : queries_)
    for (const AttemptRecord& a : query.attempts) c.attempts_out += a.out() ? 1 : 0;
  c.links = links_.size();
  for (const auto& [id, link] : links_) c.links_probing += link.use == LinkUse::probe ? 1 : 0;
  for (const auto& [id, pool] : pools_) c.links_idle += pool.idle().size();
  c.bytes_buffered = buffered_;
  c.own_timers = timers_.size();
  c.timers = c.own_timers + module_timers_.size();
  return c;
}

void Conductor::check() const {
  std::size_t bytes = 0, open = 0;
  for (const auto& [id, session] : sessions_) {
    bytes += session.untaken;
    const bool asking = session.state.is(SessionState::asking);
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
      if (!a.link) {
        if (a.out()) fail_assertion("query", id, "an attempt is out on no link");
        continue;
      }
      const auto link = links_.find(*a.link);
      if (link == links_.end() || link->second.query != id || link->second.attempt != i)
        fail_assertion("query", id, "attempt and link disagree");
    }
  }
  std::map<EngineId, std::uint32_t> held;
  for (const auto& [id, link] : links_) {
    bytes += link.kept;
    if (link.use == LinkUse::query) ++held[link.engine];
    const bool idle = link.state.is(LinkState::idle);
    const bool waits = idle || link.state.is(LinkState::opening) || link.state.is(LinkState::cancelling);
    if (waits && !link.timer) fail_assertion("link", id, "nothing would ever end it");
    if (link.paused) {
      const auto session = link.query ? sessions_.find(queries_.at(*link.query).session) : sessions_.end();
      if (session == sessions_.end() || session->second.untaken == 0)
        fail_assertion("link", id, "is not read, and no client is slow");
    }
    if (idle && link.query) fail_assertion("link", id, "idle under an attempt");
    if (link.use == LinkUse::query && !idle && !link.query && !link.state.is(LinkState::opening))
      fail_assertion("link", id, "in use for nothing");
  }
  for (const auto& [id, pool] : pools_) {
    if (pool.links() != held[id]) fail_assertion("pool of engine", id, "links are miscounted");
    if (pool.links() > settings_->links_per_engine)
      fail_assertion("pool of engine", id, "more links than allowed");
  }
  if (bytes != buffered_) fail_assertion("conductor", 0, "buffered bytes are miscounted");
  if (open != open_queries_) fail_assertion("conductor", 0, "open queries are miscounted");
}

// ---- State ----

void Conductor::visit(StateVisitor& v) {
  const Walk w(v, now_);
  // Links first: what refers to one is told by what the link is, since ids only count up.
  w.table(links_, [&](LinkId id, LinkRecord& l) {
    w.name(Name::link, id);
    w.name(Name::engine, l.engine);
    w.wholes(l.use, l.state.state(), l.query.has_value(), l.kept, l.paused, l.timer.has_value());
    if (l.query) w.name(Name::query, *l.query), w.wholes(l.attempt);
    if (l.timer) w.until(l.timer->first);
    if (l.use == LinkUse::probe) w.since(l.opened);
  });
  w.table(pools_, [&](EngineId id, Pool& pool) {
    w.name(Name::engine, id);
    w.wholes(pool.ready(), pool.links());
    if (pool.started().count() > 0) w.since(pool.started());
    w.list(pool.idle(), [&](LinkId link) { w.name(Name::link, link); });
  });
  w.table(sessions_, [&](SessionId id, SessionRecord& s) {
    w.name(Name::session, id);
    const bool asking = s.state.is(SessionState::asking);
    w.wholes(s.state.state(), s.untaken);
    if (asking) w.name(Name::query, s.query);
  });
  w.table(queries_, [&](QueryId id, QueryRecord& q) {
    w.name(Name::query, id);
    w.name(Name::session, q.session);
    w.wholes(q.class_index, q.priority, q.state.state());
    w.number(q.memory_mb);
    w.until(q.arrived + q.patience);  // when it came, and when attempts began, is for accounts only
    w.list(q.attempts, [&](AttemptRecord& a) {
      w.name(Name::engine, a.engine);
      w.wholes(a.state.state(), a.link.has_value(), a.result.has_value(), a.spoiled, a.timed_out);
      if (a.result) w.wholes(*a.result);
      if (a.link) w.name(Name::link, *a.link);
    });
  });
  timers_.each([&](TimePoint at, const Timer& timer) {
    w.until(at);
    w.wholes(timer.use, timer.attempt);
    switch (timer.use) {
      case TimerUse::attempt_time_out: w.name(Name::query, timer.subject); break;
      case TimerUse::leave: break;
      default: w.name(Name::link, timer.subject); break;
    }
  });
  w.list(module_timers_, [&](const auto& timer) {
    w.until(timer.first);
    w.wholes(timer.second);
  });
  w.wholes(buffered_, open_queries_, leaving_, left_);
  v.behind(static_cast<double>((now_ - module_told_).count()) * 1e-9);
  module_.visit(v);
  v.behind(0);
}

}  // namespace paddlestand::core

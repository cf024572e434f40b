#include "invariant_monitor.hpp"

#include <algorithm>
#include <cmath>

#include "state_walk.hpp"

namespace paddlestand::core {
namespace {

struct Worded {
  std::string_view name, sentence;
};
constexpr std::array<Worded, static_cast<std::size_t>(Invariant::count)> words{{
    {"one_answer", "A query that was taken gets one final answer, never two."},
    {"in_time", "The final answer comes before the client's patience ends."},
    {"nothing_after",
     "After the final answer nothing more is sent for the query, to its client or to an engine."},
    {"one_attempt", "A query has at most one attempt out at any moment, and no more attempts than allowed."},
    {"effect_once", "What may have run is sent again only as its class allows."},
    {"honest_answer",
     "An answer says what is so: a refusal only where trying again is harmless, `served` only for a whole "
     "answer."},
    {"drain",
     "Nothing new goes to an engine later than the grace after the manager was told that it drains or is "
     "gone."},
    {"cold_engine", "An engine that has just started is sent no more than it can take without falling over."},
    {"order",
     "Queries of one key run one at a time, in the order taken, and the key rests after an outcome in "
     "doubt."},
    {"placement", "A class that is bound to zones or kinds is sent only there."},
    {"budget", "Attempts beyond each query's first stay within the budget in any window."},
    {"clean_link",
     "A link carries a query only when it is up, free, never cancelled on, and left clean by the one "
     "before."},
    {"own_cancel", "A cancel strikes only the query that it is meant for."},
    {"own_rows", "A client gets rows of one attempt only, and only of its own query."},
    {"whole_answer", "An answer called served was delivered whole."},
    {"bounds", "Links and kept bytes stay within their bounds."},
    {"advice", "Advice when to come back is no longer than the longest allowed."},
    {"no_contradiction", "The ledger, the state machines and the module never contradict each other."},
    {"all_ends", "With no more faults everything ends: no query, attempt, timer, link or byte is left over."},
}};

template <typename List>
bool among(const std::optional<List>& allowed, std::uint32_t place) {
  return !allowed || std::find(allowed->begin(), allowed->end(), place) != allowed->end();
}

std::string query_text(QueryId id) { return "query " + std::to_string(id); }

}  // namespace

std::string_view name_of(Invariant invariant) { return words[static_cast<std::size_t>(invariant)].name; }
std::string_view sentence_of(Invariant invariant) {
  return words[static_cast<std::size_t>(invariant)].sentence;
}

bool InvariantMonitor::Query::any_out() const {
  return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.out; });
}

InvariantMonitor::InvariantMonitor(const CoreSettings& settings)
    : s_(std::make_shared<const CoreSettings>(settings)) {}

void InvariantMonitor::on_event(TimePoint now, const CoreEvent& event) {
  now_ = now;
  std::visit([this](const auto& one) { on(one); }, event);
}

void InvariantMonitor::on_action(TimePoint now, const HostAction& action) {
  now_ = now;
  std::visit([this](const auto& one) { saw(one); }, action);
}

void InvariantMonitor::violation(Invariant invariant, std::string what) {
  ++violation_count_;
  if (violations_.size() < max_kept_violations) violations_.push_back({invariant, std::move(what)});
}

const ClassSettings& InvariantMonitor::class_of(const Query& query) const {
  return s_->module.classes.at(query.class_index);
}

InvariantMonitor::Query* InvariantMonitor::find(QueryId id) {
  const auto found = queries_.find(id);
  return found == queries_.end() ? nullptr : &found->second;
}

// ---- What is told ----

void InvariantMonitor::on(const SessionClosed& event) {
  const auto found = asking_.find(event.session);
  if (found == asking_.end()) return;
  if (Query* query = find(found->second)) query->let_go = true;
}

void InvariantMonitor::on(const ClientCancelled& event) {
  const auto found = asking_.find(event.session);
  if (found == asking_.end()) return;
  if (Query* query = find(found->second)) query->let_go = true;
}

void InvariantMonitor::on(const QueryArrived& event) {
  Query query;
  query.session = event.session;
  query.class_index = event.class_index;
  query.arrived = now_;
  query.client_timeout = event.client_timeout;
  query.cost = event.estimated_cost;
  const bool known = event.class_index < s_->module.classes.size();
  if (known && s_->module.classes[event.class_index].ordered_by_key) query.key = event.ordering_key;
  if (query.key != 0) lines_[query.key].push_back(event.query);
  asking_[event.session] = event.query;
  deadlines_.emplace(now_ + event.client_timeout, event.query);
  queries_[event.query] = std::move(query);
  if (!s_->module.retry_budget) return;
  forget_before_window();  // here too: where nothing can be sent, arrivals are all that comes
  taken_.push_back(now_);
}

void InvariantMonitor::on(const ChannelOpened& event) {
  if (const auto found = channels_.find(event.channel); found != channels_.end()) found->second.up = true;
}

void InvariantMonitor::handed(const Channel& channel) {
  if (!channel.carries) return;
  if (Query* query = find(channel.query)) query->attempts[channel.attempt].handed = true;
}

void InvariantMonitor::on(const QuerySent& event) {
  if (const auto found = channels_.find(event.channel); found != channels_.end()) handed(found->second);
}

void InvariantMonitor::on(const AnswerPart& event) {
  const auto found = channels_.find(event.channel);
  if (found == channels_.end() || !found->second.carries) return;
  Channel& channel = found->second;
  handed(channel);
  channel.kept += event.bytes;
  if (Query* query = find(channel.query)) query->attempts[channel.attempt].bytes += event.bytes;
}

void InvariantMonitor::on(const AnswerEnd& event) {
  const auto found = channels_.find(event.channel);
  if (found == channels_.end() || !found->second.carries) return;
  Channel& channel = found->second;
  handed(channel);
  channel.kept += event.bytes;
  channel.unclean |= !event.reusable;
  if (Query* query = find(channel.query)) {
    Attempt& attempt = query->attempts[channel.attempt];
    attempt.bytes += event.bytes;
    attempt.turned_away = event.ending == Ending::full || event.ending == Ending::expired;
    attempt.complete = event.ending == Ending::complete;
  }
  ended(channel, event.ending == Ending::cancelled);
}

void InvariantMonitor::on(const ChannelLost& event) {
  const auto found = channels_.find(event.channel);
  if (found == channels_.end()) return;
  found->second.up = false;
  // It says nothing about what the engine does with the query: it may go on with it.
  if (found->second.carries) ended(found->second, true);
}

// The attempt on this channel has an outcome. Where it may still run, its key rests.
void InvariantMonitor::ended(Channel& channel, bool may_still_run) {
  channel.carries = false;
  Query* query = find(channel.query);
  if (query == nullptr) return;
  Attempt& attempt = query->attempts[channel.attempt];
  attempt.out = false;
  if (may_still_run && attempt.may_have_run() && query->key != 0)
    rests_[query->key] = {now_ + s_->module.ordering_settle_time, channel.query};
  forget_if_done(channel.query);
}

void InvariantMonitor::not_ready(Engine& engine) {
  if (!engine.ready) return;
  engine.ready = false;
  engine.not_ready_since = now_;
}

void InvariantMonitor::on(const EndpointsUpdated& event) {
  if (event.scope == EndpointUpdate::failed) return;
  std::set<EngineId> named;
  for (const EngineEntry& entry : event.engines) {
    named.insert(entry.engine);
    Engine& engine = engines_[entry.engine];
    const bool restarted = entry.started > engine.entry.started;
    engine.entry = entry;
    if (entry.state != EngineState::ready) {
      not_ready(engine);
      continue;
    }
    engine.ready = true;
    if (restarted && entry.started.count() > 0)
      engine.warm_at = entry.started + s_->module.slow_start_duration;
  }
  if (event.scope != EndpointUpdate::delta) {
    for (auto& [id, engine] : engines_) {
      if (named.contains(id)) continue;
      not_ready(engine);
      engine.entry.state = EngineState::removed;
    }
  }
  forget_removed();
}

// Engines are ever new. One that is gone is remembered only as long as something refers to it.
void InvariantMonitor::forget_removed() {
  const auto gone = [](const auto& engine) {
    return !engine.second.ready && engine.second.channels == 0 &&
           engine.second.entry.state == EngineState::removed;
  };
  if (std::none_of(engines_.begin(), engines_.end(), gone)) return;
  std::set<EngineId> tried;
  for (const auto& [id, query] : queries_)
    for (const Attempt& attempt : query.attempts) tried.insert(attempt.engine);
  std::erase_if(engines_, [&](const auto& engine) { return gone(engine) && !tried.contains(engine.first); });
}

void InvariantMonitor::on(const TimerExpired&) {
  std::erase_if(rests_, [this](const auto& rest) { return rest.second.until < now_; });
  while (!deadlines_.empty() && deadlines_.begin()->first < now_) {
    const QueryId id = deadlines_.begin()->second;
    deadlines_.erase(deadlines_.begin());
    if (const Query* query = find(id); query != nullptr && !query->answered)
      violation(Invariant::in_time, query_text(id) + " has no answer, and its client waits no longer");
  }
}

// ---- What is done ----

void InvariantMonitor::saw(const OpenChannel& action) {
  Channel channel;
  channel.engine = action.engine;
  channel.use = action.use;
  channels_[action.channel] = channel;
  if (action.use == ChannelUse::query && ++engines_[action.engine].channels > s_->channels_per_engine)
    violation(Invariant::bounds, "engine " + std::to_string(action.engine) + " has more links than allowed");
}

void InvariantMonitor::saw(const SendQuery& action) {
  const auto place = channels_.find(action.channel);
  Query* query = find(action.query);
  if (place == channels_.end()) {
    violation(Invariant::clean_link, query_text(action.query) + " is sent on a link that is closed");
    return;
  }
  if (query == nullptr) {
    violation(Invariant::nothing_after, query_text(action.query) + " is sent after it was over");
    return;
  }
  Channel& channel = place->second;
  send_is_allowed(action, *query, channel);
  Attempt attempt;
  attempt.engine = channel.engine;
  attempt.channel = action.channel;
  attempt.sent = now_;
  channel.query = action.query;
  channel.attempt = query->attempts.size();
  channel.carries = true;
  channel.kept = 0;
  query->attempts.push_back(attempt);
}

void InvariantMonitor::send_is_allowed(const SendQuery& action, const Query& query, const Channel& channel) {
  const std::string text = query_text(action.query);
  if (!channel.up || channel.use != ChannelUse::query)
    violation(Invariant::clean_link, text + " is sent on a link that is not up");
  if (channel.carries) violation(Invariant::clean_link, text + " is sent on a link that carries another");
  if (channel.cancelled)
    violation(Invariant::clean_link, text + " is sent on a link that a late cancel can strike");
  if (channel.unclean)
    violation(Invariant::clean_link, text + " is sent on a link that the one before left unclean");
  if (query.answered) violation(Invariant::nothing_after, text + " is sent after its final answer");
  if (query.delivered > 0)
    violation(Invariant::own_rows,
              text + " is sent again after rows of an earlier attempt went to its client");
  if (query.any_out()) violation(Invariant::one_attempt, text + " is sent while an earlier attempt is out");
  if (query.attempts.size() >= std::max(s_->module.max_attempts, 1U))
    violation(Invariant::one_attempt, text + " is sent more often than allowed");
  Engine& engine = engines_[channel.engine];
  const Duration grace = s_->module.drain_grace;
  if (!engine.ready && now_ > engine.not_ready_since + grace)
    violation(Invariant::drain,
              text + " goes to engine " + std::to_string(channel.engine) + " after its grace");
  effect_once(action, query, engine);
  has_its_turn(action, query);
  within_budget(action, query);
  keeps_place(action, query, engine);
  spares_cold(action, query, engine);
}

void InvariantMonitor::effect_once(const SendQuery& action, const Query& query, const Engine& engine) {
  const ClassSettings& k = class_of(query);
  if (k.repeat == Idempotency::idempotent) return;
  const auto first = std::find_if(query.attempts.begin(), query.attempts.end(),
                                  [](const Attempt& a) { return a.may_have_run(); });
  if (first == query.attempts.end()) return;
  const std::string text = query_text(action.query) + ", which may have run, is sent again";
  if (k.repeat == Idempotency::non_idempotent) {
    violation(Invariant::effect_once, text + ", and is unsafe");
    return;
  }
  if (now_ > first->sent + k.idempotency_window)
    violation(Invariant::effect_once, text + " after engines forgot its key");
  const EngineEntry &then = engines_[first->engine].entry, &next = engine.entry;
  const bool same =
      k.idempotency_scope == IdempotencyScope::all ||
      (then.zone == next.zone && (k.idempotency_scope == IdempotencyScope::zone || then.cell == next.cell));
  if (!same) violation(Invariant::effect_once, text + " where its key is not known");
}

void InvariantMonitor::has_its_turn(const SendQuery& action, const Query& query) {
  if (query.key == 0) return;
  for (const QueryId other : lines_[query.key]) {
    if (other == action.query) break;
    violation(Invariant::order, query_text(action.query) + " overtakes " + query_text(other) + " of its key");
  }
  const auto rest = rests_.find(query.key);
  if (rest != rests_.end() && rest->second.of != action.query && now_ < rest->second.until)
    violation(Invariant::order, query_text(action.query) + " is sent while its key rests, since " +
                                    query_text(rest->second.of) + " may still run");
}

void InvariantMonitor::forget_before_window() {
  const TimePoint from = now_ - s_->module.retry_budget->window;
  while (!taken_.empty() && taken_.front() < from) taken_.pop_front();
  while (!further_.empty() && further_.front() < from) further_.pop_front();
}

void InvariantMonitor::within_budget(const SendQuery& action, const Query& query) {
  if (!s_->module.retry_budget) return;
  const RetryBudgetSettings& budget = *s_->module.retry_budget;
  forget_before_window();
  if (query.attempts.empty()) return;
  further_.push_back(now_);
  const double allowed = budget.floor + budget.share * static_cast<double>(taken_.size());
  if (static_cast<double>(further_.size()) > allowed + 1e-9)
    violation(Invariant::budget, query_text(action.query) + " is further attempt number " +
                                     std::to_string(further_.size()) + " in its window");
}

void InvariantMonitor::keeps_place(const SendQuery& action, const Query& query, const Engine& engine) {
  const ClassSettings& k = class_of(query);
  if (among(k.allowed_zones, engine.entry.zone) && among(k.allowed_kinds, engine.entry.kind)) return;
  violation(Invariant::placement, query_text(action.query) + " goes to engine " +
                                      std::to_string(engine.entry.engine) + ", where its class may not go");
}

// The work told, of this manager alone: what all send together is seen only by who sees them all.
void InvariantMonitor::spares_cold(const SendQuery& action, const Query& query, Engine& engine) {
  const Settings& m = s_->module;
  auto& sends = engine.cold_sends;
  if (now_ >= engine.warm_at) return sends.clear();
  if (m.overload_multiple <= 0 || !query.cost) return;
  while (!sends.empty() && sends.front().first < now_ - m.overload_window) sends.pop_front();
  sends.emplace_back(now_, *query.cost);
  Duration work{};
  for (const auto& [at, cost] : sends) work += cost;
  const bool known = engine.entry.kind < m.kinds.size();
  const double cores = known ? m.kinds[engine.entry.kind].cores : 1.0;
  const double most = m.overload_multiple * m.slow_start_capacity_share * cores *
                      static_cast<double>(m.overload_window.count());
  if (static_cast<double>(work.count()) > most)
    violation(Invariant::cold_engine, query_text(action.query) + " is more than engine " +
                                          std::to_string(engine.entry.engine) + " can take, cold as it is");
}

void InvariantMonitor::saw(const CancelOnEngine& action) {
  const auto found = channels_.find(action.channel);
  if (found == channels_.end() || !found->second.carries) {
    violation(Invariant::own_cancel,
              "a cancel goes to link " + std::to_string(action.channel) + ", which carries nothing");
    return;
  }
  Channel& channel = found->second;
  channel.cancelled = true;
  // Of what is cancelled, somebody must have wanted it so: its client, its time, or the module's cut.
  if (!find(channel.query)) violation(Invariant::own_cancel, "a cancel strikes a query that is not known");
}

void InvariantMonitor::saw(const CloseChannel& action) {
  const auto found = channels_.find(action.channel);
  if (found == channels_.end()) return;
  Channel& channel = found->second;
  if (channel.carries) ended(channel, true);
  if (channel.use == ChannelUse::query) --engines_[channel.engine].channels;
  channels_.erase(found);
}

void InvariantMonitor::saw(const Deliver& action) {
  const auto found = channels_.find(action.channel);
  if (found == channels_.end()) {
    violation(Invariant::own_rows, "rows of a closed link are delivered");
    return;
  }
  Channel& channel = found->second;
  Query* query = find(channel.query);
  const std::string text = query_text(channel.query);
  if (query == nullptr || query->answered) {
    violation(Invariant::nothing_after, text + " is over, and rows of it are delivered");
    return;
  }
  if (query->session != action.session)
    violation(Invariant::own_rows, text + ": its rows go to another's session");
  if (query->delivered > 0 && query->delivered_of != channel.attempt)
    violation(Invariant::own_rows, text + ": rows of two attempts are delivered");
  if (action.bytes != channel.kept)
    violation(Invariant::whole_answer, text + ": not all that is kept is delivered");
  query->delivered += action.bytes;
  query->delivered_of = channel.attempt;
  channel.kept = 0;
}

void InvariantMonitor::saw(const Discard& action) {
  if (const auto found = channels_.find(action.channel); found != channels_.end()) found->second.kept = 0;
}

void InvariantMonitor::saw(const Answer& action) {
  Query* query = find(action.query);
  if (query == nullptr || query->answered) {
    violation(Invariant::one_answer, query_text(action.query) + " is answered again");
    return;
  }
  honest(action, *query);
  query->answered = true;
  deadlines_.erase({query->arrived + query->client_timeout, action.query});
  asking_.erase(query->session);
  forget_if_done(action.query);
}

void InvariantMonitor::honest(const Answer& action, const Query& query) {
  const std::string text = query_text(action.query);
  if (action.session != query.session)
    violation(Invariant::one_answer, text + ": another's session is answered");
  if (now_ > query.arrived + query.client_timeout)
    violation(Invariant::in_time, text + " is answered after its client's patience");
  const Duration longest = s_->module.max_retry_after;
  if (action.retry_after > longest || action.retry_after < Duration{})
    violation(Invariant::advice, text + ": the advice is longer than the longest allowed");
  if (action.kind == AnswerKind::cancelled && !query.let_go)
    violation(Invariant::honest_answer, text + " is called cancelled, and its client did not ask for that");
  if (action.kind == AnswerKind::served) {
    const bool whole = std::any_of(query.attempts.begin(), query.attempts.end(), [&](const Attempt& a) {
      return a.complete && query.delivered == a.bytes &&
             (a.bytes == 0 || query.delivered_of == static_cast<std::size_t>(&a - query.attempts.data()));
    });
    if (!whole) violation(Invariant::whole_answer, text + " is called served, and its answer was not whole");
  }
  if (action.kind != AnswerKind::rejected && action.retry_safety != RetrySafety::safe) return;
  const ClassSettings& k = class_of(query);
  if (k.repeat == Idempotency::idempotent ||
      (k.repeat == Idempotency::idempotent_with_key && k.idempotency_scope == IdempotencyScope::all))
    return;
  const bool ran = std::any_of(query.attempts.begin(), query.attempts.end(),
                               [](const Attempt& a) { return a.may_have_run(); });
  if (ran) violation(Invariant::honest_answer, text + " is refused as harmless to repeat, and may have run");
}

void InvariantMonitor::forget_if_done(QueryId id) {
  const auto found = queries_.find(id);
  if (found == queries_.end() || !found->second.answered || found->second.any_out()) return;
  if (found->second.key != 0) {
    const auto line = lines_.find(found->second.key);
    std::erase(line->second, id);
    if (line->second.empty()) lines_.erase(line);
  }
  queries_.erase(found);
}

bool InvariantMonitor::rest_ends_while_out(TimePoint from, TimePoint to) const {
  for (const auto& [key, rest] : rests_) {
    const auto line = lines_.find(key);
    if (rest.until <= from || rest.until > to || line == lines_.end()) continue;
    for (const QueryId id : line->second)
      if (const auto query = queries_.find(id); query != queries_.end() && query->second.any_out())
        return true;
  }
  return false;
}

// ---- State ----

void InvariantMonitor::visit(StateVisitor& v) {
  const StateWalk w(v, now_);
  w.table(queries_, [&](QueryId id, Query& q) {
    w.name(Name::query, id);
    w.name(Name::session, q.session);
    w.wholes(q.class_index, q.key, q.answered, q.let_go, q.delivered, q.delivered_of);
    w.until(q.arrived + q.client_timeout);
    const bool dated =
        class_of(q).repeat == Idempotency::idempotent_with_key;  // nothing else hangs on when it was sent
    w.list(q.attempts, [&](Attempt& a) {
      w.name(Name::engine, a.engine);
      w.wholes(a.handed, a.out, a.turned_away, a.bytes, a.complete);
      if (dated) w.since(a.sent);
    });
  });
  w.table(channels_, [&](ChannelId id, Channel& l) {
    w.name(Name::channel, id);
    w.wholes(l.up, l.carries, l.cancelled, l.unclean, l.kept);
    if (l.carries || l.kept > 0) w.name(Name::query, l.query), w.wholes(l.attempt);
  });
  w.table(engines_, [&](EngineId id, Engine& e) {
    w.name(Name::engine, id);
    w.wholes(e.ready, e.channels);
    if (!e.ready) w.since(e.not_ready_since);
    w.until(e.warm_at);
    if (e.warm_at > now_) w.list(e.cold_sends, [&](auto& one) { w.since(one.first); });
  });
  w.table(rests_, [&](std::uint64_t key, Rest& rest) {
    w.wholes(key);
    w.until(rest.until);
    if (rest.until > now_) w.name(Name::query, rest.of);
  });
  w.list(taken_, [&](TimePoint at) { w.counted(at); });
  w.list(further_, [&](TimePoint at) { w.counted(at); });
}

}  // namespace paddlestand::core

#include "promises.hpp"

#include <algorithm>
#include <cmath>

#include "walk.hpp"

namespace paddlestand::core {
namespace {

struct Worded {
  std::string_view name, sentence;
};
constexpr std::array<Worded, static_cast<std::size_t>(Promise::count)> words{{
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

std::string_view name_of(Promise promise) { return words[static_cast<std::size_t>(promise)].name; }
std::string_view sentence_of(Promise promise) { return words[static_cast<std::size_t>(promise)].sentence; }

bool Promises::Query::any_out() const {
  return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.out; });
}

Promises::Promises(const CoreSettings& settings) : s_(std::make_shared<const CoreSettings>(settings)) {}

void Promises::told(TimePoint now, const CoreEvent& event) {
  now_ = now;
  std::visit([this](const auto& one) { on(one); }, event);
}

void Promises::did(TimePoint now, const Effect& effect) {
  now_ = now;
  std::visit([this](const auto& one) { saw(one); }, effect);
}

void Promises::breach(Promise promise, std::string what) {
  ++breach_count_;
  if (breaches_.size() < most_breaches) breaches_.push_back({promise, std::move(what)});
}

const ClassSettings& Promises::class_of(const Query& query) const {
  return s_->module.classes.at(query.class_index);
}

Promises::Query* Promises::find(QueryId id) {
  const auto found = queries_.find(id);
  return found == queries_.end() ? nullptr : &found->second;
}

// ---- What is told ----

void Promises::on(const SessionClosed& event) {
  const auto found = asking_.find(event.session);
  if (found == asking_.end()) return;
  if (Query* query = find(found->second)) query->let_go = true;
}

void Promises::on(const CancelAsked& event) {
  const auto found = asking_.find(event.session);
  if (found == asking_.end()) return;
  if (Query* query = find(found->second)) query->let_go = true;
}

void Promises::on(const QueryArrived& event) {
  Query query;
  query.session = event.session;
  query.class_index = event.class_index;
  query.arrived = now_;
  query.patience = event.patience;
  query.cost = event.told_cost;
  const bool known = event.class_index < s_->module.classes.size();
  if (known && s_->module.classes[event.class_index].in_turn) query.key = event.order_key;
  if (query.key != 0) lines_[query.key].push_back(event.query);
  asking_[event.session] = event.query;
  deadlines_.emplace(now_ + event.patience, event.query);
  queries_[event.query] = std::move(query);
  if (!s_->module.attempt_budget) return;
  forget_before_window();  // here too: where nothing can be sent, arrivals are all that comes
  taken_.push_back(now_);
}

void Promises::on(const LinkUp& event) {
  if (const auto found = links_.find(event.link); found != links_.end()) found->second.up = true;
}

void Promises::handed(const Link& link) {
  if (!link.carries) return;
  if (Query* query = find(link.query)) query->attempts[link.attempt].handed = true;
}

void Promises::on(const QuerySent& event) {
  if (const auto found = links_.find(event.link); found != links_.end()) handed(found->second);
}

void Promises::on(const AnswerPart& event) {
  const auto found = links_.find(event.link);
  if (found == links_.end() || !found->second.carries) return;
  Link& link = found->second;
  handed(link);
  link.kept += event.bytes;
  if (Query* query = find(link.query)) query->attempts[link.attempt].bytes += event.bytes;
}

void Promises::on(const AnswerEnd& event) {
  const auto found = links_.find(event.link);
  if (found == links_.end() || !found->second.carries) return;
  Link& link = found->second;
  handed(link);
  link.kept += event.bytes;
  link.unclean |= !event.reusable;
  if (Query* query = find(link.query)) {
    Attempt& attempt = query->attempts[link.attempt];
    attempt.bytes += event.bytes;
    attempt.turned_away = event.ending == Ending::full || event.ending == Ending::expired;
    attempt.complete = event.ending == Ending::complete;
  }
  ended(link, event.ending == Ending::cancelled);
}

void Promises::on(const LinkLost& event) {
  const auto found = links_.find(event.link);
  if (found == links_.end()) return;
  found->second.up = false;
  // It says nothing about what the engine does with the query: it may go on with it.
  if (found->second.carries) ended(found->second, true);
}

// The attempt on this link has an outcome. Where it may still run, its key rests.
void Promises::ended(Link& link, bool may_still_run) {
  link.carries = false;
  Query* query = find(link.query);
  if (query == nullptr) return;
  Attempt& attempt = query->attempts[link.attempt];
  attempt.out = false;
  if (may_still_run && attempt.may_have_run() && query->key != 0)
    rests_[query->key] = {now_ + s_->module.order_settle, link.query};
  forget_if_done(link.query);
}

void Promises::not_ready(Engine& engine) {
  if (!engine.ready) return;
  engine.ready = false;
  engine.not_ready_since = now_;
}

void Promises::on(const FleetTold& event) {
  if (event.scope == FleetScope::failed) return;
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
    if (restarted && entry.started.count() > 0) engine.warm_at = entry.started + s_->module.cold_time;
  }
  if (event.scope != FleetScope::delta) {
    for (auto& [id, engine] : engines_) {
      if (named.contains(id)) continue;
      not_ready(engine);
      engine.entry.state = EngineState::gone;
    }
  }
  forget_gone();
}

// Engines are ever new. One that is gone is remembered only as long as something refers to it.
void Promises::forget_gone() {
  const auto gone = [](const auto& engine) {
    return !engine.second.ready && engine.second.links == 0 && engine.second.entry.state == EngineState::gone;
  };
  if (std::none_of(engines_.begin(), engines_.end(), gone)) return;
  std::set<EngineId> tried;
  for (const auto& [id, query] : queries_)
    for (const Attempt& attempt : query.attempts) tried.insert(attempt.engine);
  std::erase_if(engines_, [&](const auto& engine) { return gone(engine) && !tried.contains(engine.first); });
}

void Promises::on(const TimeCame&) {
  std::erase_if(rests_, [this](const auto& rest) { return rest.second.until < now_; });
  while (!deadlines_.empty() && deadlines_.begin()->first < now_) {
    const QueryId id = deadlines_.begin()->second;
    deadlines_.erase(deadlines_.begin());
    if (const Query* query = find(id); query != nullptr && !query->answered)
      breach(Promise::in_time, query_text(id) + " has no answer, and its client waits no longer");
  }
}

// ---- What is done ----

void Promises::saw(const OpenLink& effect) {
  Link link;
  link.engine = effect.engine;
  link.use = effect.use;
  links_[effect.link] = link;
  if (effect.use == LinkUse::query && ++engines_[effect.engine].links > s_->links_per_engine)
    breach(Promise::bounds, "engine " + std::to_string(effect.engine) + " has more links than allowed");
}

void Promises::saw(const SendQuery& effect) {
  const auto place = links_.find(effect.link);
  Query* query = find(effect.query);
  if (place == links_.end()) {
    breach(Promise::clean_link, query_text(effect.query) + " is sent on a link that is closed");
    return;
  }
  if (query == nullptr) {
    breach(Promise::nothing_after, query_text(effect.query) + " is sent after it was over");
    return;
  }
  Link& link = place->second;
  send_is_allowed(effect, *query, link);
  Attempt attempt;
  attempt.engine = link.engine;
  attempt.link = effect.link;
  attempt.sent = now_;
  link.query = effect.query;
  link.attempt = query->attempts.size();
  link.carries = true;
  link.kept = 0;
  query->attempts.push_back(attempt);
}

void Promises::send_is_allowed(const SendQuery& effect, const Query& query, const Link& link) {
  const std::string text = query_text(effect.query);
  if (!link.up || link.use != LinkUse::query)
    breach(Promise::clean_link, text + " is sent on a link that is not up");
  if (link.carries) breach(Promise::clean_link, text + " is sent on a link that carries another");
  if (link.cancelled) breach(Promise::clean_link, text + " is sent on a link that a late cancel can strike");
  if (link.unclean) breach(Promise::clean_link, text + " is sent on a link that the one before left unclean");
  if (query.answered) breach(Promise::nothing_after, text + " is sent after its final answer");
  if (query.delivered > 0)
    breach(Promise::own_rows, text + " is sent again after rows of an earlier attempt went to its client");
  if (query.any_out()) breach(Promise::one_attempt, text + " is sent while an earlier attempt is out");
  if (query.attempts.size() >= std::max(s_->module.most_attempts, 1U))
    breach(Promise::one_attempt, text + " is sent more often than allowed");
  Engine& engine = engines_[link.engine];
  const Duration grace = s_->module.drain_grace;
  if (!engine.ready && now_ > engine.not_ready_since + grace)
    breach(Promise::drain, text + " goes to engine " + std::to_string(link.engine) + " after its grace");
  effect_once(effect, query, engine);
  has_its_turn(effect, query);
  within_budget(effect, query);
  keeps_place(effect, query, engine);
  spares_cold(effect, query, engine);
}

void Promises::effect_once(const SendQuery& effect, const Query& query, const Engine& engine) {
  const ClassSettings& k = class_of(query);
  if (k.repeat == Repeat::safe) return;
  const auto first = std::find_if(query.attempts.begin(), query.attempts.end(),
                                  [](const Attempt& a) { return a.may_have_run(); });
  if (first == query.attempts.end()) return;
  const std::string text = query_text(effect.query) + ", which may have run, is sent again";
  if (k.repeat == Repeat::unsafe) {
    breach(Promise::effect_once, text + ", and is unsafe");
    return;
  }
  if (now_ > first->sent + k.key_window) breach(Promise::effect_once, text + " after engines forgot its key");
  const EngineEntry &then = engines_[first->engine].entry, &next = engine.entry;
  const bool same = k.key_scope == KeyScope::all ||
                    (then.zone == next.zone && (k.key_scope == KeyScope::zone || then.cell == next.cell));
  if (!same) breach(Promise::effect_once, text + " where its key is not known");
}

void Promises::has_its_turn(const SendQuery& effect, const Query& query) {
  if (query.key == 0) return;
  for (const QueryId other : lines_[query.key]) {
    if (other == effect.query) break;
    breach(Promise::order, query_text(effect.query) + " overtakes " + query_text(other) + " of its key");
  }
  const auto rest = rests_.find(query.key);
  if (rest != rests_.end() && rest->second.of != effect.query && now_ < rest->second.until)
    breach(Promise::order, query_text(effect.query) + " is sent while its key rests, since " +
                               query_text(rest->second.of) + " may still run");
}

void Promises::forget_before_window() {
  const TimePoint from = now_ - s_->module.attempt_budget->window;
  while (!taken_.empty() && taken_.front() < from) taken_.pop_front();
  while (!further_.empty() && further_.front() < from) further_.pop_front();
}

void Promises::within_budget(const SendQuery& effect, const Query& query) {
  if (!s_->module.attempt_budget) return;
  const AttemptBudget& budget = *s_->module.attempt_budget;
  forget_before_window();
  if (query.attempts.empty()) return;
  further_.push_back(now_);
  const double allowed = budget.floor + budget.share * static_cast<double>(taken_.size());
  if (static_cast<double>(further_.size()) > allowed + 1e-9)
    breach(Promise::budget, query_text(effect.query) + " is further attempt number " +
                                std::to_string(further_.size()) + " in its window");
}

void Promises::keeps_place(const SendQuery& effect, const Query& query, const Engine& engine) {
  const ClassSettings& k = class_of(query);
  if (among(k.allowed_zones, engine.entry.zone) && among(k.allowed_kinds, engine.entry.kind)) return;
  breach(Promise::placement, query_text(effect.query) + " goes to engine " +
                                 std::to_string(engine.entry.engine) + ", where its class may not go");
}

// The work told, of this manager alone: what all send together is seen only by who sees them all.
void Promises::spares_cold(const SendQuery& effect, const Query& query, Engine& engine) {
  const Settings& m = s_->module;
  auto& sends = engine.cold_sends;
  if (now_ >= engine.warm_at) return sends.clear();
  if (m.fall_multiple <= 0 || !query.cost) return;
  while (!sends.empty() && sends.front().first < now_ - m.fall_window) sends.pop_front();
  sends.emplace_back(now_, *query.cost);
  Duration work{};
  for (const auto& [at, cost] : sends) work += cost;
  const bool known = engine.entry.kind < m.kinds.size();
  const double cores = known ? m.kinds[engine.entry.kind].cores : 1.0;
  const double most = m.fall_multiple * m.cold_share * cores * static_cast<double>(m.fall_window.count());
  if (static_cast<double>(work.count()) > most)
    breach(Promise::cold_engine, query_text(effect.query) + " is more than engine " +
                                     std::to_string(engine.entry.engine) + " can take, cold as it is");
}

void Promises::saw(const CancelOnEngine& effect) {
  const auto found = links_.find(effect.link);
  if (found == links_.end() || !found->second.carries) {
    breach(Promise::own_cancel,
           "a cancel goes to link " + std::to_string(effect.link) + ", which carries nothing");
    return;
  }
  Link& link = found->second;
  link.cancelled = true;
  // Of what is cancelled, somebody must have wanted it so: its client, its time, or the module's cut.
  if (!find(link.query)) breach(Promise::own_cancel, "a cancel strikes a query that is not known");
}

void Promises::saw(const CloseLink& effect) {
  const auto found = links_.find(effect.link);
  if (found == links_.end()) return;
  Link& link = found->second;
  if (link.carries) ended(link, true);
  if (link.use == LinkUse::query) --engines_[link.engine].links;
  links_.erase(found);
}

void Promises::saw(const Deliver& effect) {
  const auto found = links_.find(effect.link);
  if (found == links_.end()) {
    breach(Promise::own_rows, "rows of a closed link are delivered");
    return;
  }
  Link& link = found->second;
  Query* query = find(link.query);
  const std::string text = query_text(link.query);
  if (query == nullptr || query->answered) {
    breach(Promise::nothing_after, text + " is over, and rows of it are delivered");
    return;
  }
  if (query->session != effect.session)
    breach(Promise::own_rows, text + ": its rows go to another's session");
  if (query->delivered > 0 && query->delivered_of != link.attempt)
    breach(Promise::own_rows, text + ": rows of two attempts are delivered");
  if (effect.bytes != link.kept) breach(Promise::whole_answer, text + ": not all that is kept is delivered");
  query->delivered += effect.bytes;
  query->delivered_of = link.attempt;
  link.kept = 0;
}

void Promises::saw(const Discard& effect) {
  if (const auto found = links_.find(effect.link); found != links_.end()) found->second.kept = 0;
}

void Promises::saw(const Answer& effect) {
  Query* query = find(effect.query);
  if (query == nullptr || query->answered) {
    breach(Promise::one_answer, query_text(effect.query) + " is answered again");
    return;
  }
  honest(effect, *query);
  query->answered = true;
  deadlines_.erase({query->arrived + query->patience, effect.query});
  asking_.erase(query->session);
  forget_if_done(effect.query);
}

void Promises::honest(const Answer& effect, const Query& query) {
  const std::string text = query_text(effect.query);
  if (effect.session != query.session) breach(Promise::one_answer, text + ": another's session is answered");
  if (now_ > query.arrived + query.patience)
    breach(Promise::in_time, text + " is answered after its client's patience");
  const Duration longest = s_->module.longest_retry_advice;
  if (effect.retry_after > longest || effect.retry_after < Duration{})
    breach(Promise::advice, text + ": the advice is longer than the longest allowed");
  if (effect.kind == AnswerKind::cancelled && !query.let_go)
    breach(Promise::honest_answer, text + " is called cancelled, and its client did not ask for that");
  if (effect.kind == AnswerKind::served) {
    const bool whole = std::any_of(query.attempts.begin(), query.attempts.end(), [&](const Attempt& a) {
      return a.complete && query.delivered == a.bytes &&
             (a.bytes == 0 || query.delivered_of == static_cast<std::size_t>(&a - query.attempts.data()));
    });
    if (!whole) breach(Promise::whole_answer, text + " is called served, and its answer was not whole");
  }
  if (effect.kind != AnswerKind::refused && effect.repeatable != Repeatable::harmless) return;
  const ClassSettings& k = class_of(query);
  if (k.repeat == Repeat::safe || (k.repeat == Repeat::keyed && k.key_scope == KeyScope::all)) return;
  const bool ran = std::any_of(query.attempts.begin(), query.attempts.end(),
                               [](const Attempt& a) { return a.may_have_run(); });
  if (ran) breach(Promise::honest_answer, text + " is refused as harmless to repeat, and may have run");
}

void Promises::forget_if_done(QueryId id) {
  const auto found = queries_.find(id);
  if (found == queries_.end() || !found->second.answered || found->second.any_out()) return;
  if (found->second.key != 0) {
    const auto line = lines_.find(found->second.key);
    std::erase(line->second, id);
    if (line->second.empty()) lines_.erase(line);
  }
  queries_.erase(found);
}

bool Promises::rest_ends_while_out(TimePoint from, TimePoint to) const {
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

void Promises::visit(StateVisitor& v) {
  const Walk w(v, now_);
  w.table(queries_, [&](QueryId id, Query& q) {
    w.name(Name::query, id);
    w.name(Name::session, q.session);
    w.wholes(q.class_index, q.key, q.answered, q.let_go, q.delivered, q.delivered_of);
    w.until(q.arrived + q.patience);
    const bool dated = class_of(q).repeat == Repeat::keyed;  // nothing else hangs on when it was sent
    w.list(q.attempts, [&](Attempt& a) {
      w.name(Name::engine, a.engine);
      w.wholes(a.handed, a.out, a.turned_away, a.bytes, a.complete);
      if (dated) w.since(a.sent);
    });
  });
  w.table(links_, [&](LinkId id, Link& l) {
    w.name(Name::link, id);
    w.wholes(l.up, l.carries, l.cancelled, l.unclean, l.kept);
    if (l.carries || l.kept > 0) w.name(Name::query, l.query), w.wholes(l.attempt);
  });
  w.table(engines_, [&](EngineId id, Engine& e) {
    w.name(Name::engine, id);
    w.wholes(e.ready, e.links);
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

// The checks of each send and of each final answer.
#include <algorithm>

#include "invariant_monitor.hpp"

namespace paddlestand::core {

using monitored::Attempt;
using monitored::Channel;
using monitored::Engine;
using monitored::Query;

namespace {

/// Of a sum of shares: the budget is compared with whole numbers.
constexpr double rounding_tolerance = 1e-9;

template <typename List>
bool is_allowed(const std::optional<List>& allowed, std::uint32_t value) {
  return !allowed || std::find(allowed->begin(), allowed->end(), value) != allowed->end();
}

std::string query_text(QueryId id) { return "query " + std::to_string(id); }

bool knows_key_of(IdempotencyScope scope, const EngineEntry& earlier, const EngineEntry& next) {
  switch (scope) {
    case IdempotencyScope::all: return true;
    case IdempotencyScope::zone: return earlier.zone == next.zone;
    default: return earlier.zone == next.zone && earlier.cell == next.cell;
  }
}

}  // namespace

// ---- Sends ----

void InvariantMonitor::check_send(const SendQuery& action, const Query& query, const Channel& channel) {
  check_channel_is_clean(action, channel);
  check_attempts(action, query);
  Engine& engine = engines_[channel.engine];
  check_drain(action, engine, channel.engine);
  check_effect_once(action, query, engine);
  check_order(action, query);
  check_retry_budget(action, query);
  check_placement(action, query, engine);
  check_slow_start(action, query, engine);
}

void InvariantMonitor::check_channel_is_clean(const SendQuery& action, const Channel& channel) {
  const std::string text = query_text(action.query);
  if (!channel.up || channel.use != ChannelUse::query)
    violation(Invariant::clean_link, text + " is sent on a channel that is not open");
  if (channel.carries_query)
    violation(Invariant::clean_link, text + " is sent on a channel that carries another query");
  if (channel.cancelled)
    violation(Invariant::clean_link, text + " is sent on a channel that a late cancel can strike");
  if (channel.not_reusable)
    violation(Invariant::clean_link, text + " is sent on a channel that is not reusable");
}

void InvariantMonitor::check_attempts(const SendQuery& action, const Query& query) {
  const std::string text = query_text(action.query);
  if (query.answered) violation(Invariant::nothing_after, text + " is sent after its final answer");
  if (query.delivered_bytes > 0) {
    violation(Invariant::own_rows,
              text + " is sent again after rows of an earlier attempt went to its client");
  }
  if (query.has_active_attempt())
    violation(Invariant::one_attempt, text + " is sent while an earlier attempt is active");
  if (query.attempts.size() >= std::max(settings_->module.max_attempts, 1U))
    violation(Invariant::one_attempt, text + " is sent more often than allowed");
}

void InvariantMonitor::check_drain(const SendQuery& action, const Engine& engine, EngineId id) {
  if (engine.ready || now_ <= engine.not_ready_since + settings_->module.drain_grace) return;
  violation(Invariant::drain,
            query_text(action.query) + " goes to engine " + std::to_string(id) + " after its grace");
}

void InvariantMonitor::check_effect_once(const SendQuery& action, const Query& query, const Engine& engine) {
  const ClassSettings& class_settings = class_of(query);
  if (class_settings.idempotency == Idempotency::idempotent) return;
  const Attempt* first = query.first_that_may_have_run();
  if (first == nullptr) return;
  const std::string text = query_text(action.query) + ", which may have run, is sent again";
  if (class_settings.idempotency == Idempotency::non_idempotent) {
    violation(Invariant::effect_once, text + ", and is unsafe");
    return;
  }
  if (now_ > first->sent_at + class_settings.idempotency_window)
    violation(Invariant::effect_once, text + " after its idempotency window");
  const EngineEntry& earlier = engines_[first->engine].entry;
  if (!knows_key_of(class_settings.idempotency_scope, earlier, engine.entry))
    violation(Invariant::effect_once, text + " where its key is not known");
}

void InvariantMonitor::check_order(const SendQuery& action, const Query& query) {
  if (query.key == 0) return;
  for (const QueryId other : key_order_.queue(query.key)) {
    if (other == action.query) break;
    violation(Invariant::order, query_text(action.query) + " overtakes " + query_text(other) + " of its key");
  }
  const auto settling = key_order_.settling().find(query.key);
  if (settling == key_order_.settling().end()) return;
  const auto& [until, uncertain_query] = settling->second;
  if (uncertain_query != action.query && now_ < until) {
    violation(Invariant::order, query_text(action.query) + " is sent while its key settles, since " +
                                    query_text(uncertain_query) + " may still run");
  }
}

void InvariantMonitor::check_retry_budget(const SendQuery& action, const Query& query) {
  if (!settings_->module.retry_budget) return;
  const RetryBudgetSettings& budget = *settings_->module.retry_budget;
  expire_retry_window();
  if (query.attempts.empty()) return;
  retry_window_.add_retry(now_);
  const std::size_t retries = retry_window_.retries().size();
  const double allowed = budget.floor + budget.share * static_cast<double>(retry_window_.arrivals().size());
  if (static_cast<double>(retries) > allowed + rounding_tolerance) {
    violation(Invariant::budget,
              query_text(action.query) + " is retry number " + std::to_string(retries) + " in its window");
  }
}

void InvariantMonitor::check_placement(const SendQuery& action, const Query& query, const Engine& engine) {
  const ClassSettings& class_settings = class_of(query);
  if (is_allowed(class_settings.allowed_zones, engine.entry.zone) &&
      is_allowed(class_settings.allowed_kinds, engine.entry.kind))
    return;
  violation(Invariant::placement, query_text(action.query) + " goes to engine " +
                                      std::to_string(engine.entry.engine) + ", where its class may not go");
}

// The estimated work of this manager alone: only who sees all managers sees what they send together.
void InvariantMonitor::check_slow_start(const SendQuery& action, const Query& query, Engine& engine) {
  const Settings& module = settings_->module;
  auto& sends = engine.sends_in_slow_start;
  if (now_ >= engine.slow_start_ends) {
    sends.clear();
    return;
  }
  if (module.overload_multiple <= 0 || !query.cost) return;
  while (!sends.empty() && sends.front().first < now_ - module.overload_window) sends.pop_front();
  sends.emplace_back(now_, *query.cost);
  Duration work{};
  for (const auto& [at, cost] : sends) work += cost;
  const bool is_known_kind = engine.entry.kind < module.kinds.size();
  const double cores = is_known_kind ? module.kinds[engine.entry.kind].cores : 1.0;
  const double max_work = module.overload_multiple * module.slow_start_capacity_share * cores *
                          static_cast<double>(module.overload_window.count());
  if (static_cast<double>(work.count()) > max_work) {
    violation(Invariant::cold_engine, query_text(action.query) + " is more work than engine " +
                                          std::to_string(engine.entry.engine) + " can run while it warms up");
  }
}

// ---- Answers ----

void InvariantMonitor::check_answer(const Answer& action, const Query& query) {
  const std::string text = query_text(action.query);
  if (action.session != query.session)
    violation(Invariant::one_answer, text + ": another's session is answered");
  if (now_ > query.arrived + query.client_timeout)
    violation(Invariant::in_time, text + " is answered after its client timeout");
  if (action.retry_after > settings_->module.max_retry_after || action.retry_after < Duration{})
    violation(Invariant::advice, text + ": its Retry-After is longer than the longest allowed");
  if (action.kind == AnswerKind::cancelled && !query.abandoned)
    violation(Invariant::honest_answer, text + " is called cancelled, and its client did not ask for that");
  if (action.kind == AnswerKind::served) check_served(action, query);
  if (action.kind == AnswerKind::rejected || action.retry_safety == RetrySafety::safe)
    check_retry_safety(action, query);
}

void InvariantMonitor::check_served(const Answer& action, const Query& query) {
  for (std::size_t i = 0; i < query.attempts.size(); ++i) {
    const Attempt& attempt = query.attempts[i];
    const bool is_delivered = attempt.answer_bytes == 0 || query.delivered_attempt == i;
    if (attempt.complete && is_delivered && query.delivered_bytes == attempt.answer_bytes) return;
  }
  violation(Invariant::whole_answer,
            query_text(action.query) + " is called served, and its answer was not complete");
}

void InvariantMonitor::check_retry_safety(const Answer& action, const Query& query) {
  const ClassSettings& class_settings = class_of(query);
  const bool knows_key_everywhere = class_settings.idempotency == Idempotency::idempotent_with_key &&
                                    class_settings.idempotency_scope == IdempotencyScope::all;
  if (class_settings.idempotency == Idempotency::idempotent || knows_key_everywhere) return;
  if (query.first_that_may_have_run() != nullptr) {
    violation(Invariant::honest_answer,
              query_text(action.query) + " is rejected as safe to retry, and may have run");
  }
}

}  // namespace paddlestand::core

// The checks of sends and final answers.
#include <algorithm>

#include "invariant_monitor.hpp"

namespace paddlestand::core {

using monitored::Attempt;
using monitored::Channel;
using monitored::Engine;
using monitored::Query;

namespace {

/// Tolerance for the rounding error of the budget, a sum of shares, which is compared with a whole number.
constexpr double rounding_tolerance = 1e-9;

template <typename List>
bool is_allowed(const std::optional<List>& allowed, std::uint32_t value) {
  return !allowed || std::find(allowed->begin(), allowed->end(), value) != allowed->end();
}

std::string query_text(QueryId id) { return "query " + std::to_string(id); }

bool shares_idempotency_keys(IdempotencyScope scope, const EngineEntry& earlier, const EngineEntry& next) {
  switch (scope) {
    case IdempotencyScope::all: return true;
    case IdempotencyScope::zone: return earlier.zone == next.zone;
    default: return earlier.zone == next.zone && earlier.cell == next.cell;
  }
}

}  // namespace

// ---- Sends ----

void InvariantMonitor::check_send(const SendQuery& action, const Query& query, const Channel& channel) {
  check_channel_reuse(action, channel);
  check_attempts(action, query);
  Engine& engine = engines_[channel.engine];
  check_drain(action, engine, channel.engine);
  check_idempotency(action, query, engine);
  check_key_order(action, query);
  check_retry_budget(action, query);
  check_placement(action, query, engine);
  check_slow_start(action, query, engine);
}

void InvariantMonitor::check_channel_reuse(const SendQuery& action, const Channel& channel) {
  const std::string text = query_text(action.query);
  if (!channel.up || channel.use != ChannelUse::query)
    violation(Invariant::channel_reuse, text + " is sent on a channel that is not open");
  if (channel.carries_query)
    violation(Invariant::channel_reuse, text + " is sent on a channel that carries another query");
  if (channel.cancelled)
    violation(Invariant::channel_reuse, text + " is sent on a channel that a late cancel can affect");
  if (channel.not_reusable)
    violation(Invariant::channel_reuse, text + " is sent on a channel that is not reusable");
}

void InvariantMonitor::check_attempts(const SendQuery& action, const Query& query) {
  const std::string text = query_text(action.query);
  if (query.answered)
    violation(Invariant::nothing_after_final_answer, text + " is sent after its final answer");
  if (query.delivered_bytes > 0) {
    violation(Invariant::row_ownership, text + " is retried after rows of an earlier attempt were delivered");
  }
  if (query.has_active_attempt())
    violation(Invariant::single_active_attempt, text + " is sent while an earlier attempt is active");
  if (query.attempts.size() >= std::max(settings_->module.max_attempts, 1U))
    violation(Invariant::single_active_attempt, text + " has more attempts than allowed");
}

void InvariantMonitor::check_drain(const SendQuery& action, const Engine& engine, EngineId id) {
  if (engine.ready || now_ <= engine.not_ready_since + settings_->module.drain_grace) return;
  violation(Invariant::drain,
            query_text(action.query) + " is sent to engine " + std::to_string(id) + " after its drain grace");
}

void InvariantMonitor::check_idempotency(const SendQuery& action, const Query& query, const Engine& engine) {
  const ClassSettings& class_settings = class_of(query);
  if (class_settings.idempotency == Idempotency::idempotent) return;
  const Attempt* first = query.first_that_may_have_run();
  if (first == nullptr) return;
  const std::string text = query_text(action.query) + ", which may have run, is retried";
  if (class_settings.idempotency == Idempotency::non_idempotent) {
    violation(Invariant::idempotency, text + " although it is not idempotent");
    return;
  }
  if (now_ > first->sent_at + class_settings.idempotency_window)
    violation(Invariant::idempotency, text + " after its idempotency window");
  const EngineEntry& earlier = engines_[first->engine].entry;
  if (!shares_idempotency_keys(class_settings.idempotency_scope, earlier, engine.entry))
    violation(Invariant::idempotency, text + " on an engine that does not know its key");
}

void InvariantMonitor::check_key_order(const SendQuery& action, const Query& query) {
  if (query.key == 0) return;
  for (const QueryId other : key_order_.queue(query.key)) {
    if (other == action.query) break;
    violation(Invariant::key_order,
              query_text(action.query) + " overtakes " + query_text(other) + " of its key");
  }
  const auto settling = key_order_.settling().find(query.key);
  if (settling == key_order_.settling().end()) return;
  const auto& [until, uncertain_query] = settling->second;
  if (uncertain_query != action.query && now_ < until) {
    violation(Invariant::key_order, query_text(action.query) + " is sent while its key settles, since " +
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
    violation(Invariant::retry_budget, query_text(action.query) + " is retry " + std::to_string(retries) +
                                           " in its window, beyond the retry budget");
  }
}

void InvariantMonitor::check_placement(const SendQuery& action, const Query& query, const Engine& engine) {
  const ClassSettings& class_settings = class_of(query);
  if (is_allowed(class_settings.allowed_zones, engine.entry.zone) &&
      is_allowed(class_settings.allowed_kinds, engine.entry.kind))
    return;
  violation(Invariant::placement, query_text(action.query) + " is sent to engine " +
                                      std::to_string(engine.entry.engine) +
                                      ", which is not allowed for its class");
}

// Counts only the estimated work that this manager sends; the sum over all managers is not known here.
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
    violation(Invariant::slow_start, query_text(action.query) + " exceeds the work that engine " +
                                         std::to_string(engine.entry.engine) +
                                         " can run during its slow start");
  }
}

// ---- Answers ----

void InvariantMonitor::check_answer(const Answer& action, const Query& query) {
  const std::string text = query_text(action.query);
  if (action.session != query.session)
    violation(Invariant::one_answer, text + " is answered on another session");
  if (now_ > query.arrived + query.client_timeout)
    violation(Invariant::answered_before_timeout, text + " is answered after its client timeout");
  if (action.retry_after > settings_->module.max_retry_after || action.retry_after < Duration{})
    violation(Invariant::retry_advice, text + " has a Retry-After outside the allowed range");
  if (action.kind == AnswerKind::cancelled && !query.abandoned) {
    violation(Invariant::accurate_answer,
              text + " is answered as cancelled, but its client did not cancel it");
  }
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
  violation(Invariant::complete_answer,
            query_text(action.query) + " is answered as served, but its answer is incomplete");
}

void InvariantMonitor::check_retry_safety(const Answer& action, const Query& query) {
  const ClassSettings& class_settings = class_of(query);
  const bool is_key_known_to_all_engines = class_settings.idempotency == Idempotency::idempotent_with_key &&
                                           class_settings.idempotency_scope == IdempotencyScope::all;
  if (class_settings.idempotency == Idempotency::idempotent || is_key_known_to_all_engines) return;
  if (query.first_that_may_have_run() != nullptr) {
    violation(Invariant::accurate_answer,
              query_text(action.query) + " is rejected as safe to retry, but may have run");
  }
}

}  // namespace paddlestand::core

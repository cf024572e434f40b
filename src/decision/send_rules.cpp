#include "decision/send_rules.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

#include "decision/units.hpp"

namespace paddlestand::decision {
namespace {

bool is_allowed(const std::optional<std::vector<std::uint32_t>>& allowed, std::uint32_t value) {
  return !allowed || std::find(allowed->begin(), allowed->end(), value) != allowed->end();
}

/// Whether the engine `target` recognizes the idempotency key of a request that ran on the engine `first`.
bool shares_idempotency_scope(IdempotencyScope scope, const EngineEntry& first, const EngineEntry& target) {
  if (scope == IdempotencyScope::all) return true;
  if (first.zone != target.zone) return false;
  return scope == IdempotencyScope::zone || first.cell == target.cell;
}

}  // namespace

bool SendRules::may_send_now(const Request& request) const {
  if (request.is_over || request.has_answer_started || request.is_in_flight()) return false;
  if (state_.now >= request.deadline - answer_margin(state_.settings)) return false;
  if (!request.attempts.empty() && request.attempts.size() >= state_.settings.max_attempts) return false;
  return has_turn(request) && is_within_retry_budget(request);
}

bool SendRules::may_send_to(const Request& request, const Engine& engine) const {
  return engine.is_ready() && is_placement_allowed(request, engine) && is_repeat_safe(request, engine) &&
         slow_start_.allows(request, engine);
}

bool SendRules::may_retry(const Request& request) const {
  if (request.has_answer_started || request.attempts.size() >= state_.settings.max_attempts) return false;
  if (admission_.is_too_late(request) || !is_within_retry_budget(request)) return false;
  return std::any_of(state_.engines.begin(), state_.engines.end(), [&](const auto& entry) {
    return is_placement_allowed(request, entry.second) && is_repeat_safe(request, entry.second);
  });
}

bool SendRules::may_reject(const Request& request) const {
  const ClassSettings& settings = state_.settings_of(request);
  if (settings.idempotency == Idempotency::idempotent) return true;
  if (settings.idempotency == Idempotency::idempotent_with_key &&
      settings.idempotency_scope == IdempotencyScope::all) {
    return true;
  }
  return std::none_of(request.attempts.begin(), request.attempts.end(),
                      [](const Attempt& attempt) { return attempt.in_flight || attempt.may_have_run; });
}

bool SendRules::has_turn(const Request& request) const {
  if (!state_.is_first_of_key(request)) return false;
  return state_.ordering_keys.is_settled(request.ordering_key, state_.now) || !request.attempts.empty();
}

bool SendRules::is_within_retry_budget(const Request& request) const {
  return request.attempts.empty() || state_.retry_budget.allows_retry(state_.now);
}

bool SendRules::is_placement_allowed(const Request& request, const Engine& engine) const {
  const ClassSettings& settings = state_.settings_of(request);
  return is_allowed(settings.allowed_zones, engine.entry.zone) &&
         is_allowed(settings.allowed_kinds, engine.entry.kind);
}

/// A request that may have run is retried only if it is idempotent, or has an idempotency key and the engine
/// still recognizes that key. Otherwise its effect could happen twice.
bool SendRules::is_repeat_safe(const Request& request, const Engine& engine) const {
  const ClassSettings& settings = state_.settings_of(request);
  if (settings.idempotency == Idempotency::idempotent) return true;
  const auto first = std::find_if(request.attempts.begin(), request.attempts.end(),
                                  [](const Attempt& attempt) { return attempt.may_have_run; });
  if (first == request.attempts.end()) return true;
  if (settings.idempotency == Idempotency::non_idempotent) return false;
  const double retry_window = to_seconds(settings.idempotency_window) -
                              to_seconds(state_.settings.max_send_delay) - 2 * answer_margin(state_.settings);
  if (state_.now > first->sent_at + retry_window) return false;
  const EngineEntry& first_entry = state_.engines.at(first->engine).entry;
  return shares_idempotency_scope(settings.idempotency_scope, first_entry, engine.entry);
}

}  // namespace paddlestand::decision

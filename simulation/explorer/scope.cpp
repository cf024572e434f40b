#include "scope.hpp"

#include <array>
#include <chrono>

#include "model_settings.hpp"

namespace paddlestand::explorer {
namespace {

using namespace std::chrono_literals;

ClassSettings class_settings(std::string name, Idempotency idempotency) {
  ClassSettings settings = model_class_settings(std::move(name));
  settings.latency_objective = 500ms;
  settings.deadline = 715ms;
  settings.idempotency = idempotency;
  settings.idempotency_scope = IdempotencyScope::zone;
  settings.idempotency_window = 550ms;
  return settings;
}

// Every duration is a multiple of the module's clock step: histories that differ only in the times of events
// converge to the same states, and timers that are due together fire in one step.
core::CoreSettings core_settings() {
  core::CoreSettings settings;
  settings.module = model_module_settings();
  settings.module.seed = 1;
  settings.module.classes = {class_settings("safe", Idempotency::idempotent),
                             class_settings("keyed", Idempotency::idempotent_with_key),
                             class_settings("unsafe", Idempotency::non_idempotent),
                             class_settings("in_turn", Idempotency::idempotent_with_key),
                             class_settings("bound", Idempotency::idempotent)};
  settings.module.classes[3].ordered_by_key = true;
  settings.module.classes[4].allowed_zones = std::vector<std::uint32_t>{0};
  settings.module.kinds = {{4, 8192}};
  settings.module.drain_grace = 30ms;  // shorter than the connect timeout
  settings.module.ordering_settle_time = 100ms;
  settings.module.slow_start_duration = 400ms;
  settings.module.overload_window = 300ms;
  settings.module.retry_budget = RetryBudgetSettings{1, 0.5, 2s};
  settings.channels_per_engine = 2;
  settings.idle_channels_per_engine = 1;
  settings.idle_channel_lifetime = 250ms;
  settings.connect_timeout = 50ms;
  settings.probe_timeout = 50ms;
  settings.cancel_grace = 100ms;
  settings.answer_buffer = 1000;
  settings.client_window = 1000;
  settings.buffers_in_total = 4000;
  return settings;
}

Scope scope_of(std::string name, std::vector<PlannedQuery> queries, std::uint32_t engines,
               std::uint32_t faults) {
  Scope scope;
  scope.name = std::move(name);
  for (const PlannedQuery& query : queries) scope.clients = std::max(scope.clients, query.client + 1);
  scope.queries = std::move(queries);
  scope.engines = engines;
  scope.faults = faults;
  scope.core = core_settings();
  return scope;
}

/// A scope with a class that is bound to one zone needs a second zone.
void assign_zones(Scope& scope) {
  for (const PlannedQuery& query : scope.queries)
    if (query.query_class == QueryClass::bound) scope.zones = 2;
}

}  // namespace

std::optional<ScopeSize> parse_size(std::string_view name) {
  constexpr std::array<std::string_view, 4> names{"tiny", "small", "medium", "large"};
  for (std::size_t i = 0; i < names.size(); ++i)
    if (names[i] == name) return static_cast<ScopeSize>(i);
  return std::nullopt;
}

std::vector<Scope> scopes_of(ScopeSize size) {
  const PlannedQuery safe{0, QueryClass::safe, 0}, unsafe{0, QueryClass::unsafe, 0},
      turn{0, QueryClass::ordered_by_key, 7};
  const PlannedQuery keyed{0, QueryClass::keyed, 5}, bound{0, QueryClass::bound, 0};
  const auto at = [](PlannedQuery query, std::uint32_t client) {
    query.client = client;
    return query;
  };
  std::vector<Scope> all;
  switch (size) {
    case ScopeSize::tiny:
      all.push_back(scope_of("one safe", {safe}, 2, 1));
      all.push_back(scope_of("two of a key, one engine", {turn, at(turn, 1)}, 1, 0));
      break;
    case ScopeSize::small:
      all.push_back(scope_of("two of a key", {turn, at(turn, 1)}, 2, 0));
      all.push_back(scope_of("two of a key, one engine, one fault", {turn, at(turn, 1)}, 1, 1));
      all.push_back(scope_of("safe and unsafe", {safe, at(unsafe, 1)}, 2, 0));
      all.push_back(scope_of("keyed, then safe", {keyed, safe}, 2, 0));
      break;
    case ScopeSize::medium:
      all.push_back(scope_of("one unsafe, two faults", {unsafe}, 2, 2));
      all.push_back(scope_of("two of a key, one fault", {turn, at(turn, 1)}, 2, 1));
      all.push_back(scope_of("safe and unsafe, one fault", {safe, at(unsafe, 1)}, 2, 1));
      all.push_back(scope_of("safe, unsafe, in turn", {safe, at(unsafe, 1), at(turn, 0)}, 2, 0));
      break;
    case ScopeSize::large:
      all.push_back(scope_of("three of a key", {turn, at(turn, 1), at(turn, 1)}, 3, 1));
      all.push_back(scope_of("keyed, unsafe, bound", {keyed, at(unsafe, 1), at(bound, 0)}, 3, 2));
      break;
  }
  for (Scope& scope : all) assign_zones(scope);
  return all;
}

std::vector<Scope> defect_scopes() {
  const PlannedQuery safe{0, QueryClass::safe, 0}, unsafe{0, QueryClass::unsafe, 0},
      bound{0, QueryClass::bound, 0};
  const PlannedQuery turn{0, QueryClass::ordered_by_key, 7}, next_turn{1, QueryClass::ordered_by_key, 7},
      next{1, QueryClass::safe, 0};
  std::vector<Scope> all{scope_of("defects: one bound", {bound}, 2, 0),
                         scope_of("defects: one unsafe", {unsafe}, 1, 1),
                         scope_of("defects: one safe", {safe}, 2, 1),
                         scope_of("defects: two of a key", {turn, next_turn}, 1, 1),
                         scope_of("defects: one after the other", {safe, unsafe}, 1, 1),
                         scope_of("defects: two clients", {safe, next}, 1, 1),
                         scope_of("defects: two faults", {unsafe}, 1, 2),
                         scope_of("defects: two engines", {turn, next_turn}, 2, 1)};
  // A second attempt is decided on after just over half of this window; opening its channel may use up the
  // rest of it.
  for (ClassSettings& settings : all[3].core.module.classes)
    settings.idempotency_window = std::chrono::milliseconds(540);
  all[6].core.module.overload_window =
      std::chrono::milliseconds(200);  // ends before an overloaded engine is tried again
  all.push_back(scope_of("defects: a slow reader", {safe}, 1, 1));
  all.back().max_large_parts = 3;
  all.push_back(scope_of("defects: pipelined", {safe, turn, next_turn}, 1, 1));
  all.back().pipelined = true;
  // A retry budget that one query can exhaust.
  all.push_back(scope_of("defects: no further attempt", {safe}, 2, 2));
  all.back().core.module.retry_budget = RetryBudgetSettings{0, 0, std::chrono::seconds(2)};
  // An engine in slow start has capacity for one query, but not for two.
  all.push_back(scope_of("defects: a cold engine", {safe, next}, 1, 1));
  all.back().core.module.slow_start_capacity_share = 0.0079;
  for (Scope& scope : all) assign_zones(scope);
  return all;
}

Scope walk_scope() {
  Scope scope = scope_of("walk", {}, 10, 0);
  scope.clients = 100;
  scope.zones = 2;
  scope.managers = 3;
  scope.endless = true;
  scope.faults = unlimited_faults;
  scope.max_large_parts = 2;
  scope.core.module.instances = 3;
  scope.core.module.retry_budget = RetryBudgetSettings{2, 0.2, 2s};
  scope.core.channels_per_engine = 4;
  scope.core.idle_channels_per_engine = 2;
  scope.core.buffers_in_total = 8000;
  return scope;
}

}  // namespace paddlestand::explorer

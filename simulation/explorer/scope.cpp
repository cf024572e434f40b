#include "scope.hpp"

#include <array>
#include <chrono>

namespace paddlestand::explorer {
namespace {

using namespace std::chrono_literals;

ClassSettings one_class(std::string name, Idempotency repeat) {
  ClassSettings k;
  k.name = std::move(name);
  k.latency_objective = 500ms;
  k.deadline = 715ms;
  k.priority_weight = 1;
  k.late_answer_weight = 0.5;
  k.threads = 1;
  k.repeat = repeat;
  k.idempotency_scope = IdempotencyScope::zone;
  k.idempotency_window = 550ms;
  return k;
}

// All that falls due lies on a grid of the module's ticks: histories that differ by when things happened come
// together again, and what falls due together does so in one step.
core::CoreSettings core_settings() {
  core::CoreSettings s;
  s.module.instances = 1;
  s.module.seed = 1;
  s.module.clock_step = 5ms;
  s.module.classes = {
      one_class("safe", Idempotency::idempotent), one_class("keyed", Idempotency::idempotent_with_key),
      one_class("unsafe", Idempotency::non_idempotent),
      one_class("in_turn", Idempotency::idempotent_with_key), one_class("bound", Idempotency::idempotent)};
  s.module.classes[3].ordered_by_key = true;
  s.module.classes[4].allowed_zones = std::vector<std::uint32_t>{0};
  s.module.kinds = {{4, 8192}};
  s.module.may_cancel = true;
  s.module.may_probe = true;
  s.module.may_advise_retry = true;
  s.module.max_retry_after = 500ms;
  s.module.max_attempts = 3;
  s.module.answer_slack = 20ms;
  s.module.drain_grace = 30ms;  // shorter than a connect may take
  s.module.ordering_settle_time = 100ms;
  s.module.slow_start_capacity_share = 0.3;
  s.module.slow_start_duration = 400ms;
  s.module.overload_multiple = 4;
  s.module.overload_window = 300ms;
  s.module.retry_budget = RetryBudgetSettings{1, 0.5, 2s};
  s.channels_per_engine = 2;
  s.idle_channels_per_engine = 1;
  s.idle_channel_lifetime = 250ms;
  s.connect_timeout = 50ms;
  s.probe_timeout = 50ms;
  s.cancel_grace = 100ms;
  s.answer_buffer = 1000;
  s.client_window = 1000;
  s.buffers_in_total = 4000;
  return s;
}

Scope scope_of(std::string name, std::vector<Slot> slots, std::uint32_t engines, std::uint32_t faults) {
  Scope scope;
  scope.name = std::move(name);
  for (const Slot& slot : slots) scope.clients = std::max(scope.clients, slot.client + 1);
  scope.slots = std::move(slots);
  scope.engines = engines;
  scope.faults = faults;
  scope.core = core_settings();
  return scope;
}

void spread(Scope& scope) {
  for (const Slot& slot : scope.slots)
    if (slot.cls == Class::bound) scope.zones = 2;
}

}  // namespace

std::optional<Size> size_of(std::string_view name) {
  constexpr std::array<std::string_view, 4> names{"tiny", "small", "medium", "large"};
  for (std::size_t i = 0; i < names.size(); ++i)
    if (names[i] == name) return static_cast<Size>(i);
  return std::nullopt;
}

std::vector<Scope> scopes_of(Size size) {
  const Slot safe{0, Class::safe, 0}, unsafe{0, Class::unsafe, 0}, turn{0, Class::ordered_by_key, 7};
  const Slot keyed{0, Class::keyed, 5}, bound{0, Class::bound, 0};
  const auto at = [](Slot slot, std::uint32_t client) {
    slot.client = client;
    return slot;
  };
  std::vector<Scope> all;
  switch (size) {
    case Size::tiny:
      all.push_back(scope_of("one safe", {safe}, 2, 1));
      all.push_back(scope_of("two of a key, one engine", {turn, at(turn, 1)}, 1, 0));
      break;
    case Size::small:
      all.push_back(scope_of("two of a key", {turn, at(turn, 1)}, 2, 0));
      all.push_back(scope_of("two of a key, one engine, one fault", {turn, at(turn, 1)}, 1, 1));
      all.push_back(scope_of("safe and unsafe", {safe, at(unsafe, 1)}, 2, 0));
      all.push_back(scope_of("keyed, then safe", {keyed, safe}, 2, 0));
      break;
    case Size::medium:
      all.push_back(scope_of("one unsafe, two faults", {unsafe}, 2, 2));
      all.push_back(scope_of("two of a key, one fault", {turn, at(turn, 1)}, 2, 1));
      all.push_back(scope_of("safe and unsafe, one fault", {safe, at(unsafe, 1)}, 2, 1));
      all.push_back(scope_of("safe, unsafe, in turn", {safe, at(unsafe, 1), at(turn, 0)}, 2, 0));
      break;
    case Size::large:
      all.push_back(scope_of("three of a key", {turn, at(turn, 1), at(turn, 1)}, 3, 1));
      all.push_back(scope_of("keyed, unsafe, bound", {keyed, at(unsafe, 1), at(bound, 0)}, 3, 2));
      break;
  }
  for (Scope& scope : all) spread(scope);
  return all;
}

std::vector<Scope> defect_scopes() {
  const Slot safe{0, Class::safe, 0}, unsafe{0, Class::unsafe, 0}, bound{0, Class::bound, 0};
  const Slot turn{0, Class::ordered_by_key, 7}, next_turn{1, Class::ordered_by_key, 7},
      next{1, Class::safe, 0};
  std::vector<Scope> all{scope_of("defects: one bound", {bound}, 2, 0),
                         scope_of("defects: one unsafe", {unsafe}, 1, 1),
                         scope_of("defects: one safe", {safe}, 2, 1),
                         scope_of("defects: two of a key", {turn, next_turn}, 1, 1),
                         scope_of("defects: one after the other", {safe, unsafe}, 1, 1),
                         scope_of("defects: two clients", {safe, next}, 1, 1),
                         scope_of("defects: two faults", {unsafe}, 1, 2),
                         scope_of("defects: two engines", {turn, next_turn}, 2, 1)};
  // Just over half of it a second attempt is decided on, and its channel may take what is left.
  for (ClassSettings& k : all[3].core.module.classes) k.idempotency_window = std::chrono::milliseconds(540);
  all[6].core.module.overload_window =
      std::chrono::milliseconds(200);  // over before a full engine is asked again
  all.push_back(scope_of("defects: a slow reader", {safe}, 1, 1));
  all.back().big_parts = 3;
  all.push_back(scope_of("defects: pipelined", {safe, turn, next_turn}, 1, 1));
  all.back().pipelined = true;
  // A budget that one query can use up.
  all.push_back(scope_of("defects: no further attempt", {safe}, 2, 2));
  all.back().core.module.retry_budget = RetryBudgetSettings{0, 0, std::chrono::seconds(2)};
  // One that has just started can take one query, not two.
  all.push_back(scope_of("defects: a cold engine", {safe, next}, 1, 1));
  all.back().core.module.slow_start_capacity_share = 0.0079;
  for (Scope& scope : all) spread(scope);
  return all;
}

Scope walk_scope() {
  Scope scope = scope_of("walk", {}, 10, 0);
  scope.clients = 100;
  scope.zones = 2;
  scope.managers = 3;
  scope.endless = true;
  scope.faults = ~0U;
  scope.big_parts = 2;
  scope.core.module.instances = 3;
  scope.core.module.retry_budget = RetryBudgetSettings{2, 0.2, 2s};
  scope.core.channels_per_engine = 4;
  scope.core.idle_channels_per_engine = 2;
  scope.core.buffers_in_total = 8000;
  return scope;
}

}  // namespace paddlestand::explorer

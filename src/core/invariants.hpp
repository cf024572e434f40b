/// The invariants of the manager, their external names, and their descriptions as in docs/invariants.md.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace paddlestand::core {

enum class Invariant : std::uint8_t {
  one_answer,
  answered_before_timeout,
  nothing_after_final_answer,
  single_active_attempt,
  idempotency,
  accurate_answer,
  drain,
  slow_start,
  key_order,
  placement,
  retry_budget,
  channel_reuse,
  cancel_target,
  row_ownership,
  complete_answer,
  resource_limits,
  retry_advice,
  // Checked by the explorer only: the monitor sees neither the coordinator's records nor whether faults have
  // ceased.
  consistent_state,
  termination,
  count
};

/// The invariant's name in logs and history files. It is part of these formats and may differ from the
/// enumerator.
[[nodiscard]] std::string_view name_of(Invariant invariant);
/// Describes what the invariant guarantees.
[[nodiscard]] std::string_view sentence_of(Invariant invariant);

struct InvariantViolation {
  Invariant invariant{};
  std::string what;
};

}  // namespace paddlestand::core

/// The invariants of the manager: their names, and the sentences of docs/invariants.md.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace paddlestand::core {

enum class Invariant : std::uint8_t {
  one_answer,
  in_time,
  nothing_after,
  one_attempt,
  effect_once,
  honest_answer,
  drain,
  cold_engine,
  order,
  placement,
  budget,
  clean_link,
  own_cancel,
  own_rows,
  whole_answer,
  bounds,
  advice,
  // Only the explorer sees enough to check these.
  no_contradiction,
  all_ends,
  count
};

/// The invariant's name in logs and history files.
[[nodiscard]] std::string_view name_of(Invariant invariant);
/// The sentence that is promised.
[[nodiscard]] std::string_view sentence_of(Invariant invariant);

struct InvariantViolation {
  Invariant invariant{};
  std::string what;
};

}  // namespace paddlestand::core

/// Coverage goals: rare situations that an exploration must reach for its verdict to be meaningful.
#pragma once

#include <array>
#include <bitset>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace paddlestand::explorer {

enum class CoverageGoal : std::uint8_t {
  late_answer_after_resend,
  cancel_during_drain,
  drain_during_send,
  answer_then_timeout,  ///< due at the same time; the answer is handled first
  timeout_then_answer,  ///< at the same time; the timeout is handled first
  client_gone_between_attempts,
  all_engines_overloaded,
  engine_removed_and_back_within_grace,
  settle_time_ends_during_attempt,  ///< of an ordering key
  deadline_between_resend_and_connect,
  progress_of_ended_attempt,
  shutdown_with_queries_in_flight,
  answer_on_cancelled_channel,
  resend_after_reset,
  cancel_after_close,
  query_partially_written,
  count
};

inline constexpr std::size_t coverage_goal_count = static_cast<std::size_t>(CoverageGoal::count);

/// The goals that one move reached.
using Coverage = std::bitset<coverage_goal_count>;

/// How many moves have reached each goal, by CoverageGoal.
using CoverageCounts = std::array<std::size_t, coverage_goal_count>;
void add_coverage(CoverageCounts& counts, const Coverage& coverage);

/// As printed by `explore --cases`.
[[nodiscard]] std::string_view name_of(CoverageGoal goal);

}  // namespace paddlestand::explorer

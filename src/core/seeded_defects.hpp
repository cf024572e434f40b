/// Defects that a test build enables, one at a time, to show that the explorer finds them. The faulty code is
/// in seeded_parts.hpp and seeded_coordinator.hpp, and in the explorer's model of a host; no other build
/// contains any of it.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace paddlestand::core {

enum class Defect : std::uint8_t {
  none,
  // In the query coordinator and the event dispatcher.
  answers_twice,
  delivers_after_final_answer,
  reset_reported_as_not_run,
  timeout_reported_as_not_run,
  cancelled_channel_reused,
  unclean_channel_returned_to_pool,
  next_attempt_before_cancel_confirmed,
  streamed_query_retried,
  ordering_settle_time_ignored,
  retry_budget_off_by_one,
  allowed_zones_ignored,
  drain_event_dropped,
  drain_keeps_opening_channels,
  engine_start_time_dropped,
  failure_reported_as_rejection,
  shutdown_failure_reported_as_rejection,
  attempt_timeout_not_disarmed,
  detached_channel_without_timer,
  connect_failure_not_reported,
  discarded_bytes_not_released,
  unconsumed_bytes_not_released,
  last_answer_part_discarded,
  paused_channel_not_resumed,
  channel_left_paused_at_answer_end,
  timers_fire_late,
  late_cancel_applied_to_next_query,
  idle_channel_assigned_twice,
  retry_advice_too_long,
  pending_send_not_withdrawn,
  protocol_error_reported_as_engine_error,
  max_send_delay_ignored,
  // In the execution of actions.
  query_sent_event_delayed,
  cancel_sent_to_newest_channel,
  discard_not_executed,
  delivered_to_another_client,
  close_not_executed,
  pause_not_executed,
  count
};

/// External names, indexed by Defect: history files contain them, and `explore --seeded-defects --only` takes
/// them. They must not change, and may differ from the enumerators.
inline constexpr std::array<std::string_view, static_cast<std::size_t>(Defect::count)> defect_names{
    "none",
    "answers_twice",
    "delivers_after_the_answer",
    "reset_told_as_never_ran",
    "time_out_told_as_never_ran",
    "cancelled_link_goes_on",
    "unclean_link_is_parked",
    "next_attempt_while_cancelling",
    "streamed_query_is_repeated",
    "key_rest_forgotten",
    "budget_off_by_one",
    "placement_lost",
    "drain_told_late",
    "drain_spares_opening_links",
    "cold_start_not_told",
    "harmless_after_a_run",
    "leaving_calls_all_harmless",
    "time_out_left_armed",
    "link_left_open",
    "outcome_not_told",
    "kept_bytes_left",
    "untaken_bytes_left",
    "rest_of_answer_lost",
    "resume_forgotten",
    "rest_left_behind",
    "timers_late",
    "cancel_kept_for_the_next",
    "idle_link_taken_twice",
    "advice_too_long",
    "pending_send_goes_out",
    "broken_link_told_as_ended",
    "connect_time_forgotten",
    "sent_told_behind_others",
    "cancel_strikes_newest_link",
    "discard_not_carried_out",
    "delivered_to_another",
    "close_not_carried_out",
    "pause_not_carried_out",
};

#ifdef PADDLESTAND_SEEDED_DEFECTS
inline constexpr bool has_seeded_defects = true;
inline Defect enabled_defect = Defect::none;  ///< set by one thread before a run
inline bool seeded(Defect defect) { return enabled_defect == defect; }
#else
inline constexpr bool has_seeded_defects = false;
constexpr bool seeded(Defect) { return false; }
#endif

}  // namespace paddlestand::core

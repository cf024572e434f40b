/// Defects that a test build switches on, one at a time, to show that the explorer finds them. Their names
/// are those of history files. The faulty code is in seeded_parts.hpp and seeded_coordinator.hpp, and in the
/// explorer's model of a host; no other build contains any of it.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace paddlestand::core {

enum class Defect : std::uint8_t {
  none,
  // Of the query coordinator and the event dispatcher.
  answers_twice,
  delivers_after_the_answer,
  reset_told_as_never_ran,
  time_out_told_as_never_ran,
  cancelled_link_goes_on,
  unclean_link_is_parked,
  next_attempt_while_cancelling,
  streamed_query_is_repeated,
  key_rest_forgotten,
  budget_off_by_one,
  placement_lost,
  drain_told_late,
  drain_spares_opening_links,
  cold_start_not_told,
  harmless_after_a_run,
  leaving_calls_all_harmless,
  time_out_left_armed,
  link_left_open,
  outcome_not_told,
  kept_bytes_left,
  untaken_bytes_left,
  rest_of_answer_lost,
  resume_forgotten,
  rest_left_behind,
  timers_late,
  cancel_kept_for_the_next,
  idle_link_taken_twice,
  advice_too_long,
  pending_send_goes_out,
  broken_link_told_as_ended,
  connect_time_forgotten,
  // Of how actions are executed.
  sent_told_behind_others,
  cancel_strikes_newest_link,
  discard_not_carried_out,
  delivered_to_another,
  close_not_carried_out,
  pause_not_carried_out,
  count
};

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
inline Defect defect_on = Defect::none;  ///< set before anything runs, by one thread
inline bool seeded(Defect defect) { return defect_on == defect; }
#else
inline constexpr bool has_seeded_defects = false;
constexpr bool seeded(Defect) { return false; }
#endif

}  // namespace paddlestand::core

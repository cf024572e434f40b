/// The vocabulary of histories: every kind of step that the model can make, and a move, which is a step with
/// the manager it happens to and its subject.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace paddlestand::explorer {

/// One kind of step. The groups are contiguous and differ in what Move::subject names.
enum class Step : std::uint8_t {
  // Clients; the subject is a client's index.
  submit_query,
  cancel_query,
  disconnect_client,
  stop_reading,
  break_connection,  ///< the client disappears, which the manager sees at its next write
  resume_reading,
  // Channels; the subject is a ChannelId.
  channel_opened,
  connect_refused,
  out_of_descriptors,
  channel_reset,
  protocol_error,
  query_written,  ///< the remaining bytes of a query
  answer_part,
  large_answer_part,
  answer_part_and_end,  ///< in one read: a pause between the two has no effect
  answer_complete,
  answer_complete_unclean,  ///< the engine's session has state left that forbids reuse
  engine_error,
  engine_overloaded,
  progress_report,
  cancel_reaches_engine,
  answer_after_close,  ///< crossed with the close of its channel
  progress_after_close,
  // Engines; the subject is an EngineId.
  stall_engine,  ///< it reads nothing from its sockets
  unstall_engine,
  drain_engine,
  remove_engine,
  restore_engine,  ///< with its previous id, warming up
  restart_engine,  ///< as restore_engine, without a removal before
  // Discovery, time and shutdown; without a subject.
  discovery_failed,
  advance_before_timer,  ///< to just before a timer is due
  advance_to_timer,  ///< to the moment it is due, without firing it
  delay_timer,  ///< the timer fires late, so that more is due with it
  fire_timers,
  shut_down,
  count
};

inline constexpr std::size_t step_count = static_cast<std::size_t>(Step::count);
/// How often each step was made, by Step.
using StepCounts = std::array<std::size_t, step_count>;

/// The word for `step` in history files.
[[nodiscard]] std::string_view name_of(Step step);
/// The step that `word` stands for in history files, if any.
[[nodiscard]] std::optional<Step> step_of(std::string_view word);
/// The enumerator's name, for generated C++.
[[nodiscard]] std::string_view identifier_of(Step step);

/// Whether `step` counts against the faults that a scope allows.
[[nodiscard]] bool is_fault(Step step);
/// Whether Move::subject is a ChannelId for `step`.
[[nodiscard]] constexpr bool concerns_channel(Step step) {
  return step >= Step::channel_opened && step <= Step::progress_after_close;
}
/// Whether `step` happens to one manager only, and not to all.
[[nodiscard]] constexpr bool concerns_one_manager(Step step) { return step < Step::stall_engine; }

/// A step with what it happens to.
struct Move {
  Step step{};
  std::uint8_t manager = 0;  ///< index
  std::uint32_t subject = 0;  ///< by the step's group; see Step
  friend bool operator==(const Move&, const Move&) = default;
};

}  // namespace paddlestand::explorer

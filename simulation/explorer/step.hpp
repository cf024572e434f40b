/// The elements of histories: the kinds of step that the model can make, and moves. A move is a step with the
/// manager and the subject that it applies to.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace paddlestand::explorer {

/// A kind of step. The groups are contiguous and differ in the meaning of Move::subject.
enum class Step : std::uint8_t {
  // Clients; the subject is a client's index.
  submit_query,
  cancel_query,
  disconnect_client,
  stop_reading,
  break_connection,  ///< the client disappears, which the manager detects at its next write
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
  answer_part_and_end,  ///< received in one read, so that a pause between the two has no effect
  answer_complete,
  answer_complete_unclean,  ///< the engine's session holds state that prevents reuse of the channel
  engine_error,
  engine_overloaded,
  progress_report,
  cancel_reaches_engine,
  answer_after_close,  ///< sent before the engine saw the channel's close
  progress_after_close,
  // Engines; the subject is an EngineId.
  stall_engine,  ///< it stops reading from its sockets
  unstall_engine,
  drain_engine,
  remove_engine,
  restore_engine,  ///< with its previous id, in slow start
  restart_engine,  ///< like restore_engine, without a preceding removal
  // Discovery, time and shutdown; without a subject.
  discovery_failed,
  advance_before_timer,  ///< to just before a timer is due
  advance_to_timer,  ///< to the time it is due, without firing it
  delay_timer,  ///< the timer fires late, together with timers that became due since
  fire_timers,
  shut_down,
  count
};

inline constexpr std::size_t step_count = static_cast<std::size_t>(Step::count);
/// How often each step was made, by Step.
using StepCounts = std::array<std::size_t, step_count>;

/// The name of `step` in history files.
[[nodiscard]] std::string_view name_of(Step step);
/// The step with this name in history files, if any.
[[nodiscard]] std::optional<Step> step_of(std::string_view name);
/// The enumerator's name, for generated C++.
[[nodiscard]] std::string_view identifier_of(Step step);

/// Whether `step` counts against the faults that a scope allows.
[[nodiscard]] bool is_fault(Step step);
/// Whether Move::subject is a ChannelId for `step`.
[[nodiscard]] constexpr bool concerns_channel(Step step) {
  return step >= Step::channel_opened && step <= Step::progress_after_close;
}
/// Whether `step` applies to one manager and not to all.
[[nodiscard]] constexpr bool concerns_one_manager(Step step) { return step < Step::stall_engine; }

/// A step with the manager and the subject that it applies to.
struct Move {
  Step step{};
  std::uint8_t manager = 0;  ///< index
  std::uint32_t subject = 0;  ///< its meaning depends on the step's group; see Step
  friend bool operator==(const Move&, const Move&) = default;
};

}  // namespace paddlestand::explorer

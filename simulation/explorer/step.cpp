#include "step.hpp"

#include <algorithm>
#include <array>

namespace paddlestand::explorer {
namespace {

struct StepNames {
  std::string_view name;  // used in history files
  std::string_view identifier;
};

constexpr std::array<StepNames, step_count> step_names{{
    {"ask", "submit_query"},
    {"cancel", "cancel_query"},
    {"leave_client", "disconnect_client"},
    {"stop_reading", "stop_reading"},
    {"break_client", "break_connection"},
    {"read_on", "resume_reading"},
    {"link_up", "channel_opened"},
    {"refused", "connect_refused"},
    {"no_descriptor", "out_of_descriptors"},
    {"lost", "channel_reset"},
    {"broken", "protocol_error"},
    {"written", "query_written"},
    {"part", "answer_part"},
    {"big_part", "large_answer_part"},
    {"part_and_end", "answer_part_and_end"},
    {"complete", "answer_complete"},
    {"complete_unclean", "answer_complete_unclean"},
    {"failed", "engine_error"},
    {"full", "engine_overloaded"},
    {"note", "progress_report"},
    {"strike", "cancel_reaches_engine"},
    {"late_end", "answer_after_close"},
    {"late_note", "progress_after_close"},
    {"deaf", "stall_engine"},
    {"hears", "unstall_engine"},
    {"drain", "drain_engine"},
    {"gone", "remove_engine"},
    {"back", "restore_engine"},
    {"restart", "restart_engine"},
    {"list_failed", "discovery_failed"},
    {"wait", "advance_before_timer"},
    {"reach", "advance_to_timer"},
    {"late", "delay_timer"},
    {"fire", "fire_timers"},
    {"shutdown", "shut_down"},
}};

}  // namespace

std::string_view name_of(Step step) { return step_names[static_cast<std::size_t>(step)].name; }

std::optional<Step> step_of(std::string_view name) {
  const auto found = std::find_if(step_names.begin(), step_names.end(),
                                  [name](const StepNames& names) { return names.name == name; });
  if (found == step_names.end()) return std::nullopt;
  return static_cast<Step>(found - step_names.begin());
}

std::string_view identifier_of(Step step) { return step_names[static_cast<std::size_t>(step)].identifier; }

bool is_fault(Step step) {
  switch (step) {
    case Step::cancel_query:
    case Step::disconnect_client:
    case Step::stop_reading:
    case Step::break_connection:
    case Step::connect_refused:
    case Step::out_of_descriptors:
    case Step::channel_reset:
    case Step::protocol_error:
    case Step::answer_complete_unclean:
    case Step::engine_error:
    case Step::engine_overloaded:
    case Step::stall_engine:
    case Step::drain_engine:
    case Step::remove_engine:
    case Step::restart_engine:
    case Step::discovery_failed:
    case Step::delay_timer:
    case Step::progress_report:
    case Step::shut_down: return true;
    default: return false;
  }
}

}  // namespace paddlestand::explorer

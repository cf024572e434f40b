// Descriptions of moves, for histories.
#include <array>
#include <sstream>
#include <string_view>

#include "model_state.hpp"

namespace paddlestand::explorer {
namespace {

/// What happens in each step, by Step; `{}` stands for the subject. The steps of a channel follow the
/// channel's name.
constexpr std::array<std::string_view, step_count> descriptions{
    "client {} submits query ",
    "client {} requests a cancel",
    "client {} disconnects",
    "client {} stops reading",
    "client {} disconnects, not detected by the manager yet",
    "client {} resumes reading",
    "opened",
    "connection refused",
    "no file descriptor left to open it",
    "reset",
    "protocol error",
    "the remainder of the query is written",
    "a small part of an answer",
    "a large part of an answer",
    "a large part of an answer, and its end in the same read",
    "the answer is complete",
    "the answer is complete; the channel cannot be reused",
    "the engine answers with an error",
    "the engine is overloaded and rejects the query",
    "a progress report",
    "a cancel reaches the engine",
    "an answer that was sent before the engine saw the close",
    "a progress report that was sent before the engine saw the close",
    "engine {} stops reading",
    "engine {} resumes reading",
    "notified that engine {} is draining",
    "notified that engine {} was removed",
    "notified that engine {} was restored, in slow start",
    "notified that engine {} has restarted",
    "notified that discovery failed",
    "time advances to just before a timer is due",
    "time advances to when the timer is due",
    "the timer is delayed",
    "all due timers fire",
    "shutdown begins"};

constexpr std::array<std::string_view, query_class_count> class_names{"safe", "keyed", "unsafe",
                                                                      "ordered by key", "bound"};

std::string description_of(const Move& move) {
  std::string text(descriptions[static_cast<std::size_t>(move.step)]);
  const auto subject = text.find("{}");
  if (subject != std::string::npos) text.replace(subject, 2, std::to_string(move.subject));
  return text;
}

std::string seconds_text(TimePoint time) {
  std::ostringstream out;
  out << "+" << std::fixed;
  out.precision(6);
  out << static_cast<double>((time - start_of_time).count()) * 1e-9 << " s";
  return out.str();
}

void print_channel(std::ostream& out, const EngineSideChannel& channel) {
  out << "channel " << channel.id << " (engine " << channel.engine;
  if (channel.carries_query()) out << ", query " << channel.query;
  if (channel.is_probe) out << ", probe";
  out << "): ";
}

}  // namespace

std::string ModelState::describe(const Move& move) const {
  std::ostringstream out;
  out << seconds_text(now_) << "  ";
  if (managers_.size() > 1 && concerns_one_manager(move.step)) out << "manager " << int{move.manager} << ": ";
  if (const EngineSideChannel* channel = channel_of(move)) print_channel(out, *channel);
  out << description_of(move);
  if (move.step == Step::submit_query) {
    const std::uint32_t nth = managers_[move.manager].clients[move.subject].queries_submitted;
    const PlannedQuery query = planned_query(move.manager, move.subject, nth);
    out << query_id(move.subject, nth) << ", " << class_names[static_cast<std::size_t>(query.query_class)];
    if (query.key != 0) out << ", key " << query.key;
  }
  return out.str();
}

}  // namespace paddlestand::explorer

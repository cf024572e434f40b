#include "sqlstate.hpp"

#include <array>
#include <charconv>

namespace paddlestand::pg {

core::Ending ending_of_error(std::string_view sqlstate, bool rows_before) {
  if (sqlstate == "53300") return rows_before ? core::Ending::engine_error : core::Ending::full;
  if (sqlstate == "57014") return core::Ending::cancelled;
  // Out of resources, stopped by an operator, system and internal errors: the engine's trouble.
  const std::string_view kind = sqlstate.substr(0, 2);
  for (const std::string_view ill : {"08", "53", "57", "58", "XX", "F0"}) {
    if (kind == ill) return core::Ending::engine_error;
  }
  return core::Ending::complete;
}

bool startup_says_full(std::string_view sqlstate) { return sqlstate == "53300"; }

Fields error(std::string_view sqlstate, std::string message, std::string hint) {
  Fields fields;
  fields.severity = "ERROR";
  fields.code = sqlstate;
  fields.message = std::move(message);
  fields.hint = std::move(hint);
  return fields;
}

Fields fields_of(const core::Answer& answer) {
  using core::AnswerKind;
  std::string hint;
  if (answer.retry_after.count() > 0) {
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(answer.retry_after);
    hint = "retry_after_ms=" + std::to_string(wait.count()) + "; ";
  }
  hint += answer.retry_safety == core::RetrySafety::safe ? "repeat=harmless" : "repeat=unknown";
  if (answer.kind == AnswerKind::cancelled)
    return error("57014", "canceling statement due to user request", hint);
  if (answer.shutting_down) return error("57P01", "the workload manager is leaving", hint);
  if (answer.deadline_exceeded)
    return error("57014", "the query could not be answered within its time", hint);
  if (answer.kind == AnswerKind::rejected)
    return error("53400", "the workload manager refuses the query", hint);
  if (answer.begun) return error("08006", "the engine was lost after part of the answer was sent", hint);
  return error("08007", "the query failed and may have run", hint);
}

Advice read_advice(std::string_view hint) {
  Advice advice;
  while (!hint.empty()) {
    const auto end = hint.find(';');
    std::string_view part = hint.substr(0, end);
    hint = end == hint.npos ? std::string_view{} : hint.substr(end + 1);
    while (part.starts_with(' ')) part.remove_prefix(1);
    constexpr std::string_view wait = "retry_after_ms=";
    if (part.starts_with(wait)) {
      long value = 0;
      const char* const last = part.data() + part.size();
      const auto [at, problem] = std::from_chars(part.data() + wait.size(), last, value);
      if (problem == std::errc{} && at == last && value >= 0)
        advice.retry_after = std::chrono::milliseconds(value);
    }
    if (part == "repeat=harmless") advice.harmless = true;
    if (part == "repeat=unknown") advice.harmless = false;
  }
  return advice;
}

}  // namespace paddlestand::pg

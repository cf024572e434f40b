#include "sqlstate.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace paddlestand::pg {
namespace {

constexpr std::string_view too_many_connections = "53300";
constexpr std::string_view query_canceled = "57014";
constexpr std::string_view admin_shutdown = "57P01";
constexpr std::string_view connection_failure = "08006";
constexpr std::string_view transaction_resolution_unknown = "08007";
constexpr std::string_view configuration_limit_exceeded = "53400";

std::string hint_of(const core::Answer& answer) {
  std::string hint;
  if (answer.retry_after.count() > 0) {
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(answer.retry_after);
    hint = "retry_after_ms=" + std::to_string(wait.count()) + "; ";
  }
  return hint + (answer.retry_safety == core::RetrySafety::safe ? "repeat=harmless" : "repeat=unknown");
}

/// Reads one part of a hint.
void read_advice_part(std::string_view part, Advice& advice) {
  constexpr std::string_view retry_after = "retry_after_ms=";
  if (part == "repeat=harmless") {
    advice.harmless = true;
  } else if (part == "repeat=unknown") {
    advice.harmless = false;
  } else if (part.starts_with(retry_after)) {
    long milliseconds = 0;
    const char* const part_end = part.data() + part.size();
    const auto [end, problem] = std::from_chars(part.data() + retry_after.size(), part_end, milliseconds);
    if (problem == std::errc{} && end == part_end && milliseconds >= 0)
      advice.retry_after = std::chrono::milliseconds(milliseconds);
  }
}

}  // namespace

core::Ending ending_of_error(std::string_view sqlstate, bool rows_before) {
  if (sqlstate == too_many_connections) return rows_before ? core::Ending::engine_error : core::Ending::full;
  if (sqlstate == query_canceled) return core::Ending::cancelled;
  // Errors of connections, resources, operator intervention, system, internals and configuration are faults
  // of the engine.
  constexpr std::array<std::string_view, 6> engine_fault_classes{"08", "53", "57", "58", "XX", "F0"};
  const std::string_view error_class = sqlstate.substr(0, 2);
  const bool is_engine_fault = std::find(engine_fault_classes.begin(), engine_fault_classes.end(),
                                         error_class) != engine_fault_classes.end();
  return is_engine_fault ? core::Ending::engine_error : core::Ending::complete;
}

bool is_capacity_error(std::string_view sqlstate) { return sqlstate == too_many_connections; }

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
  const std::string hint = hint_of(answer);
  if (answer.kind == AnswerKind::cancelled)
    return error(query_canceled, "canceling statement due to user request", hint);
  if (answer.shutting_down) return error(admin_shutdown, "the workload manager is shutting down", hint);
  if (answer.deadline_exceeded)
    return error(query_canceled, "the query could not be answered before its deadline", hint);
  if (answer.kind == AnswerKind::rejected)
    return error(configuration_limit_exceeded, "the workload manager rejected the query", hint);
  if (answer.begun)
    return error(connection_failure, "the engine was lost after part of the answer was sent", hint);
  return error(transaction_resolution_unknown, "the query failed and may have run", hint);
}

Advice read_advice(std::string_view hint) {
  Advice advice;
  while (!hint.empty()) {
    const auto end = hint.find(';');
    std::string_view part = hint.substr(0, end);
    hint = end == hint.npos ? std::string_view{} : hint.substr(end + 1);
    while (part.starts_with(' ')) part.remove_prefix(1);
    read_advice_part(part, advice);
  }
  return advice;
}

}  // namespace paddlestand::pg

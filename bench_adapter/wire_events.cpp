#include "wire_events.hpp"

#include <chrono>

#include "wire_codes.hpp"

namespace paddlestand::bench_adapter {
namespace {

AttemptResult read_result(WireReader& in) {
  const auto code = in.read<std::uint16_t>();
  switch (static_cast<CompletionCode>(code)) {
    case CompletionCode::served: return AttemptResult::served;
    case CompletionCode::engine_error: return AttemptResult::engine_error;
    case CompletionCode::rejected: return AttemptResult::rejected;
    case CompletionCode::timed_out: return AttemptResult::timed_out;
    case CompletionCode::connect_failed: return AttemptResult::connect_failed;
    case CompletionCode::reset: return AttemptResult::reset;
    case CompletionCode::cancelled: return AttemptResult::cancelled;
    case CompletionCode::not_sent: return AttemptResult::not_sent;
  }
  throw MalformedFrame("unknown completion code " + std::to_string(code));
}

LoadReport read_report(WireReader& in, const std::vector<std::string>& names) {
  LoadReport report;
  const auto count = in.read<std::uint8_t>();
  for (std::size_t i = 0; i < count; ++i) {
    const double value = in.read_float();
    if (i < names.size() && names[i] == "outstanding") report.queries = value;
  }
  return report;
}

}  // namespace

EngineEntry read_entry(WireReader& in) {
  EngineEntry entry;
  entry.kind = in.read<std::uint16_t>();
  entry.state = static_cast<EngineState>(in.read_code(0, last_engine_state, "engine state"));
  entry.zone = in.read<std::uint8_t>();
  entry.weight = in.read_float();
  entry.cell = in.read<std::uint16_t>();
  entry.engine = in.read<std::uint32_t>();
  entry.started = in.read_time();
  return entry;
}

RequestArrived read_request(WireReader& in) {
  RequestArrived event;
  event.request = in.read<std::uint64_t>();
  event.class_index = in.read<std::uint8_t>();
  event.tenant = in.read<std::uint16_t>();
  event.ordering_key = in.read<std::uint64_t>();
  event.client_timeout = in.read_time();
  const Duration cost = in.read_time();
  event.estimated_memory_mb = in.read_float();
  event.tables = in.read_float();
  const auto flags = in.read<std::uint8_t>();
  if ((flags & has_estimated_cost) != 0) event.estimated_cost = cost;
  event.repeated = (flags & is_repeated) != 0;
  return event;
}

AnswerStarted read_answer_start(WireReader& in) {
  const AnswerStarted event{in.read<std::uint64_t>()};
  in.skip<std::uint16_t>();  // attempt
  in.skip<std::uint64_t>();  // time
  in.skip<std::uint32_t>();  // engine
  return event;
}

AttemptEnded read_attempt_end(WireReader& in, const std::vector<std::string>& report_names,
                              bool answers_report_cost) {
  AttemptEnded event;
  event.request = in.read<std::uint64_t>();
  event.attempt = in.read<std::uint16_t>();
  event.engine = in.read<std::uint32_t>();
  event.result = read_result(in);
  event.elapsed = in.read_time();
  event.request_over = in.read<std::uint8_t>() != 0;
  const auto cost = in.read<std::uint32_t>();
  if (answers_report_cost && cost != 0 && event.result == AttemptResult::served) {
    event.work = std::chrono::milliseconds{cost / cost_memory_units};
    event.memory_mb = cost_memory_unit_mb * static_cast<double>(cost % cost_memory_units);
  }
  event.report = read_report(in, report_names);
  return event;
}

ProbeEnded read_probe_end(WireReader& in, const std::vector<std::string>& report_names) {
  ProbeEnded event;
  event.result = read_result(in);
  event.engine = in.read<std::uint32_t>();
  event.elapsed = in.read_time();
  event.report = read_report(in, report_names);
  return event;
}

ProgressReported read_progress(WireReader& in) {
  ProgressReported event;
  event.request = in.read<std::uint64_t>();
  event.attempt = in.read<std::uint16_t>();
  in.skip<std::uint32_t>();  // engine
  const auto kind = in.read_code(first_progress_kind, last_progress_kind, "kind of progress");
  event.kind = static_cast<ProgressKind>(kind - first_progress_kind);
  event.level = in.read_float();
  return event;
}

}  // namespace paddlestand::bench_adapter

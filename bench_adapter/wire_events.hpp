/// Reads the records of a batch frame that are events of one instance. Each function reads a record after its
/// code and instance, and throws MalformedFrame if the record is invalid.
#pragma once

#include <string>
#include <vector>

#include "paddlestand/workload_manager.hpp"
#include "wire_io.hpp"

namespace paddlestand::bench_adapter {

/// Reads an entry of an endpoint list.
EngineEntry read_entry(WireReader& in);
RequestArrived read_request(WireReader& in);
AnswerStarted read_answer_start(WireReader& in);
/// `report_names` names the values of a load report, in order. The record's cost is ignored unless
/// `answers_report_cost` is set.
AttemptEnded read_attempt_end(WireReader& in, const std::vector<std::string>& report_names,
                              bool answers_report_cost);
ProbeEnded read_probe_end(WireReader& in, const std::vector<std::string>& report_names);
ProgressReported read_progress(WireReader& in);

}  // namespace paddlestand::bench_adapter

/// The records of a batch frame that concern one instance, read as events of its workload manager. Each
/// function reads the record after its code and instance, and throws MalformedFrame where it is not legal.
#pragma once

#include <string>
#include <vector>

#include "paddlestand/workload_manager.hpp"
#include "wire_io.hpp"

namespace paddlestand::bench_adapter {

/// An entry of an endpoint list.
EngineEntry read_entry(WireReader& in);
RequestArrived read_request(WireReader& in);
AnswerStarted read_answer_start(WireReader& in);
/// `report_names`: of the values of a load report, in order. `answers_report_cost`: whether the cost that the
/// record states is to be used.
AttemptEnded read_attempt_end(WireReader& in, const std::vector<std::string>& report_names,
                              bool answers_report_cost);
ProbeEnded read_probe_end(WireReader& in, const std::vector<std::string>& report_names);
ProgressReported read_progress(WireReader& in);

}  // namespace paddlestand::bench_adapter

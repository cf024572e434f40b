/// Runs a day: engines and managers as processes on ephemeral loopback ports, clients in this one, faults at
/// their times; then checks the rules against what went over the sockets.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "scenario.hpp"
#include "trace_checker/trace_checker.hpp"

namespace paddlestand::simulation {

/// What a run needs besides the day.
struct DayPlan {
  Day day;
  std::string folder;  ///< for logs and configurations; it must exist
  std::string manager_program;  ///< path of `paddlestand`
  std::string engine_program;  ///< path of `paddlestand_test_engine`
};

/// What a run found.
struct DayResult {
  trace_checker::Verdict verdict;
  std::vector<std::string>
      problems;  ///< of the run itself: a process that ended unexpectedly, a malformed log
  std::string table;  ///< outcomes by class
};

/// Returns when the day is over. `progress` is called with lines for the user. Throws std::runtime_error
/// where a process can't be started or a file can't be written.
[[nodiscard]] DayResult run_day(const DayPlan& plan, const std::function<void(const std::string&)>& progress);

/// What the trace checker has to know of a day.
[[nodiscard]] trace_checker::DayParameters parameters_of(const Day& day);

}  // namespace paddlestand::simulation

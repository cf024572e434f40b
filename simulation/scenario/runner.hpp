/// Runs a day: engines and managers as processes on ephemeral loopback ports, clients in this process, and
/// the scheduled faults. Then checks the logs against the rules.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "scenario.hpp"
#include "trace_checker/trace_checker.hpp"

namespace paddlestand::simulation {

/// A day and the programs and folder to run it with.
struct DayPlan {
  Day day;
  std::string folder;  ///< for logs and configurations; must exist
  std::string manager_program;  ///< path of `paddlestand`
  std::string engine_program;  ///< path of `paddlestand_test_engine`
};

/// The result of a run.
struct DayResult {
  trace_checker::Verdict verdict;
  std::vector<std::string>
      problems;  ///< with the run itself, such as a process that ended unexpectedly or a malformed log
  std::string table;  ///< outcomes by class
};

/// Runs the day to its end. `progress` is called with lines for the user. Throws std::runtime_error if a
/// process cannot be started or a file cannot be written.
[[nodiscard]] DayResult run_day(const DayPlan& plan, const std::function<void(const std::string&)>& progress);

/// The parameters of a day that the trace checker needs.
[[nodiscard]] trace_checker::DayParameters parameters_of(const Day& day);

}  // namespace paddlestand::simulation

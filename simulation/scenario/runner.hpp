// Runs a day: engines and managers as processes on ephemeral loopback ports, clients in this one, troubles at
// their times; then has the rules judged from what went over the sockets.
#pragma once

#include <functional>
#include <string>

#include "scenario.hpp"
#include "trace_checker/trace_checker.hpp"

namespace paddlestand::simulation {

struct DayPlan {
  Day day;
  std::string folder;  // logs and settings go here; it exists
  std::string manager_program, engine_program;
};

struct DayResult {
  trace_checker::Verdict verdict;
  std::vector<std::string> problems;  // of the run itself: a process that died by itself, a broken log
  std::string table;  // answers by class
};

// Throws std::runtime_error where processes can't be started.
DayResult run_day(const DayPlan& plan, const std::function<void(const std::string&)>& progress);

trace_checker::Figures figures_of(const Day& day);

}  // namespace paddlestand::simulation

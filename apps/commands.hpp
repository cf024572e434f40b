// What the parts of the command line share.
#pragma once

#include <CLI/CLI.hpp>

namespace paddlestand::app {

inline constexpr int exit_well = 0;
inline constexpr int exit_failed = 1;  // a command failed; a day broke a rule
inline constexpr int exit_bad_input = 2;
inline constexpr int exit_bad_usage = 3;

void add_day(CLI::App& app, int& result);
void add_explore(CLI::App& app, int& result);
void add_platform(CLI::App& app, int& result);

}  // namespace paddlestand::app

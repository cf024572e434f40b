// What the parts of the command line share.
#pragma once

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>

#include "observe/log_events.hpp"
#include "start.hpp"

namespace paddlestand::app {

inline constexpr int exit_well = 0;
inline constexpr int exit_failed = 1;  // a command failed; a day broke a rule
inline constexpr int exit_bad_input = 2;
inline constexpr int exit_bad_usage = 3;

inline constexpr auto longest_log_end = std::chrono::milliseconds(200);

inline int complain(const std::string& text) {
  std::cerr << "paddlestand: " << text << "\n";
  return exit_bad_input;
}

// Runs a host until it ends by itself; it has begun to listen. A log whose reader is stuck does not hold up
// the end of the process.
template <typename Host>
int run_host(Hosted<Host>& hosted) {
  int code = exit_well;
  try {
    hosted.io->run();
  } catch (const std::exception& error) {
    // A manager that has lost track of an attempt can keep no promise about it.
    hosted.host->log().error(observe::LogEvent::assertion_failed, error.what());
    code = exit_failed;
  }
  hosted.host->close_connections();
  if (!hosted.host->log().close_within(longest_log_end)) std::_Exit(code);
  return code;
}

void add_day(CLI::App& app, int& result);
void add_explore(CLI::App& app, int& result);
void add_platform(CLI::App& app, int& result);

}  // namespace paddlestand::app

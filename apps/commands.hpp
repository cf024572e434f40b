/// What the subcommands share: exit codes, errors on standard error, running a host.
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

inline constexpr int exit_success = 0;
inline constexpr int exit_failure = 1;  ///< a command failed; a day broke a rule
inline constexpr int exit_bad_input = 2;
inline constexpr int exit_bad_usage = 3;

/// How long the end of the process waits for the log to be written.
inline constexpr auto max_log_close_time = std::chrono::milliseconds(200);

/// Prints an error on standard error.
inline void print_error(const std::string& text) { std::cerr << "paddlestand: " << text << "\n"; }

/// Prints an error in the input or the settings. Returns the exit code for it.
[[nodiscard]] inline int report_bad_input(const std::string& text) {
  print_error(text);
  return exit_bad_input;
}

/// Prints why a command failed. Returns the exit code for it.
[[nodiscard]] inline int report_failure(const std::string& text) {
  print_error(text);
  return exit_failure;
}

/// Parses the command line, which runs the subcommand that it names. Returns the exit code; `result` is what
/// the subcommand has set.
[[nodiscard]] inline int run_command_line(CLI::App& app, int argc, char** argv, const int& result) {
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) { return app.exit(error) == 0 ? exit_success : exit_bad_usage; }
  return result;
}

/// Runs a host that listens until it ends by itself. Returns the exit code. A log whose reader is stuck does
/// not hold up the end of the process.
template <typename Host>
int run_host(Hosted<Host>& hosted) {
  int code = exit_success;
  try {
    hosted.io->run();
  } catch (const std::exception& error) {
    // An exception leaves the state of attempts unknown: going on could execute a query twice.
    hosted.host->log().error(observe::LogEvent::assertion_failed, error.what());
    code = exit_failure;
  }
  hosted.host->close_connections();
  if (!hosted.host->log().close_within(max_log_close_time)) std::_Exit(code);
  return code;
}

// Each adds a subcommand, which sets `result` to its exit code.
void add_day_command(CLI::App& app, int& result);
void add_explore_command(CLI::App& app, int& result);
void add_platform_command(CLI::App& app, int& result);

}  // namespace paddlestand::app

/// Shared by the subcommands: exit codes, errors on standard error, running a host.
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
inline constexpr int exit_failure = 1;  ///< a command failed, or a day violated a rule
inline constexpr int exit_bad_input = 2;
inline constexpr int exit_bad_usage = 3;

/// How long the process waits at its end for the log to be written.
inline constexpr auto max_log_close_time = std::chrono::milliseconds(200);

/// Prints an error on standard error.
inline void print_error(const std::string& text) { std::cerr << "paddlestand: " << text << "\n"; }

/// Prints an error in the input or the settings. Returns its exit code.
[[nodiscard]] inline int report_bad_input(const std::string& text) {
  print_error(text);
  return exit_bad_input;
}

/// Prints why a command failed. Returns its exit code.
[[nodiscard]] inline int report_failure(const std::string& text) {
  print_error(text);
  return exit_failure;
}

/// Parses the command line and thereby runs the subcommand. Returns the exit code; `result` holds the
/// subcommand's own exit code.
[[nodiscard]] inline int run_command_line(CLI::App& app, int argc, char** argv, const int& result) {
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) { return app.exit(error) == 0 ? exit_success : exit_bad_usage; }
  return result;
}

/// Runs a host that listens, until it ends by itself. Returns the exit code. A log that cannot be written
/// delays the end of the process by at most max_log_close_time.
template <typename Host>
int run_host(Hosted<Host>& hosted) {
  int code = exit_success;
  try {
    hosted.io->run();
  } catch (const std::exception& error) {
    // After an exception the state of attempts is unknown: continuing could execute a query twice.
    hosted.host->log().error(observe::LogEvent::assertion_failed, error.what());
    code = exit_failure;
  }
  hosted.host->close_connections();
  if (!hosted.host->log().close_within(max_log_close_time)) std::_Exit(code);
  return code;
}

// Each of these adds a subcommand, which stores its exit code in `result`.
void add_day_command(CLI::App& app, int& result);
void add_explore_command(CLI::App& app, int& result);
void add_platform_command(CLI::App& app, int& result);

}  // namespace paddlestand::app

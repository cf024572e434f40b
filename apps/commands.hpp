// What the parts of the command line share.
#pragma once

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <iostream>
#include <string>

namespace paddlestand::app {

inline constexpr int exit_well = 0;
inline constexpr int exit_failed = 1;  // a command failed; a day broke a rule
inline constexpr int exit_bad_input = 2;
inline constexpr int exit_bad_usage = 3;

inline int complain(const std::string& text) {
  std::cerr << "paddlestand: " << text << "\n";
  return exit_bad_input;
}

// Runs a host until it ends by itself; it has begun to listen.
template <typename Host>
int run_host(boost::asio::io_context& io, Host& host) {
  try {
    io.run();
  } catch (const std::exception& error) {
    // A manager that has lost track of an attempt can keep no promise about it.
    host.log().error("assertion", error.what());
    std::cerr << "paddlestand: " << error.what() << "\n";
    return exit_failed;
  }
  return exit_well;
}

void add_day(CLI::App& app, int& result);
void add_explore(CLI::App& app, int& result);
void add_platform(CLI::App& app, int& result);

}  // namespace paddlestand::app

/// The program paddlestand_test_engine.
#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>

#include "server.hpp"

namespace {

using namespace paddlestand;

/// The options of the command line.
struct Options {
  test_engine::TestEngineSettings settings;
  std::string port_file;
  std::string memory_shortage = "wait";
};

void add_options(CLI::App& app, Options& options) {
  test_engine::TestEngineSettings& settings = options.settings;
  simulation::EngineShape& shape = settings.shape;
  app.add_option("--name", settings.name, "Name of the engine in its log");
  app.add_option("--port", settings.port, "Port for queries; 0: chosen by the system");
  app.add_option("--control-port", settings.control_port, "Port for commands; 0: chosen by the system");
  app.add_option("--port-file", options.port_file, "Write both ports to this file");
  app.add_option("--truth-log", settings.truth_log,
                 "Append the events of each query to this file (JSON lines)");
  app.add_option("--cores", shape.cores);
  app.add_option("--memory-mb", shape.memory_mb);
  app.add_option("--speed", shape.speed,
                 "Speed of a core, relative to a standard core; at 10, work takes a tenth of the time");
  app.add_option("--most-jobs", shape.max_jobs);
  app.add_option("--memory-shortage", options.memory_shortage)
      ->check(CLI::IsMember({"wait", "spill", "page"}));
  app.add_option("--cold-share", shape.slow_start_capacity_share);
  app.add_option("--cold-time", shape.slow_start_duration, "Seconds");
  app.add_option("--fall-multiple", shape.overload_multiple);
  app.add_option("--fall-window", shape.overload_window, "Seconds");
  app.add_option("--note-period", settings.progress_period_s, "Seconds between progress reports; 0: none");
  app.add_option("--seed", settings.seed);
  app.add_flag("--cold", settings.starts_in_slow_start, "Start in slow start");
}

simulation::MemoryShortagePolicy parse_memory_shortage_policy(const std::string& text) {
  if (text == "wait") return simulation::MemoryShortagePolicy::wait;
  if (text == "spill") return simulation::MemoryShortagePolicy::spill;
  return simulation::MemoryShortagePolicy::page;
}

/// Replaces the file atomically, so that a reader sees both ports or none. Returns whether it succeeded.
bool write_port_file(const std::string& path, const test_engine::Server& server) {
  const std::string replacement = path + ".new";
  std::ofstream(replacement) << server.port() << " " << server.control_port() << "\n";
  return std::rename(replacement.c_str(), path.c_str()) == 0;
}

int run(const Options& options) {
  boost::asio::io_context io(1);
  test_engine::Server server(io, options.settings);
  server.start();
  if (!options.port_file.empty() && !write_port_file(options.port_file, server)) return 2;
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](const auto&, int) { io.stop(); });
  io.run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Simulates an analytic engine for tests on the loopback interface"};
  Options options;
  add_options(app, options);
  CLI11_PARSE(app, argc, argv);
  options.settings.shape.memory_shortage_policy = parse_memory_shortage_policy(options.memory_shortage);
  signal(SIGPIPE, SIG_IGN);
  try {
    return run(options);
  } catch (const std::exception& error) {
    std::cerr << "paddlestand_test_engine: " << error.what() << "\n";
    return 1;
  }
}

#include <signal.h>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>

#include "server.hpp"

int main(int argc, char** argv) {
  using namespace paddlestand;
  CLI::App app{"A stand-in for an analytic engine, for tests and trials on loopback"};
  test_engine::TestEngineSettings s;
  std::string port_file, shortage = "wait";
  app.add_option("--name", s.name, "Its name in its log");
  app.add_option("--port", s.port, "Port for queries; 0: any");
  app.add_option("--control-port", s.control_port, "Port for commands; 0: any");
  app.add_option("--port-file", port_file, "Write both ports to this file");
  app.add_option("--truth-log", s.truth_log, "Append what becomes of each query to this file (JSON lines)");
  app.add_option("--cores", s.shape.cores);
  app.add_option("--memory-mb", s.shape.memory_mb);
  app.add_option("--speed", s.shape.speed, "Of a core; 10: all work takes a tenth of its time");
  app.add_option("--most-jobs", s.shape.most_jobs);
  app.add_option("--memory-shortage", shortage)->check(CLI::IsMember({"wait", "spill", "page"}));
  app.add_option("--cold-share", s.shape.slow_start_capacity_share);
  app.add_option("--cold-time", s.shape.slow_start_duration, "Seconds");
  app.add_option("--fall-multiple", s.shape.overload_multiple);
  app.add_option("--fall-window", s.shape.overload_window, "Seconds");
  app.add_option("--note-period", s.note_period_s, "Seconds between notes of progress; 0: none");
  app.add_option("--seed", s.seed);
  app.add_flag("--cold", s.cold, "Begin cold");
  CLI11_PARSE(app, argc, argv);
  s.shape.when_short = shortage == "wait"    ? simulation::MemoryShort::wait_in_line
                       : shortage == "spill" ? simulation::MemoryShort::spill
                                             : simulation::MemoryShort::page;
  signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context io(1);
  try {
    test_engine::Server server(io, s);
    server.start();
    if (!port_file.empty()) {
      const std::string fresh = port_file + ".new";
      std::ofstream(fresh) << server.port() << " " << server.control_port() << "\n";
      if (std::rename(fresh.c_str(), port_file.c_str()) != 0) return 2;
    }
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](const auto&, int) { io.stop(); });
    io.run();
  } catch (const std::exception& error) {
    std::cerr << "paddlestand_test_engine: " << error.what() << "\n";
    return 1;
  }
  return 0;
}

/// Measures the overhead of the manager: throughput and latency through the manager, directly to an engine,
/// and through a plain byte relay. All three are measured in one run, so that their ratios are meaningful on
/// a noisy machine. See docs/bench.md.
#include <sys/resource.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <string>
#include <utility>
#include <vector>

#include "byte_relay.hpp"
#include "child_process.hpp"
#include "instant_engine.hpp"
#include "load_generator.hpp"
#include "protocol/pg/messages.hpp"

namespace {

namespace pg = paddlestand::pg;
using namespace paddlestand::bench;

constexpr int default_clients = 64;
constexpr int idle_clients = 2000;
constexpr int unlimited_cores = 4000;  // so many engine cores that admission control never delays a query

/// Logs in `count` clients that send no query, and prints the memory of the manager before and after.
void measure_idle_clients(const ManagerProcess& manager, int count) {
  constexpr double kb_per_mb = 1024;
  const long before_kb = manager.resident_kb();
  asio::io_context io;
  std::vector<tcp::socket> sockets;
  std::string startup;
  const std::vector<std::pair<std::string, std::string>> parameters{{"user", "idle"}, {"database", "bench"}};
  pg::put_startup(startup, parameters);
  for (int i = 0; i < count; ++i) {
    tcp::socket& socket = sockets.emplace_back(io);
    socket.connect(loopback(manager.port()));
    asio::write(socket, asio::buffer(startup));
    std::array<char, 2048> unused{};
    socket.read_some(asio::buffer(unused));
  }
  std::printf("%d idle clients: %.1f MB resident in total, %.1f MB before\n", count,
              static_cast<double>(manager.resident_kb()) / kb_per_mb,
              static_cast<double>(before_kb) / kb_per_mb);
}

/// Raises the soft limit of file descriptors to the hard limit.
void raise_descriptor_limit() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

void print_header() {
  std::printf("%-6s %7s | %9s %8s %8s | %9s %8s %8s | %9s %8s %8s | %7s %9s\n", "answer", "clients",
              "direct/s", "p50 us", "p99 us", "relay/s", "p50 us", "p99 us", "manager/s", "p50 us", "p99 us",
              "of relay", "added p50");
}

/// The ports of the three measured paths.
struct Ports {
  std::uint16_t engine = 0;
  std::uint16_t relay = 0;
  std::uint16_t manager = 0;
};

/// Measures one load on each path in sequence, and prints a row of the table.
void measure_row(const Ports& ports, const char* answer, const char* statement, int clients,
                 std::chrono::milliseconds duration) {
  const LoadResult direct = LoadGenerator(ports.engine, clients, statement, duration).run();
  const LoadResult relay = LoadGenerator(ports.relay, clients, statement, duration).run();
  const LoadResult manager = LoadGenerator(ports.manager, clients, statement, duration).run();
  const double manager_added_us = manager.p50_us - direct.p50_us;
  const double relay_added_us = std::max(1.0, relay.p50_us - direct.p50_us);
  std::printf("%-6s %7d | %9.0f %8.0f %8.0f | %9.0f %8.0f %8.0f | %9.0f %8.0f %8.0f | %7.2f %9.2f\n", answer,
              clients, direct.answers_per_s, direct.p50_us, direct.p99_us, relay.answers_per_s, relay.p50_us,
              relay.p99_us, manager.answers_per_s, manager.p50_us, manager.p99_us,
              manager.answers_per_s / relay.answers_per_s, manager_added_us / relay_added_us);
  std::fflush(stdout);
  if (manager.rejected_count > 0) std::printf("       %zu rejected\n", manager.rejected_count);
}

/// Measures throughput and latency of all three paths, then the memory of idle clients.
void measure_overhead(const std::string& self, const std::string& manager_program, const std::string& folder,
                      std::chrono::milliseconds duration) {
  ChildProcess engine(self, {"engine"});
  Ports ports;
  ports.engine = engine.read_port();
  ChildProcess relay(self, {"relay", std::to_string(ports.engine)});
  ports.relay = relay.read_port();
  const ManagerProcess manager(manager_program, folder, ports.engine, unlimited_cores);
  ports.manager = manager.port();
  print_header();
  for (const int clients : {1, 16, 64, 512})
    measure_row(ports, "small", "select 'small' /*cost_ms='1'*/", clients, duration);
  for (const int clients : {1, 16})
    measure_row(ports, "big", "select 'big' /*cost_ms='50'*/", clients, duration);
  measure_idle_clients(manager, idle_clients);
}

/// Measures the latency of rejections. The manager is configured for an engine with one core and receives ten
/// times the load that this core can serve.
void measure_rejections(const std::string& self, const std::string& manager_program,
                        const std::string& folder, std::chrono::milliseconds duration) {
  ChildProcess engine(self, {"engine"});
  const ManagerProcess manager(manager_program, folder, engine.read_port(), 1);
  const LoadResult result =
      LoadGenerator(manager.port(), default_clients, "select 'small' /*cost_ms='2000'*/", duration).run();
  std::printf("rejections under overload: %zu, p50 %.0f us\n", result.rejected_count, result.rejected_p50_us);
}

int measure(const std::string& manager_program, std::chrono::milliseconds duration) {
  const std::string self = std::filesystem::read_symlink("/proc/self/exe").string();
  std::string folder = (std::filesystem::temp_directory_path() / "paddlestand-bench-XXXXXX").string();
  if (mkdtemp(folder.data()) == nullptr) return EXIT_FAILURE;
  raise_descriptor_limit();
  measure_overhead(self, manager_program, folder, duration);
  measure_rejections(self, manager_program, folder, duration);
  std::filesystem::remove_all(folder);
  return EXIT_SUCCESS;
}

/// Puts load on one port, for profiling the process that listens on it.
void run_load(std::uint16_t port, int clients, std::chrono::milliseconds duration) {
  const LoadResult result = LoadGenerator(port, clients, "select 'small' /*cost_ms='1'*/", duration).run();
  std::printf("%.0f/s, p50 %.0f us, p99 %.0f us, %zu rejected\n", result.answers_per_s, result.p50_us,
              result.p99_us, result.rejected_count);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Measures the overhead of the workload manager compared with a plain byte relay"};
  app.require_subcommand(1);
  int result = EXIT_SUCCESS;
  int milliseconds = 2000;
  int clients = default_clients;
  std::uint16_t port = 0;
  std::string manager;
  auto* engine_command = app.add_subcommand("engine", "Run an engine that answers immediately");
  engine_command->callback([] { run_instant_engine(); });
  auto* relay_command = app.add_subcommand("relay", "Run a byte relay");
  relay_command->add_option("port", port)->required();
  relay_command->callback([&] { run_byte_relay(port); });
  auto* load_command = app.add_subcommand("load", "Put load on one port, for profiling");
  load_command->add_option("port", port)->required();
  load_command->add_option("--clients", clients);
  load_command->add_option("--milliseconds", milliseconds);
  load_command->callback([&] { run_load(port, clients, std::chrono::milliseconds(milliseconds)); });
  auto* run_command = app.add_subcommand("run", "Run all measurements and print a table");
  run_command->add_option("--manager", manager, "Path of the program paddlestand")->required();
  run_command->add_option("--milliseconds", milliseconds, "Duration of each measurement");
  run_command->callback([&] { result = measure(manager, std::chrono::milliseconds(milliseconds)); });
  CLI11_PARSE(app, argc, argv);
  return result;
}

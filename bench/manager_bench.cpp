/// What the manager costs: throughput and latency through it, straight to an engine, and through a plain byte
/// relay in its place, in one run, so that ratios hold on a noisy machine. See docs/bench.md.
#include <sys/resource.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/process.hpp>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <thread>

#include "load_generator.hpp"
#include "protocol/pg/frame.hpp"
#include "protocol/pg/messages.hpp"

namespace bp = boost::process;
namespace pg = paddlestand::pg;
using namespace std::chrono_literals;
using namespace paddlestand::bench;

namespace {

void print_port(std::uint16_t port) {
  std::printf("%u\n", port);
  std::fflush(stdout);
}

// ---- An engine that answers at once, from a buffer ----

/// The bytes of a complete answer with so many bytes of rows.
std::string make_answer(std::size_t bytes) {
  std::string out;
  const pg::Column column{"v", 25, -1};
  pg::put_row_description(out, {&column, 1});
  const std::string value(std::min<std::size_t>(bytes, 1000), 'x');
  const std::string_view cell = value;
  for (std::size_t at = 0; at < bytes; at += value.size()) pg::put_row(out, {&cell, 1});
  pg::put_complete(out, "SELECT 1");
  pg::put_ready(out, 'I');
  return out;
}

asio::awaitable<void> serve_client(tcp::socket socket, const std::map<std::size_t, std::string>& answers) {
  pg::FrameReader frames(1U << 20U);
  std::vector<char> buffer(16384);
  bool startup = true;
  std::string out;
  error_code error;
  socket.set_option(tcp::no_delay(true), error);
  while (!error) {
    const std::size_t got = co_await socket.async_read_some(asio::buffer(buffer),
                                                            asio::redirect_error(asio::use_awaitable, error));
    if (error) break;
    frames.feed({buffer.data(), got});
    out.clear();
    while (const auto frame = frames.next(!startup)) {
      if (startup) {
        pg::put_authentication(out, 0);
        pg::put_key(out, {1, 1});
        pg::put_ready(out, 'I');
        startup = false;
      } else if (frame->type == 'Q') {
        if (frame->body.starts_with("SET") || frame->body.starts_with("RESET")) {
          pg::put_complete(out, "SET");
          pg::put_ready(out, 'I');
        } else {
          out += answers.at(frame->body.find("big") != std::string_view::npos ? 1 : 0);
        }
      }
    }
    if (!out.empty()) {
      co_await asio::async_write(socket, asio::buffer(out), asio::redirect_error(asio::use_awaitable, error));
    }
  }
}

int engine() {
  asio::io_context io(1);
  tcp::acceptor acceptor(io, loopback(0));
  print_port(acceptor.local_endpoint().port());
  const std::map<std::size_t, std::string> answers{{0, make_answer(16)}, {1, make_answer(10'000'000)}};
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        for (;;) {
          asio::co_spawn(io, serve_client(co_await acceptor.async_accept(asio::use_awaitable), answers),
                         asio::detached);
        }
      },
      asio::detached);
  io.run();
  return 0;
}

// ---- A relay that moves bytes and knows nothing ----

asio::awaitable<void> pump(std::shared_ptr<tcp::socket> from, std::shared_ptr<tcp::socket> to) {
  std::vector<char> buffer(std::size_t{64} * 1024);
  error_code error;
  while (!error) {
    const std::size_t got = co_await from->async_read_some(asio::buffer(buffer),
                                                           asio::redirect_error(asio::use_awaitable, error));
    if (error) break;
    co_await asio::async_write(*to, asio::buffer(buffer.data(), got),
                               asio::redirect_error(asio::use_awaitable, error));
  }
  to->close(error);
}

int relay(std::uint16_t port) {
  asio::io_context io(1);
  tcp::acceptor acceptor(io, loopback(0));
  print_port(acceptor.local_endpoint().port());
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        for (;;) {
          auto client = std::make_shared<tcp::socket>(co_await acceptor.async_accept(asio::use_awaitable));
          auto server = std::make_shared<tcp::socket>(io);
          co_await server->async_connect(loopback(port), asio::use_awaitable);
          client->set_option(tcp::no_delay(true));
          server->set_option(tcp::no_delay(true));
          asio::co_spawn(io, pump(client, server), asio::detached);
          asio::co_spawn(io, pump(server, client), asio::detached);
        }
      },
      asio::detached);
  io.run();
  return 0;
}

// ---- Measurements ----

/// A child process that ends with its object.
class Child {
 public:
  Child(const std::string& program, const std::vector<std::string>& args, bool tells_port)
      : child_(program, bp::args(args), bp::std_out > out_, bp::std_in<bp::null, bp::std_err> bp::null) {
    if (tells_port) out_ >> port_;
  }
  ~Child() {
    std::error_code ignored;
    child_.terminate(ignored);
    child_.wait(ignored);
  }
  [[nodiscard]] std::uint16_t port() const { return port_; }
  [[nodiscard]] int id() const { return child_.id(); }

 private:
  bp::ipstream out_;
  bp::child child_;
  std::uint16_t port_ = 0;
};

struct ManagerProcess {
  ManagerProcess(const std::string& program, const std::string& folder, std::uint16_t engine,
                 const char* cores)
      : file(folder + "/manager.xml") {
    std::ofstream(file) << R"(<manager xmlns="urn:paddlestand:manager:1" name="bench"><listen port="0"/>
      <engine-links most-per-engine="600" idle-per-engine="600"/><kinds><kind name="std" cores=")"
                        << cores << R"(" memory-mb="100000"/></kinds>
      <classes otherwise="q"><class name="q" aim="5s" deadline="20s" late-worth="1" repeat="safe"/></classes>
      <decisions/><engines><engine id="1" name="e" address="127.0.0.1" kind="std" port=")"
                        << engine << R"("/></engines><log level="warning"/></manager>)";
    std::remove((folder + "/port").c_str());
    process = std::make_unique<Child>(
        program, std::vector<std::string>{"serve", "-c", file, "--port-file", folder + "/port"}, false);
    for (int i = 0; i < 2000 && port == 0; ++i) {
      std::this_thread::sleep_for(5ms);
      std::ifstream(folder + "/port") >> port;
    }
  }
  std::string file;
  std::unique_ptr<Child> process;
  std::uint16_t port = 0;
};

long resident_kb(int process) {
  std::ifstream in("/proc/" + std::to_string(process) + "/status");
  for (std::string line; std::getline(in, line);)
    if (line.starts_with("VmRSS:")) return std::atol(line.c_str() + 6);
  return -1;
}

void idle_clients(const ManagerProcess& manager, int count) {
  const long before = resident_kb(manager.process->id());
  asio::io_context io;
  std::vector<tcp::socket> sockets;
  std::string hello;
  const std::vector<std::pair<std::string, std::string>> who{{"user", "idle"}, {"database", "bench"}};
  pg::put_startup(hello, who);
  for (int i = 0; i < count; ++i) {
    sockets.emplace_back(io);
    sockets.back().connect(loopback(manager.port));
    asio::write(sockets.back(), asio::buffer(hello));
    std::array<char, 2048> unused{};
    sockets.back().read_some(asio::buffer(unused));
  }
  std::printf("%d idle clients: %.1f MB resident in all, %.1f MB before\n", count,
              static_cast<double>(resident_kb(manager.process->id())) / 1024,
              static_cast<double>(before) / 1024);
}

/// Allows the process as many file descriptors as its hard limit does.
void raise_descriptor_limit() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

void print_header() {
  std::printf("%-6s %7s | %9s %8s %8s | %9s %8s %8s | %9s %8s %8s | %7s %9s\n", "answer", "clients",
              "straight/s", "p50 us", "p99 us", "relay/s", "p50 us", "p99 us", "manager/s", "p50 us",
              "p99 us", "of relay", "added p50");
}

struct Ports {
  std::uint16_t engine = 0;
  std::uint16_t relay = 0;
  std::uint16_t manager = 0;
};

void measure_row(const Ports& ports, const char* answer, const char* statement, int clients,
                 std::chrono::milliseconds length) {
  const LoadResult direct = Load(ports.engine, clients, statement, length).run();
  const LoadResult relay = Load(ports.relay, clients, statement, length).run();
  const LoadResult manager = Load(ports.manager, clients, statement, length).run();
  std::printf("%-6s %7d | %9.0f %8.0f %8.0f | %9.0f %8.0f %8.0f | %9.0f %8.0f %8.0f | %7.2f %9.2f\n", answer,
              clients, direct.per_s, direct.p50_us, direct.p99_us, relay.per_s, relay.p50_us, relay.p99_us,
              manager.per_s, manager.p50_us, manager.p99_us, manager.per_s / relay.per_s,
              (manager.p50_us - direct.p50_us) / std::max(1.0, relay.p50_us - direct.p50_us));
  std::fflush(stdout);
  if (manager.rejected > 0) std::printf("       %zu were refused\n", manager.rejected);
}

void measure_overhead(const std::string& self, const std::string& manager_program, const std::string& folder,
                      std::chrono::milliseconds length) {
  const Child engine(self, {"engine"}, true);
  const Child relay(self, {"relay", std::to_string(engine.port())}, true);
  // So many cores that admission limits nothing: the path is measured, not the limit.
  const ManagerProcess manager(manager_program, folder, engine.port(), "4000");
  const Ports ports{engine.port(), relay.port(), manager.port};
  print_header();
  for (const int clients : {1, 16, 64, 512})
    measure_row(ports, "small", "select 'small' /*cost_ms='1'*/", clients, length);
  for (const int clients : {1, 16})
    measure_row(ports, "big", "select 'big' /*cost_ms='50'*/", clients, length);
  idle_clients(manager, 2000);
}

/// One core's worth of engine, under ten times the load that it is configured for.
void measure_rejections(const std::string& self, const std::string& manager_program,
                        const std::string& folder, std::chrono::milliseconds length) {
  const Child engine(self, {"engine"}, true);
  const ManagerProcess manager(manager_program, folder, engine.port(), "1");
  const LoadResult result = Load(manager.port, 64, "select 'small' /*cost_ms='2000'*/", length).run();
  std::printf("refusals under overload: %zu, p50 %.0f us\n", result.rejected, result.rejected_p50_us);
}

int measure(const std::string& manager_program, std::chrono::milliseconds length) {
  const std::string self = std::filesystem::read_symlink("/proc/self/exe").string();
  std::string folder = (std::filesystem::temp_directory_path() / "paddlestand-bench-XXXXXX").string();
  if (mkdtemp(folder.data()) == nullptr) return 1;
  raise_descriptor_limit();
  measure_overhead(self, manager_program, folder, length);
  measure_rejections(self, manager_program, folder, length);
  std::filesystem::remove_all(folder);
  return 0;
}

void load(std::uint16_t port, int clients, std::chrono::milliseconds length) {
  const LoadResult result = Load(port, clients, "select 'small' /*cost_ms='1'*/", length).run();
  std::printf("%.0f/s, p50 %.0f us, p99 %.0f us, %zu refused\n", result.per_s, result.p50_us, result.p99_us,
              result.rejected);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"What the workload manager costs, against a bare relay"};
  app.require_subcommand(1);
  int result = 0;
  int milliseconds = 2000;
  int clients = 64;
  std::uint16_t port = 0;
  std::string manager;
  app.add_subcommand("engine", "An engine that answers at once")->callback([&] { result = engine(); });
  auto* relay_command = app.add_subcommand("relay", "A byte relay");
  relay_command->add_option("port", port)->required();
  relay_command->callback([&] { result = relay(port); });
  auto* load_command = app.add_subcommand("load", "Closed loops against one port, for a profile");
  load_command->add_option("port", port)->required();
  load_command->add_option("--clients", clients);
  load_command->add_option("--milliseconds", milliseconds);
  load_command->callback([&] { load(port, clients, std::chrono::milliseconds(milliseconds)); });
  auto* run_command = app.add_subcommand("run", "Measure all, and print a table");
  run_command->add_option("--manager", manager, "The program paddlestand")->required();
  run_command->add_option("--milliseconds", milliseconds, "For each cell");
  run_command->callback([&] { result = measure(manager, std::chrono::milliseconds(milliseconds)); });
  CLI11_PARSE(app, argc, argv);
  return result;
}

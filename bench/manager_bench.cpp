// What the manager costs: throughput and latency through it, straight to an engine, and through a bare byte
// relay in its place, in one run, so that ratios hold on a noisy machine. See docs/capacity.md.
#include <sys/resource.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
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

#include "protocol/pg/frame.hpp"
#include "protocol/pg/messages.hpp"

namespace asio = boost::asio;
namespace bp = boost::process;
namespace pg = paddlestand::pg;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::steady_clock;
using namespace std::chrono_literals;

namespace {

tcp::endpoint loopback(std::uint16_t port) { return {asio::ip::address_v4::loopback(), port}; }

void say_port(std::uint16_t port) {
  std::printf("%u\n", port);
  std::fflush(stdout);
}

// ---- An engine that answers at once, from a buffer ----

std::string canned(std::size_t bytes) {
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

asio::awaitable<void> engine_seat(tcp::socket socket, const std::map<std::size_t, std::string>& answers) {
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
    if (!out.empty())
      co_await asio::async_write(socket, asio::buffer(out), asio::redirect_error(asio::use_awaitable, error));
  }
}

int engine() {
  asio::io_context io(1);
  tcp::acceptor acceptor(io, loopback(0));
  say_port(acceptor.local_endpoint().port());
  const std::map<std::size_t, std::string> answers{{0, canned(16)}, {1, canned(10'000'000)}};
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        for (;;)
          asio::co_spawn(io, engine_seat(co_await acceptor.async_accept(asio::use_awaitable), answers),
                         asio::detached);
      },
      asio::detached);
  io.run();
  return 0;
}

// ---- A relay that moves bytes and knows nothing ----

asio::awaitable<void> pump(std::shared_ptr<tcp::socket> from, std::shared_ptr<tcp::socket> to) {
  std::vector<char> buffer(64 * 1024);
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
  say_port(acceptor.local_endpoint().port());
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

// ---- Clients in closed loops ----

struct Measured {
  double per_s = 0, p50_us = 0, p99_us = 0, refused_p50_us = 0, mb_per_s = 0;
  std::size_t refused = 0;
};

class Load {
 public:
  Load(std::uint16_t port, int clients, std::string text, std::chrono::milliseconds length)
      : port_(port), clients_(clients), text_(std::move(text)), length_(length) {}

  Measured run() {
    for (int i = 0; i < clients_; ++i) asio::co_spawn(io_, client(), asio::detached);
    io_.run();
    Measured out;
    const auto quantile = [](std::vector<double>& all, double q) {
      if (all.empty()) return 0.0;
      std::sort(all.begin(), all.end());
      return all[static_cast<std::size_t>(q * static_cast<double>(all.size() - 1))];
    };
    const double span = std::chrono::duration<double>(last_ - first_).count();
    out.per_s = static_cast<double>(took_.size() + refused_.size()) / span;
    out.mb_per_s = static_cast<double>(bytes_) / span / 1e6;
    out.p50_us = quantile(took_, 0.5);
    out.p99_us = quantile(took_, 0.99);
    out.refused = refused_.size();
    out.refused_p50_us = quantile(refused_, 0.5);
    return out;
  }

 private:
  asio::awaitable<void> client() {
    error_code error;
    tcp::socket socket(io_);
    co_await socket.async_connect(loopback(port_), asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
    socket.set_option(tcp::no_delay(true));
    std::string out;
    const std::vector<std::pair<std::string, std::string>> who{{"user", "bench"}, {"database", "bench"}};
    pg::put_startup(out, who);
    pg::FrameReader frames(16U << 20U);
    std::vector<char> buffer(64 * 1024);
    bool first = true;
    for (;;) {
      const auto from = steady_clock::now();
      co_await asio::async_write(socket, asio::buffer(out), asio::redirect_error(asio::use_awaitable, error));
      bool ready = false, refused = false;
      while (!ready && !error) {
        const std::size_t got = co_await socket.async_read_some(
            asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
        if (error) co_return;
        if (!first) bytes_ += got;
        frames.feed({buffer.data(), got});
        while (const auto frame = frames.next()) {
          ready |= frame->type == 'Z';
          refused |= frame->type == 'E';
        }
      }
      if (error) co_return;
      const auto now = steady_clock::now();
      if (first) {
        // All begin together once all are in.
        if (++in_ == clients_) {
          first_ = now;
          end_ = now + length_;
          gate_.cancel();
        } else {
          co_await gate_.async_wait(asio::redirect_error(asio::use_awaitable, error));
        }
        out.clear();
        pg::put_query(out, text_);
        first = false;
        continue;
      }
      last_ = std::max(last_, now);
      (refused ? refused_ : took_).push_back(std::chrono::duration<double, std::micro>(now - from).count());
      if (now >= end_) co_return;
    }
  }

  asio::io_context io_{1};
  asio::steady_timer gate_{io_, steady_clock::time_point::max()};
  std::uint16_t port_;
  int clients_, in_ = 0;
  std::string text_;
  std::chrono::milliseconds length_;
  steady_clock::time_point first_, last_, end_;
  std::vector<double> took_, refused_;
  std::size_t bytes_ = 0;
};

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
    char unused[2048];
    sockets.back().read_some(asio::buffer(unused));
  }
  std::printf("%d idle clients: %.1f MB resident in all, %.1f MB before\n", count,
              static_cast<double>(resident_kb(manager.process->id())) / 1024,
              static_cast<double>(before) / 1024);
}

int measure(const std::string& manager_program, int milliseconds) {
  const std::string self = std::filesystem::read_symlink("/proc/self/exe").string();
  std::string folder = (std::filesystem::temp_directory_path() / "paddlestand-bench-XXXXXX").string();
  if (mkdtemp(folder.data()) == nullptr) return 1;
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
  {
    const Child engine(self, {"engine"}, true);
    const Child relay(self, {"relay", std::to_string(engine.port())}, true);
    // Cores enough that the module binds nothing: what is measured is the way, not the bound.
    const ManagerProcess manager(manager_program, folder, engine.port(), "4000");
    std::printf("%-6s %7s | %9s %8s %8s | %9s %8s %8s | %9s %8s %8s | %7s %9s\n", "answer", "clients",
                "straight/s", "p50 us", "p99 us", "relay/s", "p50 us", "p99 us", "manager/s", "p50 us",
                "p99 us", "of relay", "added p50");
    for (const char* what : {"small", "big"}) {
      for (const int clients : {1, 16, 64, 512}) {
        if (what[0] == 'b' && clients > 16) continue;
        const std::string text =
            std::string("select '") + what + (what[0] == 'b' ? "' /*cost_ms='50'*/" : "' /*cost_ms='1'*/");
        const auto run = [&](std::uint16_t port) {
          return Load(port, clients, text, std::chrono::milliseconds(milliseconds)).run();
        };
        const Measured a = run(engine.port()), b = run(relay.port()), c = run(manager.port);
        std::printf("%-6s %7d | %9.0f %8.0f %8.0f | %9.0f %8.0f %8.0f | %9.0f %8.0f %8.0f | %7.2f %9.2f\n",
                    what, clients, a.per_s, a.p50_us, a.p99_us, b.per_s, b.p50_us, b.p99_us, c.per_s,
                    c.p50_us, c.p99_us, c.per_s / b.per_s,
                    (c.p50_us - a.p50_us) / std::max(1.0, b.p50_us - a.p50_us));
        std::fflush(stdout);
        if (c.refused > 0) std::printf("       %zu were refused\n", c.refused);
      }
    }
    idle_clients(manager, 2000);
  }
  {
    // One core's worth of engine, asked for ten times as much as it is said to do.
    const Child engine(self, {"engine"}, true);
    const ManagerProcess manager(manager_program, folder, engine.port(), "1");
    const Measured m =
        Load(manager.port, 64, "select 'small' /*cost_ms='2000'*/", std::chrono::milliseconds(milliseconds))
            .run();
    std::printf("refusals under overload: %zu, p50 %.0f us\n", m.refused, m.refused_p50_us);
  }
  std::filesystem::remove_all(folder);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"What the workload manager costs, against a bare relay"};
  app.require_subcommand(1);
  int result = 0, milliseconds = 2000;
  std::uint16_t port = 0;
  std::string manager;
  app.add_subcommand("engine", "An engine that answers at once")->callback([&] { result = engine(); });
  auto* r = app.add_subcommand("relay", "A byte relay");
  r->add_option("port", port)->required();
  r->callback([&] { result = relay(port); });
  int clients = 64;
  auto* l = app.add_subcommand("load", "Closed loops against one port, for a profile");
  l->add_option("port", port)->required();
  l->add_option("--clients", clients);
  l->add_option("--milliseconds", milliseconds);
  l->callback([&] {
    const Measured one =
        Load(port, clients, "select 'small' /*cost_ms='1'*/", std::chrono::milliseconds(milliseconds)).run();
    std::printf("%.0f/s, p50 %.0f us, p99 %.0f us, %zu refused\n", one.per_s, one.p50_us, one.p99_us,
                one.refused);
  });
  auto* m = app.add_subcommand("run", "Measure all, and print a table");
  m->add_option("--manager", manager, "The program paddlestand")->required();
  m->add_option("--milliseconds", milliseconds, "For each cell");
  m->callback([&] { result = measure(manager, milliseconds); });
  CLI11_PARSE(app, argc, argv);
  return result;
}

#include "child_process.hpp"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string_view>
#include <system_error>
#include <thread>

namespace paddlestand::bench {
namespace {

using namespace std::chrono_literals;
namespace bp = boost::process;

constexpr int max_port_polls = 2000;
constexpr auto port_poll_interval = 5ms;

void write_settings(const std::string& path, std::uint16_t engine_port, int engine_cores) {
  std::ofstream(path) << R"(<manager xmlns="urn:paddlestand:manager:1" name="bench"><listen port="0"/>
      <engine-links most-per-engine="600" idle-per-engine="600"/><kinds><kind name="std" cores=")"
                      << engine_cores << R"(" memory-mb="100000"/></kinds>
      <classes otherwise="q"><class name="q" aim="5s" deadline="20s" late-worth="1" repeat="safe"/></classes>
      <decisions/><engines><engine id="1" name="e" address="127.0.0.1" kind="std" port=")"
                      << engine_port << R"("/></engines><log level="warning"/></manager>)";
}

/// Polls the file to which the manager writes its port. Returns 0 on timeout.
std::uint16_t wait_for_port(const std::string& path) {
  std::uint16_t port = 0;
  for (int i = 0; i < max_port_polls && port == 0; ++i) {
    std::this_thread::sleep_for(port_poll_interval);
    std::ifstream(path) >> port;
  }
  return port;
}

}  // namespace

ChildProcess::ChildProcess(const std::string& program, const std::vector<std::string>& arguments)
    : child_(program, bp::args(arguments), bp::std_out > output_,
             bp::std_in<bp::null, bp::std_err> bp::null) {}

ChildProcess::~ChildProcess() {
  std::error_code ignored;
  child_.terminate(ignored);
  child_.wait(ignored);
}

std::uint16_t ChildProcess::read_port() {
  std::uint16_t port = 0;
  output_ >> port;
  return port;
}

ManagerProcess::ManagerProcess(const std::string& program, const std::string& folder,
                               std::uint16_t engine_port, int engine_cores) {
  const std::string settings_file = folder + "/manager.xml";
  const std::string port_file = folder + "/port";
  write_settings(settings_file, engine_port, engine_cores);
  std::remove(port_file.c_str());
  const std::vector<std::string> arguments{"serve", "-c", settings_file, "--port-file", port_file};
  process_ = std::make_unique<ChildProcess>(program, arguments);
  port_ = wait_for_port(port_file);
}

long ManagerProcess::resident_kb() const {
  constexpr std::string_view label = "VmRSS:";
  std::ifstream status("/proc/" + std::to_string(process_->id()) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(label)) return std::atol(line.c_str() + label.size());
  }
  return -1;
}

}  // namespace paddlestand::bench

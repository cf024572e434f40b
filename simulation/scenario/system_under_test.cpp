#include "system_under_test.hpp"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "runner.hpp"
#include "trace_checker/log_words.hpp"

namespace paddlestand::simulation {
namespace {

using namespace std::chrono_literals;
using std::chrono::steady_clock;

constexpr auto start_timeout = 20s;  // for a process to write its port file
constexpr auto shutdown_timeout = 4s;
constexpr auto poll_period = 10ms;
constexpr auto port_file_poll_period = 5ms;

std::string number_text(double value) {
  std::ostringstream out;
  out << value;
  return out.str();
}

std::string seconds_text(Duration duration) {
  return number_text(static_cast<double>(duration.count()) * 1e-9);
}

/// Waits until a process has written its port to a file. Throws std::runtime_error after the timeout.
long wait_for_port(const std::string& path) {
  const auto deadline = steady_clock::now() + start_timeout;
  while (steady_clock::now() < deadline) {
    long port = 0;
    std::ifstream file(path);
    if (file >> port && port > 0) return port;
    std::this_thread::sleep_for(port_file_poll_period);
  }
  throw std::runtime_error("a process did not start: timed out waiting for " + path);
}

}  // namespace

LogFile open_log(const std::string& folder, const std::string& name) {
  LogFile file(std::fopen((folder + "/" + name).c_str(), "w"));
  if (file == nullptr) throw std::runtime_error(folder + ": cannot be written to");
  return file;
}

SystemUnderTest::SystemUnderTest(const DayPlan& plan)
    : plan_(plan),
      day_(plan.day),
      events_(open_log(plan.folder, "events.jsonl")),
      engines_(day_.engines),
      listed_(day_.engines),
      published_(day_.engines, ListedState::ready),
      managers_(day_.managers) {}

void SystemUnderTest::start() {
  for (std::uint32_t index = 0; index < day_.engines; ++index) start_engine(index, {});
  publish_list();
  for (std::uint32_t index = 0; index < day_.managers; ++index) start_manager(index);
  for (std::uint32_t index = 0; index < day_.engines; ++index) wait_for_engine(index);
  publish_list();
  for (std::uint32_t index = 0; index < day_.managers; ++index) {
    managers_[index].port = static_cast<std::uint16_t>(wait_for_port(manager_file(index, "port")));
    write_manager_configuration(index);  // with its port, which it keeps after a restart
  }
}

void SystemUnderTest::log_event(const nlohmann::json& event) {
  nlohmann::json line{{"t", steady_clock::now().time_since_epoch().count()}};
  line.update(event);
  const std::string text = line.dump() + "\n";
  std::fwrite(text.data(), 1, text.size(), events_.get());
}

std::string SystemUnderTest::engine_file(std::uint32_t index, const char* extension) const {
  return plan_.folder + "/" + engine_name(index) + "." + extension;
}

std::string SystemUnderTest::manager_file(std::uint32_t index, const char* extension) const {
  return plan_.folder + "/" + manager_name(index) + "." + extension;
}

// ---- Engines ----

std::vector<std::string> SystemUnderTest::engine_arguments(std::uint32_t index) const {
  return {"--name",
          engine_name(index),
          "--port",
          std::to_string(listed_[index].port),
          "--control-port",
          std::to_string(engines_[index].control_port),
          "--port-file",
          engine_file(index, "ports"),
          "--truth-log",
          engine_file(index, "jsonl"),
          "--cores",
          number_text(day_.cores),
          "--memory-mb",
          number_text(day_.memory_mb),
          "--speed",
          number_text(day_.speed),
          "--memory-shortage",
          day_.memory_shortage,
          "--cold-share",
          number_text(day_.slow_start_capacity_share),
          "--cold-time",
          seconds_text(day_.slow_start_duration),
          "--fall-multiple",
          number_text(day_.overload_multiple),
          "--fall-window",
          seconds_text(day_.overload_window),
          "--note-period",
          seconds_text(day_.progress_report_period),
          "--seed",
          std::to_string(day_.seed + index)};
}

void SystemUnderTest::start_engine(std::uint32_t index, std::vector<std::string> more_arguments) {
  std::vector<std::string> arguments = engine_arguments(index);
  arguments.insert(arguments.end(), more_arguments.begin(), more_arguments.end());
  engines_[index].process = ChildProcess(plan_.engine_program, arguments);
  engines_[index].may_be_down = false;
}

void SystemUnderTest::restart_engine(std::uint32_t index) {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  listed_[index].started = std::chrono::duration<double>(now).count();
  start_engine(index, {"--cold"});
  wait_for_engine(index);
}

void SystemUnderTest::wait_for_engine(std::uint32_t index) {
  const std::string path = engine_file(index, "ports");
  wait_for_port(path);
  std::ifstream file(path);
  file >> listed_[index].port >> engines_[index].control_port;
}

void SystemUnderTest::kill_engine(std::uint32_t index) {
  engines_[index].may_be_down = true;
  engines_[index].process.kill();
  log_event({{"what", std::string(trace_checker::log_event::engine_exited)}, {"engine", engine_name(index)}});
}

// ---- Discovery ----

void SystemUnderTest::publish_state(std::uint32_t index, ListedState state) {
  listed_[index].state = state;
  publish_list();
}

void SystemUnderTest::resume_discovery() {
  --discovery_suspensions_;
  publish_list();
}

void SystemUnderTest::publish_list() {
  if (discovery_suspensions_ > 0) return;
  replace_file(plan_.folder + "/" + std::string(engine_list_file), engine_list(day_, listed_));
  for (std::uint32_t index = 0; index < day_.engines; ++index) {
    if (published_[index] == listed_[index].state) continue;
    published_[index] = listed_[index].state;
    log_event({{"what", std::string(trace_checker::log_event::engine_listed)},
               {"engine", engine_name(index)},
               {"state", std::string(name_of(published_[index]))}});
  }
}

// ---- Managers ----

void SystemUnderTest::start_manager(std::uint32_t index) {
  Manager& manager = managers_[index];
  if (manager.port == 0) write_manager_configuration(index);
  const std::vector<std::string> arguments{"serve", "--config", manager_file(index, "xml"), "--port-file",
                                           manager_file(index, "port")};
  manager.process = ChildProcess(plan_.manager_program, arguments, manager_file(index, "err"));
  manager.may_be_down = false;
}

void SystemUnderTest::write_manager_configuration(std::uint32_t index) const {
  std::ofstream(manager_file(index, "xml")) << manager_configuration(day_, index, managers_[index].port);
}

std::vector<std::uint16_t> SystemUnderTest::manager_ports() const {
  std::vector<std::uint16_t> ports;
  for (const Manager& manager : managers_) ports.push_back(manager.port);
  return ports;
}

// ---- Shutdown ----

void SystemUnderTest::stop(std::vector<std::string>& problems) {
  stop_managers(problems);
  stop_engines(problems);
  std::fflush(events_.get());
}

void SystemUnderTest::stop_managers(std::vector<std::string>& problems) {
  for (std::uint32_t index = 0; index < day_.managers; ++index) {
    Manager& manager = managers_[index];
    if (!manager.process.is_running() && !manager.may_be_down)
      problems.push_back(manager_name(index) + " ended unexpectedly, see " + manager_file(index, "err"));
    manager.process.request_shutdown();
  }
  const auto is_any_running = [this] {
    return std::any_of(managers_.begin(), managers_.end(),
                       [](Manager& manager) { return manager.process.is_running(); });
  };
  for (auto waited = 0ms; waited < shutdown_timeout && is_any_running(); waited += poll_period)
    std::this_thread::sleep_for(poll_period);
  for (Manager& manager : managers_) manager.process.kill();
}

void SystemUnderTest::stop_engines(std::vector<std::string>& problems) {
  for (Engine& engine : engines_) {
    if (!engine.process.is_running() && !engine.may_be_down)
      problems.emplace_back("an engine's process ended unexpectedly");
    engine.process.kill();
  }
}

}  // namespace paddlestand::simulation

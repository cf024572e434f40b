#include "manager_processes.hpp"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>

#include "child_process.hpp"
#include "manager_config.hpp"
#include "run_addresses.hpp"

namespace paddlestand::faults {
namespace {

namespace bp = boost::process;

constexpr std::int64_t kill_delay = longest_deadline + 700 * ns_per_millisecond;  // after SIGTERM
constexpr std::int64_t connect_period = 300 * ns_per_millisecond;  // after SIGTERM: clients may still connect
constexpr std::int64_t restart_delay = 200 * ns_per_millisecond;  // after a manager exited unexpectedly
constexpr std::int64_t ready_limit = 10'000 * ns_per_millisecond;
constexpr std::int64_t kill_limit = 1 * ns_per_second;
// After a start, until SIGHUP can be handled.
constexpr std::int64_t signal_handler_delay = 1 * ns_per_second;

/// Whether a health check, as clients send it, reports the manager as ready.
bool answers_ready(const Endpoint& manager) {
  constexpr int max_polls = 50;
  constexpr unsigned poll_interval_us = 2000;
  auto connection = Connection::connect(manager);
  if (!connection) return false;
  connection->queue("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"isWell\"}\n");
  std::string answer;
  for (int i = 0; i < max_polls && connection->flush() && connection->read(answer); ++i) {
    if (answer.find('\n') != std::string::npos) break;
    ::usleep(poll_interval_us);
  }
  return answer.find("\"green\":true") != std::string::npos;
}

}  // namespace

void ManagerProcesses::start_all() {
  managers_.resize(run_.profile.managers);
  for (std::uint32_t i = 0; i < size(); ++i) {
    Manager& manager = managers_[i];
    const std::string name = "manager" + std::to_string(i);
    manager.listen = manager_address(i);
    manager.config = run_.path(name + ".json");
    manager.logs = {run_.path(name + ".log"), run_.path(name + ".faults")};
    start(i);
  }
}

bp::environment ManagerProcesses::environment_of(std::uint32_t number) {
  const Manager& manager = managers_[number];
  const auto& rules = run_.profile.call_fault_rules;
  ++starts_;
  bp::environment environment = boost::this_process::environment();
  environment["LD_PRELOAD"] = run_.options.fault_library;
  environment["PADDLESTAND_FAULTS"] = rules[number % rules.size()];
  environment["PADDLESTAND_FAULT_SEED"] = std::to_string(run_.options.seed * 1000 + starts_);
  environment["PADDLESTAND_FAULT_LOG"] = manager.logs.broken_connections;
  environment["PROXY_CONFIG"] = manager.config;
  environment["ASAN_OPTIONS"] = "verify_asan_link_order=0:detect_leaks=0";
  return environment;
}

void ManagerProcesses::start(std::uint32_t number) {
  Manager& manager = managers_[number];
  write_configuration(number);
  const bp::environment environment = environment_of(number);
  std::FILE* log = std::fopen(manager.logs.log.c_str(), "a");
  manager.process = bp::child(run_.options.programs + "/paddlestand", "platform", "--trace", environment,
                              bp::std_in<bp::null, bp::std_out> bp::null, bp::std_err > log);
  std::fclose(log);
  manager.started = monotonic_now();
  manager.ready = false;
  manager.terminated = false;
}

bool ManagerProcesses::all_ready() const {
  return std::all_of(managers_.begin(), managers_.end(),
                     [](const Manager& manager) { return manager.ready; });
}

void ManagerProcesses::monitor() {
  for (std::uint32_t i = 0; i < size(); ++i) {
    restart_if_ended(i);
    check_readiness(i);
  }
}

void ManagerProcesses::restart_if_ended(std::uint32_t number) {
  Manager& manager = managers_[number];
  std::error_code error;
  if (!manager.process.valid() || manager.process.running(error) || manager.terminated) return;
  run_.event_log.write({.kind = EventKind::manager_exited,
                        .at = monotonic_now(),
                        .subject = number,
                        .value = manager.process.exit_code()});
  manager.terminated = true;
  run_.schedule.after(restart_delay, [this, number] { start(number); });
}

void ManagerProcesses::check_readiness(std::uint32_t number) {
  Manager& manager = managers_[number];
  if (manager.ready || manager.terminated) return;
  if (answers_ready(manager.listen)) {
    manager.ready = true;
    clients_.send({ClientCommand::Kind::resume_connecting, number});
  } else if (monotonic_now() > manager.started + ready_limit) {
    run_.event_log.write({.kind = EventKind::manager_not_ready, .at = monotonic_now(), .subject = number});
    manager.ready = true;
  }
}

void ManagerProcesses::signal(std::uint32_t number, int signal_number) {
  Manager& manager = managers_[number];
  std::error_code error;
  if (manager.process.valid() && manager.process.running(error)) ::kill(manager.process.id(), signal_number);
}

void ManagerProcesses::kill_and_restart(std::uint32_t number) {
  signal(number, SIGKILL);
  ends_within(managers_[number].process, kill_limit);
  start(number);
}

void ManagerProcesses::roll(std::uint32_t number) {
  Manager& manager = managers_[number];
  if (!manager.ready || manager.terminated) return;
  manager.terminated = true;
  signal(number, SIGTERM);
  run_.schedule.after(connect_period, [this, number] {
    clients_.send({ClientCommand::Kind::stop_connecting, number});
  });
  signal_during_shutdown(number);
  run_.schedule.after(kill_delay, [this, number] {
    run_.event_log.write({.kind = EventKind::manager_killed, .at = monotonic_now(), .subject = number});
    kill_and_restart(number);
  });
}

void ManagerProcesses::signal_during_shutdown(std::uint32_t number) {
  constexpr std::size_t max_signals = 3;
  constexpr double last_signal_s = 1.8;
  const std::size_t signals = run_.random.below(max_signals + 1);
  for (std::size_t i = 0; i < signals; ++i) {
    const int signal_number = run_.random.below(2) == 0 ? SIGHUP : SIGTERM;
    run_.schedule.after(from_seconds(run_.random.between(0, last_signal_s)),
                        [this, number, signal_number] { signal(number, signal_number); });
  }
}

void ManagerProcesses::crash(std::uint32_t number) {
  if (managers_[number].terminated || !managers_[number].ready) return;
  run_.event_log.write({.kind = EventKind::manager_crashed, .at = monotonic_now(), .subject = number});
  clients_.send({ClientCommand::Kind::stop_connecting, number});
  kill_and_restart(number);
}

/// Replaces the file atomically, as the platform does.
void ManagerProcesses::write_configuration(std::uint32_t number) {
  const Manager& manager = managers_[number];
  const Discovery& discovery = engines_.discovery();
  ManagerConfig config;
  config.number = number;
  config.manager_count = run_.profile.managers;
  config.run_seed = run_.options.seed;
  config.listen = manager.listen;
  config.discovery = discovery.address();
  config.known_engines = discovery.known_engines();
  const std::string new_file = manager.config + ".new";
  std::ofstream(new_file) << to_json(config);
  std::filesystem::rename(new_file, manager.config);
}

void ManagerProcesses::reload(std::uint32_t number) {
  write_configuration(number);
  signal(number, SIGHUP);
}

void ManagerProcesses::reload_all() {
  for (std::uint32_t i = 0; i < size(); ++i) {
    const Manager& manager = managers_[i];
    // A manager that has just started has read the new configuration already. SIGHUP is delayed until its
    // handler is installed.
    const bool just_started = monotonic_now() < manager.started + signal_handler_delay;
    if (just_started || !manager.ready) {
      run_.schedule.after(signal_handler_delay, [this, i] { reload(i); });
    } else {
      reload(i);
    }
  }
}

void ManagerProcesses::pause(std::uint32_t number) {
  signal(number, SIGSTOP);
  run_.schedule.after(from_seconds(run_.random.between(0.1, 0.35)),
                      [this, number] { signal(number, SIGCONT); });
}

void ManagerProcesses::resume_all() {
  for (std::uint32_t i = 0; i < size(); ++i) signal(i, SIGCONT);
}

void ManagerProcesses::shut_down_all() {
  for (std::uint32_t i = 0; i < size(); ++i) {
    managers_[i].terminated = true;
    signal(i, SIGTERM);
  }
  for (std::uint32_t i = 0; i < size(); ++i) wait_for_shutdown(i);
}

void ManagerProcesses::wait_for_shutdown(std::uint32_t number) {
  bp::child& process = managers_[number].process;
  const bool ended = ends_within(process, 2 * kill_delay);
  const int exit_code = ended ? process.exit_code() : -SIGKILL;
  if (exit_code != 0) {
    run_.event_log.write(
        {.kind = EventKind::manager_exited, .at = monotonic_now(), .subject = number, .value = exit_code});
  }
  std::error_code ignored;
  if (!ended) process.terminate(ignored);
}

std::vector<Endpoint> ManagerProcesses::addresses() const {
  std::vector<Endpoint> addresses;
  for (const Manager& manager : managers_) addresses.push_back(manager.listen);
  return addresses;
}

std::vector<ManagerLogs> ManagerProcesses::logs() const {
  std::vector<ManagerLogs> logs;
  for (const Manager& manager : managers_) logs.push_back(manager.logs);
  return logs;
}

}  // namespace paddlestand::faults

/// Starts, signals, crashes and restarts the manager processes under test in a fault run.
#pragma once

#include <boost/process.hpp>
#include <string>
#include <vector>

#include "client_processes.hpp"
#include "engine_processes.hpp"
#include "run_context.hpp"

namespace paddlestand::faults {

/// Paths of the files from which the verdict reads what a manager recorded.
struct ManagerLogs {
  std::string log;  // structured log of the manager
  std::string broken_connections;  // log of call_faults.cpp
};

/// Controls the managers and notifies the clients whether they may connect to them.
class ManagerProcesses {
 public:
  ManagerProcesses(RunContext& run, EngineProcesses& engines, ClientProcesses& clients)
      : run_(run), engines_(engines), clients_(clients) {}

  void start_all();
  /// Whether each manager has become ready since its start, or was recorded as not ready in time.
  [[nodiscard]] bool all_ready() const;
  /// Must be called often. Records and restarts managers that exited unexpectedly, and checks which managers
  /// have become ready.
  void monitor();

  /// Planned restart: SIGTERM, further signals during shutdown, and SIGKILL at the earliest permitted time.
  void roll(std::uint32_t number);
  /// Restart without notice.
  void crash(std::uint32_t number);
  /// Rewrites the configuration of all managers and sends SIGHUP.
  void reload_all();
  /// Sends SIGSTOP, and SIGCONT a fraction of a second later.
  void pause(std::uint32_t number);
  /// Resumes all paused managers.
  void resume_all();
  /// Shuts all managers down with SIGTERM and records those that do not exit with code 0 in time.
  void shut_down_all();

  [[nodiscard]] std::uint32_t size() const { return static_cast<std::uint32_t>(managers_.size()); }
  [[nodiscard]] std::vector<Endpoint> addresses() const;
  /// Indexed by manager number.
  [[nodiscard]] std::vector<ManagerLogs> logs() const;

 private:
  struct Manager {
    Endpoint listen;
    boost::process::child process;
    std::string config;  // path
    ManagerLogs logs;
    std::int64_t started = 0;
    bool ready = false;
    bool terminated = false;  // its exit is expected or has been recorded
  };

  [[nodiscard]] boost::process::environment environment_of(std::uint32_t number);
  void start(std::uint32_t number);
  void kill_and_restart(std::uint32_t number);
  void write_configuration(std::uint32_t number);
  void reload(std::uint32_t number);
  void restart_if_ended(std::uint32_t number);
  void check_readiness(std::uint32_t number);
  void signal(std::uint32_t number, int signal_number);
  void signal_during_shutdown(std::uint32_t number);
  void wait_for_shutdown(std::uint32_t number);

  RunContext& run_;
  EngineProcesses& engines_;
  ClientProcesses& clients_;
  std::vector<Manager> managers_;
  std::uint64_t starts_ = 0;
};

}  // namespace paddlestand::faults

/// The manager processes under test in a fault run: their starts, signals, crashes and restarts.
#pragma once

#include <boost/process.hpp>
#include <string>
#include <vector>

#include "client_processes.hpp"
#include "engine_processes.hpp"
#include "run_context.hpp"

namespace paddlestand::faults {

/// Where a manager wrote what the verdict reads.
struct ManagerLogs {
  std::string log;  // its own structured log
  std::string broken_connections;  // by call_faults.cpp
};

/// Starts managers and notifies the clients of whether they may connect to them.
class ManagerProcesses {
 public:
  ManagerProcesses(RunContext& run, EngineProcesses& engines, ClientProcesses& clients)
      : run_(run), engines_(engines), clients_(clients) {}

  void start_all();
  /// Whether each manager has been ready once since its start, or took too long and was recorded as such.
  [[nodiscard]] bool all_ready() const;
  /// To be called often: records and restarts managers that ended by themselves, and finds those that have
  /// become ready.
  void monitor();

  /// A planned restart: SIGTERM, more signals while it shuts down, and SIGKILL as early as is allowed.
  void roll(std::uint32_t number);
  /// A restart without notice.
  void crash(std::uint32_t number);
  /// Gives all managers their configuration anew, with SIGHUP.
  void reload_all();
  /// SIGSTOP, and SIGCONT a moment later.
  void pause(std::uint32_t number);
  /// Resumes managers that are paused.
  void resume_all();
  /// Ends all managers with SIGTERM, and records those that do not end as they should.
  void shut_down_all();

  [[nodiscard]] std::uint32_t size() const { return static_cast<std::uint32_t>(managers_.size()); }
  [[nodiscard]] std::vector<Endpoint> addresses() const;
  /// By the manager's number.
  [[nodiscard]] std::vector<ManagerLogs> logs() const;

 private:
  struct Manager {
    Endpoint listen;
    boost::process::child process;
    std::string config;  // path
    ManagerLogs logs;
    std::int64_t started = 0;
    bool ready = false;
    bool terminated = false;  // an end is expected, or has been recorded
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

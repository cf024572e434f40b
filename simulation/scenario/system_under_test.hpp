/// The engines and managers of a day: their processes, their files, and the log of events that affect them.
#pragma once

#include <cstdint>
#include <cstdio>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "child_process.hpp"
#include "day_files.hpp"
#include "scenario.hpp"

namespace paddlestand::simulation {

struct DayPlan;

/// Deleter of LogFile.
struct CloseFile {
  void operator()(std::FILE* file) const { std::fclose(file); }
};
using LogFile = std::unique_ptr<std::FILE, CloseFile>;

/// Creates a log in the day's folder. Throws std::runtime_error.
LogFile open_log(const std::string& folder, const std::string& name);

/// Owns the processes of a day's engines and managers. Not thread-safe.
class SystemUnderTest {
 public:
  /// `plan` must outlive this object.
  explicit SystemUnderTest(const DayPlan& plan);

  /// Starts all processes and waits until they listen. Throws std::runtime_error if one does not.
  void start();
  [[nodiscard]] std::vector<std::uint16_t> manager_ports() const;
  [[nodiscard]] std::uint16_t control_port(std::uint32_t engine) const {
    return engines_[engine].control_port;
  }

  // Engines.
  void kill_engine(std::uint32_t index);
  /// Starts the engine on its previous ports, in slow start, and waits until it listens.
  void restart_engine(std::uint32_t index);
  /// Changes an engine's listed state and publishes the engine list.
  void publish_state(std::uint32_t index, ListedState state);
  /// Changes an engine's listed state as of the next list that is published.
  void set_unpublished_state(std::uint32_t index, ListedState state) { listed_[index].state = state; }

  // Discovery. No list is published between suspend and resume. These calls nest.
  void suspend_discovery() { ++discovery_suspensions_; }
  void resume_discovery();

  // Managers.
  void start_manager(std::uint32_t index);
  void kill_manager(std::uint32_t index) { managers_[index].process.kill(); }
  void request_manager_shutdown(std::uint32_t index) { managers_[index].process.request_shutdown(); }
  [[nodiscard]] bool is_manager_running(std::uint32_t index) { return managers_[index].process.is_running(); }
  /// Until the manager is started again, its end is not reported as a problem.
  void expect_manager_down(std::uint32_t index) { managers_[index].may_be_down = true; }

  /// Adds a line to events.jsonl, which the trace checker reads.
  void log_event(const nlohmann::json& event);

  /// Stops all processes. Adds those that had ended unexpectedly to `problems`.
  void stop(std::vector<std::string>& problems);

 private:
  struct Engine {
    ChildProcess process;
    std::uint16_t control_port = 0;
    bool may_be_down = false;
  };
  struct Manager {
    ChildProcess process;
    std::uint16_t port = 0;
    bool may_be_down = false;
  };

  void start_engine(std::uint32_t index, std::vector<std::string> more_arguments);
  [[nodiscard]] std::vector<std::string> engine_arguments(std::uint32_t index) const;
  void wait_for_engine(std::uint32_t index);
  void write_manager_configuration(std::uint32_t index) const;
  void publish_list();
  void stop_managers(std::vector<std::string>& problems);
  void stop_engines(std::vector<std::string>& problems);
  [[nodiscard]] std::string engine_file(std::uint32_t index, const char* extension) const;
  [[nodiscard]] std::string manager_file(std::uint32_t index, const char* extension) const;

  const DayPlan& plan_;
  const Day& day_;
  LogFile events_;
  std::vector<Engine> engines_;
  std::vector<ListedEngine> listed_;  // by engine; entries of the next list
  std::vector<ListedState> published_;  // by engine; states in the last published list
  std::vector<Manager> managers_;
  int discovery_suspensions_ = 0;
};

}  // namespace paddlestand::simulation

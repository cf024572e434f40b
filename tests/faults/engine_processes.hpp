/// The engine processes of a fault run, and the discovery service that lists them.
#pragma once

#include <boost/process.hpp>
#include <list>
#include <memory>

#include "discovery.hpp"
#include "run_context.hpp"

namespace paddlestand::faults {

class EngineProcesses {
 public:
  explicit EngineProcesses(RunContext& run) : run_(run) {}

  /// Starts the profile's engines, then discovery with all of them in its list.
  void start_all();
  /// Kills an engine's process and starts another one under its id and at its address. Discovery publishes
  /// the removal and the new process later, apart or at once.
  void restart(std::uint32_t index);
  /// Drains an engine, from now on.
  void drain(std::uint32_t index);
  /// Starts a further engine, which discovery publishes soon after.
  void add(std::uint32_t index);
  void terminate_all();

  /// Valid after start_all().
  [[nodiscard]] Discovery& discovery() { return *discovery_; }

 private:
  /// Seconds since the engine's start in which it answers nothing; equal: never.
  struct HangWindow {
    double from_s = 0;
    double until_s = 0;
  };

  void start(std::uint32_t index, HangWindow hang);
  void replace(std::uint32_t index);

  RunContext& run_;
  std::list<boost::process::child> processes_;  // by index
  std::unique_ptr<Discovery> discovery_;
};

}  // namespace paddlestand::faults

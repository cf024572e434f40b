/// The engine processes of a fault run and the discovery service that publishes them.
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

  /// Starts the engines of the profile, then the discovery service with all of them in its list.
  void start_all();
  /// Kills an engine and starts a new process with the same id and address. Discovery publishes the removal
  /// and the new process afterwards, together or one after the other.
  void restart(std::uint32_t index);
  /// Publishes an engine as draining.
  void drain(std::uint32_t index);
  /// Starts an additional engine, which discovery publishes after a short delay.
  void add(std::uint32_t index);
  void terminate_all();

  /// Valid after start_all().
  [[nodiscard]] Discovery& discovery() { return *discovery_; }

 private:
  /// The window in which an engine answers nothing, in seconds since its start; empty if both are equal.
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

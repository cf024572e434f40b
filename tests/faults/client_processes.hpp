/// The client processes of a fault run.
#pragma once

#include <boost/process.hpp>
#include <list>
#include <memory>
#include <vector>

#include "client_commands.hpp"
#include "run_context.hpp"

namespace paddlestand::faults {

class ClientProcesses {
 public:
  explicit ClientProcesses(RunContext& run) : run_(run) {}

  /// Starts the number of processes that the profile specifies, each with connections to all managers.
  void start_all(const std::vector<Endpoint>& managers);
  /// Sends a command to all processes.
  void send(const ClientCommand& command);
  /// Asks all processes to finish their open requests, and terminates those that run for too long.
  void finish();

 private:
  void start(std::uint32_t index, const std::string& managers);

  RunContext& run_;
  std::list<boost::process::child> processes_;
  std::vector<std::unique_ptr<boost::process::opstream>> command_pipes_;
};

}  // namespace paddlestand::faults

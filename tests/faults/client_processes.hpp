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

  /// Starts as many as the profile asks for, each with connections to all managers.
  void start_all(const std::vector<Endpoint>& managers);
  /// Sends a command to all that have been started.
  void send(const ClientCommand& command);
  /// Lets all finish what is open. What still runs after a while is terminated.
  void finish();

 private:
  void start(std::uint32_t index, const std::string& managers);

  RunContext& run_;
  std::list<boost::process::child> processes_;
  std::vector<std::unique_ptr<boost::process::opstream>> command_pipes_;
};

}  // namespace paddlestand::faults

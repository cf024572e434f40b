/// A child process that is killed when its object is destroyed.
#pragma once

#include <boost/process.hpp>
#include <csignal>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

namespace paddlestand::simulation {

/// Owns at most one child process. Not thread-safe.
class ChildProcess {
 public:
  ChildProcess() = default;
  /// Standard input and output are /dev/null; standard error goes to `error_file`. Throws
  /// boost::process::process_error if the program cannot be started.
  ChildProcess(const std::string& program, const std::vector<std::string>& arguments,
               const std::string& error_file = "/dev/null")
      : child_(start(program, arguments, error_file)) {}
  ChildProcess(ChildProcess&&) = default;
  /// Kills the process that this object owned before.
  ChildProcess& operator=(ChildProcess&& other) noexcept {
    kill();
    child_ = std::move(other.child_);
    return *this;
  }
  ~ChildProcess() { kill(); }

  /// Kills the process and waits for its end. Has no effect if the process has ended.
  void kill() {
    std::error_code ignored;
    if (child_.valid() && child_.running(ignored)) child_.terminate(ignored);
    if (child_.valid()) child_.wait(ignored);
  }

  /// Requests a graceful shutdown with SIGTERM.
  void request_shutdown() {
    if (child_.valid()) ::kill(child_.id(), SIGTERM);
  }

  [[nodiscard]] bool is_running() {
    std::error_code ignored;
    return child_.valid() && child_.running(ignored);
  }

 private:
  static boost::process::child start(const std::string& program, const std::vector<std::string>& arguments,
                                     const std::string& error_file) {
    using namespace boost::process;
    return child(program, args(arguments), (std_in < null), (std_out > null), (std_err > error_file));
  }

  boost::process::child child_;
};

}  // namespace paddlestand::simulation

/// A child process that ends with its object.
#pragma once

#include <boost/process.hpp>
#include <csignal>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

namespace paddlestand::simulation {

/// Owns a child process, or none. Belongs to one thread.
class ChildProcess {
 public:
  ChildProcess() = default;
  /// Standard input and output are /dev/null; errors go to `error_file`, or to /dev/null where it is empty.
  /// Throws boost::process::process_error where the program can't be started.
  ChildProcess(const std::string& program, const std::vector<std::string>& arguments,
               const std::string& error_file = "/dev/null")
      : child_(start(program, arguments, error_file)) {}
  ChildProcess(ChildProcess&&) = default;
  /// Kills the process that this object owned so far.
  ChildProcess& operator=(ChildProcess&& other) noexcept {
    kill();
    child_ = std::move(other.child_);
    return *this;
  }
  ~ChildProcess() { kill(); }

  /// Kills it and waits for its end; does nothing where it has ended.
  void kill() {
    std::error_code ignored;
    if (child_.valid() && child_.running(ignored)) child_.terminate(ignored);
    if (child_.valid()) child_.wait(ignored);
  }

  /// Asks for a graceful shutdown, by SIGTERM.
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

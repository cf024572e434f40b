/// The measured processes, started as children of the benchmark.
#pragma once

#include <boost/process.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace paddlestand::bench {

/// A child process that is terminated by the destructor.
class ChildProcess {
 public:
  ChildProcess(const std::string& program, const std::vector<std::string>& arguments);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// Waits for the port that the child prints (print_port()). Returns 0 if the child ends first.
  [[nodiscard]] std::uint16_t read_port();
  [[nodiscard]] int id() const { return child_.id(); }

 private:
  boost::process::ipstream output_;
  boost::process::child child_;
};

/// `paddlestand serve` with one engine.
class ManagerProcess {
 public:
  /// Starts `program` and waits until it listens. Writes its files to `folder`; `engine_cores` limits
  /// admission.
  ManagerProcess(const std::string& program, const std::string& folder, std::uint16_t engine_port,
                 int engine_cores);

  /// Returns 0 if the manager did not listen in time.
  [[nodiscard]] std::uint16_t port() const { return port_; }
  /// Returns the resident memory in KiB, or -1 if the process has ended.
  [[nodiscard]] long resident_kb() const;

 private:
  std::unique_ptr<ChildProcess> process_;
  std::uint16_t port_ = 0;
};

}  // namespace paddlestand::bench

/// The PostgreSQL service as a separate process, for tests in which its system calls fail or stop the
/// process.
#pragma once

#include <signal.h>
#include <unistd.h>

#include <boost/process.hpp>
#include <filesystem>
#include <fstream>
#include <string>

#include "tests/hosted.hpp"
#include "tests/program_under_test.hpp"

namespace paddlestand::service::test {

/// Runs `paddlestand serve` with these settings, and kills it on destruction.
class ServeProcess {
 public:
  /// `call_faults`: faults of its system calls, as rules of tests/faults/call_faults.cpp.
  ServeProcess(const std::string& settings, const std::string& call_faults)
      : folder_(std::filesystem::temp_directory_path() /
                ("paddlestand-serve-" + std::to_string(::getpid()))) {
    std::filesystem::create_directories(folder_);
    std::ofstream(folder_ / "manager.xml") << settings;
    boost::process::environment environment = paddlestand::test::environment_with(call_faults);
    process_ = boost::process::child(
        paddlestand::test::program_under_test(), "serve", "--config", (folder_ / "manager.xml").string(),
        "--port-file", port_file(), environment,
        boost::process::std_in<boost::process::null, boost::process::std_out> boost::process::null,
        boost::process::std_err > (folder_ / "log").string());
    paddlestand::test::wait_until([this] { return read_port(); });
  }
  ~ServeProcess() {
    std::error_code ignored;
    process_.terminate(ignored);
    process_.wait(ignored);
    std::filesystem::remove_all(folder_, ignored);
  }
  ServeProcess(const ServeProcess&) = delete;
  ServeProcess& operator=(const ServeProcess&) = delete;

  /// The port that it listens on; zero if it did not start.
  [[nodiscard]] std::uint16_t port() const { return port_; }
  /// Whether the process is currently stopped by a signal.
  [[nodiscard]] bool is_stopped() const { return paddlestand::test::is_stopped(process_.id()); }
  [[nodiscard]] std::string log() const {
    std::ifstream file(folder_ / "log");
    return {std::istreambuf_iterator<char>(file), {}};
  }

 private:
  [[nodiscard]] std::string port_file() const { return (folder_ / "port").string(); }
  bool read_port() { return static_cast<bool>(std::ifstream(port_file()) >> port_); }

  std::filesystem::path folder_;
  boost::process::child process_;
  std::uint16_t port_ = 0;
};

}  // namespace paddlestand::service::test

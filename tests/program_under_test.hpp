/// Helpers for tests that run the program in a separate process.
#pragma once

#include <boost/process.hpp>
#include <cstdlib>
#include <fstream>
#include <string>

namespace paddlestand::test {

/// The path of the `paddlestand` program to test: PADDLESTAND_PROGRAM if it is set, otherwise the one of this
/// build.
inline std::string program_under_test() {
  const char* override_path = std::getenv("PADDLESTAND_PROGRAM");
  return override_path == nullptr ? PADDLESTAND_PROGRAM_PATH : override_path;
}

/// This process's environment, extended by fault rules of tests/faults/call_faults.cpp for the system calls
/// of a program. Empty rules change nothing.
inline boost::process::environment environment_with(const std::string& call_faults) {
  boost::process::environment environment = boost::this_process::environment();
  if (call_faults.empty()) return environment;
  environment["LD_PRELOAD"] = PADDLESTAND_FAULT_LIBRARY_PATH;
  environment["PADDLESTAND_FAULTS"] = call_faults;
  environment["ASAN_OPTIONS"] = "verify_asan_link_order=0:detect_leaks=0";
  return environment;
}

/// Whether a process is stopped, by a signal from itself or from another process.
inline bool is_stopped(int process_id) {
  std::ifstream status("/proc/" + std::to_string(process_id) + "/stat");
  std::string field;
  for (int i = 0; i < 3; ++i) status >> field;  // process id, name, state
  return field == "T";
}

}  // namespace paddlestand::test

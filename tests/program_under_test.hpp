/// What tests of the program as a process of its own share.
#pragma once

#include <boost/process.hpp>
#include <cstdlib>
#include <fstream>
#include <string>

namespace paddlestand::test {

/// The path of `paddlestand`: the build's own, or another one to be tested by the same cases.
inline std::string program_under_test() {
  const char* other = std::getenv("PADDLESTAND_PROGRAM");
  return other == nullptr ? PADDLESTAND_PROGRAM_PATH : other;
}

/// This process's environment, and rules of tests/faults/call_faults.cpp for a program's system calls; none
/// where empty.
inline boost::process::environment environment_with(const std::string& call_faults) {
  boost::process::environment environment = boost::this_process::environment();
  if (call_faults.empty()) return environment;
  environment["LD_PRELOAD"] = PADDLESTAND_FAULT_LIBRARY_PATH;
  environment["PADDLESTAND_FAULTS"] = call_faults;
  environment["ASAN_OPTIONS"] = "verify_asan_link_order=0:detect_leaks=0";
  return environment;
}

/// Whether a process is stopped, by a signal of its own or of others.
inline bool is_stopped(int process_id) {
  std::ifstream status("/proc/" + std::to_string(process_id) + "/stat");
  std::string field;
  for (int i = 0; i < 3; ++i) status >> field;  // process id, name, state
  return field == "T";
}

}  // namespace paddlestand::test

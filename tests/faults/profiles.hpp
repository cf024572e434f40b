/// Profiles of fault runs: how many processes, which system calls of managers fail, and what happens to
/// processes.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace paddlestand::faults {

/// What a run consists of. The booleans are independent of each other.
struct Profile {
  std::string name;
  std::uint32_t managers = 3;
  std::uint32_t engines = 4;
  std::uint32_t clients = 3;  // processes
  double requests_per_s = 60;  // of each client process
  double engine_fault_scale = 0;  // scales the chances of errors, resets, lost and corrupt answers
  double late_frame_scale = 0;  // scales the chances of frames about attempts that have ended
  std::uint32_t idle_connections = 0;  // of each client process to each manager
  bool clients_misbehave = false;
  bool managers_roll = false;  // planned restarts: SIGTERM, signals in between, SIGKILL at the earliest
  bool managers_crash = false;  // restarts without notice
  bool configurations_reload = false;  // SIGHUP, discovery moves to another address
  bool managers_pause = false;  // SIGSTOP for a moment
  bool engines_drain = false;  // and new ones join
  bool engines_hang = false;  // they stop answering for a while
  bool hanging_engines_stop_reading = false;
  bool engines_restart = false;  // killed, and back under the same ids and addresses
  bool discovery_falls_silent = false;
  std::vector<std::string> call_fault_rules;  // for call_faults.cpp; manager N gets entry N modulo the size
};

/// The profile of a name. Draws from `random` where the profile differs from run to run. Throws
/// std::runtime_error for an unknown name; its message lists all names.
Profile profile_named(const std::string& name, std::mt19937_64& random);

}  // namespace paddlestand::faults

/// Profiles of fault runs: the number of processes, the system calls of managers that fail, and the faults of
/// the processes.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace paddlestand::faults {

/// The processes and faults of a run. The flags are independent of each other.
struct Profile {
  std::string name;
  std::uint32_t managers = 3;
  std::uint32_t engines = 4;
  std::uint32_t clients = 3;  // processes
  double requests_per_s = 60;  // per client process
  double engine_fault_scale = 0;  // scales the probabilities of errors, resets, lost and corrupt answers
  double late_frame_scale = 0;  // scales the probabilities of frames for attempts that have ended
  std::uint32_t idle_connections = 0;  // from each client process to each manager
  bool clients_misbehave = false;
  // Planned restarts: SIGTERM, further signals, SIGKILL at the earliest permitted time.
  bool managers_roll = false;
  bool managers_crash = false;  // restarts without notice
  bool configurations_reload = false;  // SIGHUP; discovery moves to its other address
  bool managers_pause = false;  // SIGSTOP and SIGCONT
  bool engines_drain = false;  // and new engines replace them
  bool engines_hang = false;  // they stop answering for a while
  bool hanging_engines_stop_reading = false;
  bool engines_restart = false;  // killed and restarted with the same ids and addresses
  bool discovery_stops_sending = false;
  std::vector<std::string> call_fault_rules;  // for call_faults.cpp; manager N uses entry N modulo the size
};

/// The profile with this name. Random elements of the profile are drawn from `random`. Throws
/// std::runtime_error, with a list of the known names, if the name is unknown.
Profile profile_named(const std::string& name, std::mt19937_64& random);

}  // namespace paddlestand::faults

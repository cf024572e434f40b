// What a fault run consists of: sizes, the faults of each manager's calls, and what happens to processes.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace paddlestand::faults {

struct Profile {
  std::string name;
  std::uint32_t managers = 3, engines = 4, clients = 3;
  double requests_per_s = 60;  // of each client process
  double trouble = 0;  // at engines
  double late = 0;  // frames of engines about attempts that have ended
  std::uint32_t crowd = 0;  // idle connections of each client process to each manager
  bool clients_misbehave = false;
  bool rolls = false;  // planned restarts: SIGTERM, signals in between, SIGKILL at the earliest
  bool kills = false;  // restarts without notice
  bool reloads = false;  // SIGHUP, discovery moves
  bool stops = false;  // SIGSTOP for a moment
  bool drains = false;  // engines drain, new ones join
  bool hangs = false;  // engines stop answering for a while
  bool deaf = false;  // and they read nothing meanwhile
  bool engine_restarts = false;  // engines are killed, and come back under their ids and addresses
  bool silence = false;  // discovery falls silent
  std::vector<std::string> rules;  // of call_faults.cpp; one is drawn for each start of a manager
};

/// Throws std::runtime_error for a name that is none; lists them.
Profile profile_named(const std::string& name, std::mt19937_64& random);

}  // namespace paddlestand::faults

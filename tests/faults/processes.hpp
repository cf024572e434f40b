// The processes of a fault run: engines and clients that misbehave by a seed, and the run that holds them
// together.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "sockets.hpp"

namespace paddlestand::faults {

/// One engine. Answers requests after some milliseconds of work; how often it goes wrong follows from
/// `trouble`.
struct EngineOptions {
  Endpoint listen;
  std::string log;
  std::uint32_t number = 0;
  std::uint64_t seed = 1;
  double trouble = 0;  // scales the chances of errors, resets, lost and spoilt answers
  double late = 0;  // scales the chances of copies, frames behind an end, pages that are known no more
  double hang_from_s = 0, hang_until_s = 0;  // since its start; equal: never
  bool deaf = false;  // while it hangs it reads nothing either
};
int run_engine(const EngineOptions& options);

/// Some clients in one process. Commands on standard input, a line each: "shun N" (no new connection to
/// manager N), "use N", "finish" (ask no more, end when nothing is open).
struct ClientOptions {
  std::vector<Endpoint> managers;
  std::string log;
  std::uint32_t number = 0;
  std::uint64_t seed = 1;
  double requests_per_s = 50;
  std::uint32_t max_connections = 4;  // to each manager
  std::uint32_t idle_connections = 0;  // that say nothing and stay, to each manager: a crowd
  bool misbehaves = false;  // cancels, leaves, writes slowly
};
int run_clients(const ClientOptions& options);

/// What a run plays.
struct RunOptions {
  std::string programs;  // the folder of `paddlestand`
  std::string fault_library;  // to preload into managers
  std::string self;  // this program
  std::string profile;  // see profiles.cpp
  std::uint64_t seed = 1;
  double seconds = 8;
  bool keep = false;  // the folder with all logs
};
/// 0: no rule was broken. Prints a line for each violation, and a summary.
int run_once(const RunOptions& options);

}  // namespace paddlestand::faults

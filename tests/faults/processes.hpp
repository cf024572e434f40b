/// Entry points of the processes of a fault run: engines, clients, and the run that starts them. Engines and
/// clients misbehave at random, determined by a seed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "sockets.hpp"

namespace paddlestand::faults {

struct EngineOptions {
  Endpoint listen;
  std::string log;  // path
  std::uint32_t number = 0;
  std::uint64_t seed = 1;
  double fault_scale = 0;  // scales the probabilities of errors, resets, lost and corrupt answers
  double late_frame_scale = 0;  // scales the probabilities of duplicates, late frames and unknown pages
  // The window in which it answers nothing, in seconds since its start; empty if both are equal.
  double hang_from_s = 0;
  double hang_until_s = 0;
  bool stops_reading_while_hanging = false;
};
/// Runs one engine, which answers requests after some milliseconds. Never returns.
int run_engine(const EngineOptions& options);

struct ClientOptions {
  std::vector<Endpoint> managers;
  std::string log;  // path
  std::uint32_t number = 0;
  std::uint64_t seed = 1;
  double requests_per_s = 50;
  std::uint32_t max_connections = 4;  // to each manager
  std::uint32_t idle_connections = 0;  // additional connections to each manager that send nothing
  bool misbehaves = false;  // cancels, disconnects, writes slowly
};
/// Runs several clients in one process. Reads ClientCommand lines from standard input. Returns the exit code.
int run_clients(const ClientOptions& options);

struct RunOptions {
  std::string programs;  // directory of the `paddlestand` program
  std::string fault_library;  // to preload into managers
  std::string self;  // path of this program
  std::string profile;  // see profiles.hpp
  std::uint64_t seed = 1;
  double seconds = 8;  // duration of the fault injection, without startup and shutdown
  bool keep_logs = false;  // also of a successful run
};
/// Executes one run. Prints its violations and a summary. Returns the exit code: 0 if no rule was violated
/// and at least one request was served.
int run_once(const RunOptions& options);

}  // namespace paddlestand::faults

/// The processes of a fault run: engines and clients that misbehave by a seed, and the run that starts them.
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
  double fault_scale = 0;  // scales the chances of errors, resets, lost and corrupt answers
  double late_frame_scale =
      0;  // scales the chances of duplicates, frames after an end, pages no longer known
  // Seconds since its start between which it answers nothing; equal: never.
  double hang_from_s = 0;
  double hang_until_s = 0;
  bool stops_reading_while_hanging = false;
};
/// One engine. Answers requests after some milliseconds of work. Never returns.
int run_engine(const EngineOptions& options);

struct ClientOptions {
  std::vector<Endpoint> managers;
  std::string log;  // path
  std::uint32_t number = 0;
  std::uint64_t seed = 1;
  double requests_per_s = 50;
  std::uint32_t max_connections = 4;  // to each manager
  std::uint32_t idle_connections = 0;  // further ones to each manager, which send nothing
  bool misbehaves = false;  // cancels, disconnects, writes slowly
};
/// Some clients in one process. Reads ClientCommand lines from standard input. Returns the exit code.
int run_clients(const ClientOptions& options);

struct RunOptions {
  std::string programs;  // the folder of `paddlestand`
  std::string fault_library;  // to preload into managers
  std::string self;  // this program
  std::string profile;  // see profiles.hpp
  std::uint64_t seed = 1;
  double seconds = 8;  // of faults; starts and shutdowns come on top
  bool keep_logs = false;  // of a good run
};
/// One run. Prints a line for each violation, and a summary. Returns the exit code, 0: no rule was broken.
int run_once(const RunOptions& options);

}  // namespace paddlestand::faults

/// The options of `paddlestand explore`, and the limits that follow from them.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "simulation/explorer/search.hpp"

namespace paddlestand::app {

struct ExploreOptions {
  std::string scope = "small";
  std::string only;  ///< name of the part of the scope or of the defect to search; empty: all
  std::string history;  ///< path of a history to replay; empty: none
  std::string write_to;  ///< path for a violating history, or the folder for those of defects; empty: none
  std::string as_test;  ///< name of a GoogleTest case to print; empty: none
  unsigned threads = 2;
  std::size_t memory_mb = 4096;
  std::size_t states = 0;  ///< limit for each part; 0: none
  std::size_t walk_steps = 0;  ///< 0: no random walk
  std::size_t episode_steps = 4000;
  std::uint64_t seed = 1;
  int time_s = 0;  ///< limit for each part; 0: none
  bool properties = false;
  bool seeded_defects = false;
  bool coverage = false;
};

/// The limits for the search of each part of a scope.
[[nodiscard]] inline explorer::SearchLimits limits_of(const ExploreOptions& options) {
  explorer::SearchLimits limits;
  limits.threads = options.threads;
  limits.memory_bytes = options.memory_mb << 20U;
  limits.states = options.states;
  limits.time = std::chrono::seconds(options.time_s);
  return limits;
}

}  // namespace paddlestand::app

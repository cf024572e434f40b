/// The configuration file of a manager in a fault run.
#pragma once

#include <cstdint>
#include <string>

#include "monotonic_clock.hpp"
#include "sockets.hpp"

namespace paddlestand::faults {

/// The deadline of every request class.
constexpr std::int64_t longest_deadline = 1200 * ns_per_millisecond;

/// The values that differ between the managers of a run or between successive configurations of a manager.
struct ManagerConfig {
  std::uint32_t number = 0;
  std::uint32_t manager_count = 1;
  std::uint64_t run_seed = 1;
  Endpoint listen;
  Endpoint discovery;
  std::string known_engines;  // JSON, see Discovery::known_engines()
};

/// The content of the configuration file, in the platform's format.
std::string to_json(const ManagerConfig& config);

}  // namespace paddlestand::faults

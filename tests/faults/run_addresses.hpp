/// The loopback addresses of a fault run.
#pragma once

#include "sockets.hpp"

namespace paddlestand::faults {

constexpr std::uint16_t manager_port = 4100;

/// The addresses depend on the process id, so that concurrent runs do not interfere with each other.
Endpoint manager_address(std::uint32_t number);
Endpoint engine_address(std::uint32_t number);
/// The two addresses between which the discovery service moves.
Endpoint first_discovery_address();
Endpoint second_discovery_address();

}  // namespace paddlestand::faults

/// The loopback addresses of a fault run.
#pragma once

#include "sockets.hpp"

namespace paddlestand::faults {

constexpr std::uint16_t manager_port = 4100;

/// Addresses differ between runs that take place at once, so that they do not disturb each other.
Endpoint manager_address(std::uint32_t number);
Endpoint engine_address(std::uint32_t number);
/// The two addresses that discovery moves between.
Endpoint first_discovery_address();
Endpoint second_discovery_address();

}  // namespace paddlestand::faults

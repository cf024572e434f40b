/// A relay that copies bytes between a client and a server: the least that any proxy costs.
#pragma once

#include <cstdint>

namespace paddlestand::bench {

/// Relays between a port of its own, which it prints, and `server_port`, until the process ends.
void run_byte_relay(std::uint16_t server_port);

}  // namespace paddlestand::bench

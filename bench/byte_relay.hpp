/// A relay that copies bytes between clients and a server. Its overhead is the minimum of any proxy.
#pragma once

#include <cstdint>

namespace paddlestand::bench {

/// Listens on a port chosen by the system, prints it, and relays connections to `server_port` until the
/// process ends.
void run_byte_relay(std::uint16_t server_port);

}  // namespace paddlestand::bench

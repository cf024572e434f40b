/// How a child process tells its parent the port that it listens on.
#pragma once

#include <cstdint>
#include <cstdio>

namespace paddlestand::bench {

/// Prints the port on a line of its own, at once.
inline void print_port(std::uint16_t port) {
  std::printf("%u\n", port);
  std::fflush(stdout);
}

}  // namespace paddlestand::bench

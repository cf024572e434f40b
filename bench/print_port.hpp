/// Reports the port of a child process to its parent through standard output.
#pragma once

#include <cstdint>
#include <cstdio>

namespace paddlestand::bench {

/// Prints the port on a separate line and flushes the output.
inline void print_port(std::uint16_t port) {
  std::printf("%u\n", port);
  std::fflush(stdout);
}

}  // namespace paddlestand::bench

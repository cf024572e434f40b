// Reads batches from standard input, writes one reply for each to standard output.
#include <algorithm>
#include <cstdio>
#include <exception>
#include <vector>

#include "wire_host.hpp"

namespace {

// Bytes read: fewer than wanted only at the end of the input.
std::size_t read_up_to(std::uint8_t* into, std::size_t wanted) { return std::fread(into, 1, wanted, stdin); }

}  // namespace

int main() {
  using namespace paddlestand::bench_adapter;
  try {
    WireHost host;
    std::vector<std::uint8_t> frame;
    for (;;) {
      frame.resize(4);
      const std::size_t got = read_up_to(frame.data(), 4);
      if (got == 0 && std::ferror(stdin) == 0) return 0;
      if (got < 4) throw MalformedFrame("input ends inside a frame's length");
      const std::size_t length = frame_length(frame);
      // Grows as the bytes come, so that a damaged length takes no memory.
      for (std::size_t have = 4; have < length;) {
        const std::size_t step = std::min<std::size_t>(length - have, std::size_t{1} << 20);
        frame.resize(have + step);
        if (read_up_to(frame.data() + have, step) < step) throw MalformedFrame("input ends inside a frame");
        have += step;
      }
      const auto reply = host.reply_to(frame);
      if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() || std::fflush(stdout) != 0) {
        std::fputs("paddlestand_bench_adapter: cannot write the reply\n", stderr);
        return 1;
      }
    }
  } catch (const std::exception& problem) {
    std::fprintf(stderr, "paddlestand_bench_adapter: %s\n", problem.what());
    return 1;
  }
}

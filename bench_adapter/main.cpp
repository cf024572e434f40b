/// `paddlestand_bench_adapter`: reads batch frames from standard input and writes one reply frame for each to
/// standard output, until the input ends.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <span>
#include <stdexcept>
#include <vector>

#include "wire_host.hpp"

namespace {

using namespace paddlestand::bench_adapter;

constexpr std::size_t max_read_bytes = std::size_t{1} << 20;

/// Reads up to `count` bytes; fewer only at the end of the input.
std::size_t read_input(std::uint8_t* out, std::size_t count) { return std::fread(out, 1, count, stdin); }

/// Reads the next frame. Returns false at the end of the input. Throws MalformedFrame if the input ends
/// inside the frame.
bool read_frame(std::vector<std::uint8_t>& frame) {
  frame.resize(frame_length_bytes);
  const std::size_t received = read_input(frame.data(), frame_length_bytes);
  if (received == 0 && std::ferror(stdin) == 0) return false;
  if (received < frame_length_bytes) throw MalformedFrame("input ends inside a frame's length");
  const std::size_t length = frame_length(frame);
  // Grows as bytes arrive, so that a damaged length allocates no memory.
  while (frame.size() < length) {
    const std::size_t position = frame.size();
    const std::size_t part_bytes = std::min(length - position, max_read_bytes);
    frame.resize(position + part_bytes);
    if (read_input(frame.data() + position, part_bytes) < part_bytes)
      throw MalformedFrame("input ends inside a frame");
  }
  return true;
}

void write_reply(std::span<const std::uint8_t> reply) {
  const bool is_written = std::fwrite(reply.data(), 1, reply.size(), stdout) == reply.size();
  if (!is_written || std::fflush(stdout) != 0) throw std::runtime_error("cannot write the reply");
}

}  // namespace

int main() {
  try {
    WireHost host;
    std::vector<std::uint8_t> frame;
    while (read_frame(frame)) write_reply(host.reply_to(frame));
    return EXIT_SUCCESS;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "paddlestand_bench_adapter: %s\n", error.what());
    return EXIT_FAILURE;
  }
}

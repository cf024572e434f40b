/// The simulator's wire: each batch frame gets a reply, up to the first malformed frame.
#include <algorithm>
#include <span>

#include "target.hpp"
#include "wire_host.hpp"

namespace {

using namespace paddlestand;

/// The first frame of `bytes`, or its available part if it is incomplete.
std::span<const std::uint8_t> first_frame(std::span<const std::uint8_t> bytes) {
  const std::size_t length = bench_adapter::frame_length(bytes.first(bench_adapter::frame_length_bytes));
  return bytes.first(std::min(length, bytes.size()));
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  bench_adapter::WireHost host;
  std::span<const std::uint8_t> remaining(data, size);
  try {
    while (remaining.size() >= bench_adapter::batch_header_bytes) {
      const auto frame = first_frame(remaining);
      host.reply_to(frame);
      remaining = remaining.subspan(frame.size());
    }
  } catch (const bench_adapter::MalformedFrame&) {
    return 0;  // the host can't be used after that
  }
  return 0;
}

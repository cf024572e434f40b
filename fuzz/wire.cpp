// The bench's wire: frames one after another, whatever they hold; a frame is answered or refused as
// malformed.
#include "target.hpp"
#include "wire_host.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace paddlestand;
  bench_adapter::WireHost host;
  std::span<const std::uint8_t> left(data, size);
  try {
    while (left.size() >= bench_adapter::batch_header_bytes) {
      const std::size_t length = std::min(bench_adapter::frame_length(left.first(4)), left.size());
      host.reply_to(left.first(length));
      left = left.subspan(length);
    }
  } catch (const bench_adapter::MalformedFrame&) {}
  return 0;
}

// Engines of the platform: any split of the same bytes gives the same answers, and what is put together from
// them is whole rows or nothing.
#include "platform/paged_answer.hpp"
#include "protocol/engine_frames/frames.hpp"
#include "target.hpp"

namespace {

using namespace paddlestand;

std::string run(std::string_view bytes, std::uint32_t seed, bool whole, engine_frames::Side side) {
  engine_frames::FrameReader reader(side);
  platform::PagedAnswer paged;
  std::string told;
  fuzz::Pieces pieces(bytes, seed);
  bool fed = false, ended = false;
  while (!ended && (whole ? !fed : pieces.more())) {
    reader.feed(whole ? bytes : pieces.next());
    fed = true;
    while (!ended) {
      auto next = reader.next();
      if (std::holds_alternative<std::monostate>(next)) break;
      if (const auto* broken = std::get_if<engine_frames::Broken>(&next)) {
        told += "broken " + broken->what;
        ended = true;
        break;
      }
      auto& frame = std::get<engine_frames::Frame>(next);
      told += std::to_string(frame.code) + " " + std::to_string(frame.id) + frame.fields + frame.body + "\n";
      if (side == engine_frames::Side::manager) continue;
      auto answer = engine_frames::read_answer(std::move(frame));
      if (const auto* broken = std::get_if<engine_frames::Broken>(&answer)) {
        told += "unreadable " + broken->what;
        ended = true;
        break;
      }
      const auto step = paged.take(std::move(std::get<engine_frames::Answer>(answer)));
      told += std::to_string(step.index());
      const auto* done = std::get_if<platform::PagedAnswer::Done>(&step);
      if (done != nullptr && done->ending == core::Ending::complete) {
        if (!engine_frames::whole_rows(paged.body()) || paged.body().size() > platform::most_result)
          fuzz::fail("a result that is no rows, or too large");
        paged = {};
      }
    }
  }
  return told;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size < 1) return 0;
  const auto side = (data[0] & 1U) == 0 ? paddlestand::engine_frames::Side::engine
                                        : paddlestand::engine_frames::Side::manager;
  const std::string_view bytes = paddlestand::fuzz::text_of(data + 1, size - 1);
  if (run(bytes, data[0], true, side) != run(bytes, data[0], false, side))
    paddlestand::fuzz::fail("a split changed what is made of the frames");
  return 0;
}

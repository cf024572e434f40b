/// Frames of the platform's engines: any split of the same bytes gives the same answers, and a result is
/// complete rows or nothing.
#include "platform/paged_answer.hpp"
#include "protocol/engine_frames/frames.hpp"
#include "target.hpp"

namespace {

using namespace paddlestand;

std::string run(fuzz::Chunks chunks, std::uint8_t seed) {
  const auto side = (seed & 1U) == 0 ? engine_frames::Side::engine : engine_frames::Side::manager;
  engine_frames::FrameReader reader(side);
  platform::PagedAnswer paged;
  std::string output;
  bool has_ended = false;
  while (!has_ended && chunks.has_next()) {
    reader.feed(chunks.next());
    while (!has_ended) {
      auto next = reader.next();
      if (std::holds_alternative<std::monostate>(next)) break;
      if (const auto* broken = std::get_if<engine_frames::Broken>(&next)) {
        output += "broken " + broken->what;
        has_ended = true;
        break;
      }
      auto& frame = std::get<engine_frames::Frame>(next);
      output +=
          std::to_string(frame.code) + " " + std::to_string(frame.id) + frame.fields + frame.body + "\n";
      if (side == engine_frames::Side::manager) continue;
      auto answer = engine_frames::read_answer(std::move(frame));
      if (const auto* broken = std::get_if<engine_frames::Broken>(&answer)) {
        output += "unreadable " + broken->what;
        has_ended = true;
        break;
      }
      const auto step = paged.add(std::move(std::get<engine_frames::Answer>(answer)));
      output += std::to_string(step.index());
      const auto* done = std::get_if<platform::PagedAnswer::Done>(&step);
      if (done != nullptr && done->ending == core::Ending::complete) {
        if (!engine_frames::has_complete_rows(paged.body()) || paged.body().size() > platform::max_result)
          fuzz::fail("a result that is no rows, or too large");
        paged = {};
      }
    }
  }
  return output;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  return paddlestand::fuzz::check_splits(data, size, run, "a split changed what is made of the frames");
}

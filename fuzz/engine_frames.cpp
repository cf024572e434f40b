/// Frames of the platform's engines: any split of the same bytes gives the same answers, and a result has
/// only complete rows.
#include <string>
#include <utility>
#include <variant>

#include "platform/paged_answer.hpp"
#include "protocol/engine_frames/frames.hpp"
#include "read_messages.hpp"
#include "target.hpp"

namespace {

using namespace paddlestand;

/// Collects the answers on one stream and describes each in the output.
class AnswerCollector {
 public:
  explicit AnswerCollector(std::string& output) : output_(output) {}

  fuzz::Flow add(engine_frames::Frame frame) {
    auto answer = engine_frames::read_answer(std::move(frame));
    if (const auto* violation = std::get_if<engine_frames::ProtocolViolation>(&answer)) {
      output_ += "unreadable " + violation->what;
      return fuzz::Flow::stop;
    }
    const auto step = pages_.add(std::move(std::get<engine_frames::Answer>(answer)));
    output_ += std::to_string(step.index());
    const auto* done = std::get_if<platform::PagedAnswer::Done>(&step);
    if (done != nullptr && done->ending == core::Ending::complete) finish_result();
    return fuzz::Flow::next;
  }

 private:
  void finish_result() {
    const std::string& result = pages_.body();
    if (!engine_frames::has_complete_rows(result)) fuzz::fail("a result has an incomplete row");
    if (result.size() > platform::max_result) fuzz::fail("a result exceeds its size limit");
    pages_ = {};
  }

  std::string& output_;
  platform::PagedAnswer pages_;
};

/// The seed's lowest bit selects the side whose frames are read.
std::string run(fuzz::Chunks chunks, std::uint8_t seed) {
  const auto side = (seed & 1U) == 0 ? engine_frames::Side::engine : engine_frames::Side::manager;
  engine_frames::FrameReader reader(side);
  std::string output;
  AnswerCollector answers(output);
  fuzz::read_messages<engine_frames::ProtocolViolation>(chunks, reader, output, [&](auto message) {
    auto& frame = std::get<engine_frames::Frame>(message);
    output += std::to_string(frame.code) + " " + std::to_string(frame.id) + frame.fields + frame.body + "\n";
    if (side == engine_frames::Side::manager) return fuzz::Flow::next;
    return answers.add(std::move(frame));
  });
  return output;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  return paddlestand::fuzz::check_splits(data, size, run, "splitting the input changed the frames");
}

// The command channel: any split of the same bytes gives the same events, and numbers only ever rise.
#include "platform/endpoint_list.hpp"
#include "protocol/discovery/events.hpp"
#include "target.hpp"

namespace {

using namespace paddlestand;

std::string run(std::string_view bytes, std::uint32_t seed, bool whole) {
  discovery::EventReader reader;
  platform::EndpointList fleet;
  std::string told;
  fuzz::Pieces pieces(bytes, seed);
  bool fed = false, ended = false;
  while (!ended && (whole ? !fed : pieces.more())) {
    reader.feed(whole ? bytes : pieces.next());
    fed = true;
    while (!ended) {
      auto next = reader.next();
      if (std::holds_alternative<std::monostate>(next)) break;
      if (const auto* broken = std::get_if<discovery::Broken>(&next)) {
        told += "broken " + broken->what;
        ended = true;
      } else if (const auto* event = std::get_if<discovery::Event>(&next)) {
        const std::uint64_t before = fleet.last();
        core::EndpointsUpdated changed;
        std::vector<EngineId> processes_ended;
        const auto taken = fleet.take(*event, changed, processes_ended);
        if (taken == platform::EndpointList::ApplyResult::applied ? fleet.last() <= before
                                                                  : fleet.last() != before)
          fuzz::fail("the number of the last event went wrong");
        fleet.forget_removed();
        told += std::to_string(event->number) + " " + std::to_string(static_cast<int>(taken)) + " " +
                std::to_string(changed.engines.size()) + " " + std::to_string(fleet.size()) + "\n";
      } else {
        told += "beat\n";
      }
    }
  }
  return told;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size < 1) return 0;
  const std::string_view bytes = paddlestand::fuzz::text_of(data + 1, size - 1);
  if (run(bytes, data[0], true) != run(bytes, data[0], false))
    paddlestand::fuzz::fail("a split changed what is made of the events");
  return 0;
}

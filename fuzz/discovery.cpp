/// Discovery's event stream: any split of the same bytes gives the same events, and event numbers only rise.
#include "platform/endpoint_list.hpp"
#include "protocol/discovery/events.hpp"
#include "target.hpp"

namespace {

using namespace paddlestand;

std::string run(fuzz::Chunks chunks, std::uint8_t) {
  discovery::EventReader reader;
  platform::EndpointList fleet;
  std::string output;
  bool has_ended = false;
  while (!has_ended && chunks.has_next()) {
    reader.feed(chunks.next());
    while (!has_ended) {
      auto next = reader.next();
      if (std::holds_alternative<std::monostate>(next)) break;
      if (const auto* broken = std::get_if<discovery::Broken>(&next)) {
        output += "broken " + broken->what;
        has_ended = true;
      } else if (const auto* event = std::get_if<discovery::Event>(&next)) {
        const std::uint64_t before = fleet.last();
        core::EndpointsUpdated changed;
        std::vector<EngineId> processes_ended;
        const auto taken = fleet.apply(*event, changed, processes_ended);
        if (taken == platform::EndpointList::ApplyResult::applied ? fleet.last() <= before
                                                                  : fleet.last() != before)
          fuzz::fail("the number of the last event went wrong");
        fleet.forget_removed();
        output += std::to_string(event->number) + " " + std::to_string(static_cast<int>(taken)) + " " +
                  std::to_string(changed.engines.size()) + " " + std::to_string(fleet.size()) + "\n";
      } else {
        output += "beat\n";
      }
    }
  }
  return output;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  return paddlestand::fuzz::check_splits(data, size, run, "a split changed what is made of the events");
}

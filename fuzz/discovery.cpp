/// Discovery's event stream: any split of the same bytes gives the same events, and event numbers increase.
#include <string>
#include <variant>
#include <vector>

#include "platform/endpoint_list.hpp"
#include "protocol/discovery/events.hpp"
#include "read_messages.hpp"
#include "target.hpp"

namespace {

using namespace paddlestand;
using ApplyResult = platform::EndpointList::ApplyResult;

/// Applies an event and returns a line that describes the result. Fails if the last event's number changes
/// without an event being applied, or does not increase with one.
std::string apply_event(platform::EndpointList& endpoints, const discovery::Event& event) {
  const std::uint64_t last_before = endpoints.last_event();
  core::EndpointsUpdated update;
  std::vector<EngineId> ended_processes;
  const ApplyResult result = endpoints.apply(event, update, ended_processes);
  const bool is_number_correct = result == ApplyResult::applied ? endpoints.last_event() > last_before
                                                                : endpoints.last_event() == last_before;
  if (!is_number_correct) fuzz::fail("the number of the last event is wrong");
  endpoints.forget_removed();
  return std::to_string(event.number) + " " + std::to_string(static_cast<int>(result)) + " " +
         std::to_string(update.engines.size()) + " " + std::to_string(endpoints.size()) + "\n";
}

std::string run(fuzz::Chunks chunks, std::uint8_t /*seed*/) {
  discovery::EventReader reader;
  platform::EndpointList endpoints;
  std::string output;
  fuzz::read_messages<discovery::ProtocolViolation>(chunks, reader, output, [&](const auto& message) {
    if (const auto* event = std::get_if<discovery::Event>(&message)) {
      output += apply_event(endpoints, *event);
    } else {
      output += "heartbeat\n";
    }
    return fuzz::Flow::next;
  });
  return output;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  return paddlestand::fuzz::check_splits(data, size, run, "splitting the input changed the events");
}

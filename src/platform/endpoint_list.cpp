#include "endpoint_list.hpp"

#include <set>

namespace paddlestand::platform {

EndpointList::ApplyResult EndpointList::take(const discovery::Event& event, core::EndpointsUpdated& told,
                                             std::vector<EngineId>& ended) {
  if (event.number <= last_) return ApplyResult::duplicate;
  // A whole list needs nothing before it.
  if (!event.whole && event.number != last_ + 1) return ApplyResult::gap;
  last_ = event.number;
  told.scope = event.whole ? EndpointUpdate::full : EndpointUpdate::delta;
  std::set<EngineId> named;
  for (const discovery::Record& record : event.records) {
    const EngineId id = record.entry.engine;
    const Engine now{
        {record.address, record.port}, record.entry.started, record.entry.state == EngineState::removed};
    const auto [known, fresh] = engines_.try_emplace(id, now);
    if (!fresh && !known->second.same_process(now)) ended.push_back(id);
    known->second = now;
    told.engines.push_back(record.entry);
    if (event.whole) named.insert(id);
  }
  if (!event.whole) return ApplyResult::applied;
  for (auto& [id, engine] : engines_) {
    if (named.contains(id) || engine.gone) continue;
    engine.gone = true;
    ended.push_back(id);
  }
  return ApplyResult::applied;
}

void EndpointList::forget_removed() {
  std::erase_if(engines_, [](const auto& engine) { return engine.second.gone; });
}

std::optional<Address> EndpointList::address(EngineId engine) const {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return std::nullopt;
  return found->second.at;
}

}  // namespace paddlestand::platform

#include "endpoint_list.hpp"

namespace paddlestand::platform {

EndpointList::ApplyResult EndpointList::apply(const discovery::Event& event, core::EndpointsUpdated& update,
                                              std::vector<EngineId>& ended_processes) {
  if (event.number <= last_event_) return ApplyResult::duplicate;
  // A full list does not depend on earlier events.
  if (!event.is_full_list && event.number != last_event_ + 1) return ApplyResult::gap;
  last_event_ = event.number;
  update.scope = event.is_full_list ? EndpointUpdate::full : EndpointUpdate::delta;
  std::set<EngineId> listed;
  for (const discovery::Record& record : event.records) {
    const EngineId id = record.entry.engine;
    const Engine current{{record.address, record.port}, record.entry.started, record.entry.state};
    const auto [known, is_new] = engines_.try_emplace(id, current);
    if (!is_new && !known->second.is_same_process_as(current)) ended_processes.push_back(id);
    known->second = current;
    update.engines.push_back(record.entry);
    listed.insert(id);
  }
  if (event.is_full_list) remove_unlisted(listed, ended_processes);
  return ApplyResult::applied;
}

void EndpointList::remove_unlisted(const std::set<EngineId>& listed, std::vector<EngineId>& ended_processes) {
  for (auto& [id, engine] : engines_) {
    if (listed.contains(id) || engine.is_removed()) continue;
    engine.state = EngineState::removed;
    ended_processes.push_back(id);
  }
}

void EndpointList::forget_removed() {
  std::erase_if(engines_, [](const auto& entry) { return entry.second.is_removed(); });
}

std::optional<Address> EndpointList::address(EngineId engine) const {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return std::nullopt;
  return found->second.address;
}

bool EndpointList::is_ready(EngineId engine) const {
  const auto found = engines_.find(engine);
  return found != engines_.end() && found->second.state == EngineState::ready;
}

}  // namespace paddlestand::platform

#include "fleet.hpp"

namespace paddlestand::platform {

Fleet::Taken Fleet::take(const command_channel::Event& event, core::FleetTold& told) {
  if (event.number <= last_) return Taken::seen;
  // A whole list needs nothing before it.
  if (!event.whole && event.number != last_ + 1) return Taken::gap;
  last_ = event.number;
  told.scope = event.whole ? FleetScope::full : FleetScope::delta;
  if (event.whole)
    for (auto& [id, engine] : engines_) engine.gone = true;
  for (const command_channel::Record& record : event.records) {
    engines_[record.entry.engine] = {{record.address, record.port}, record.entry.state == EngineState::gone};
    told.engines.push_back(record.entry);
  }
  return Taken::applied;
}

void Fleet::forget_gone() {
  std::erase_if(engines_, [](const auto& engine) { return engine.second.gone; });
}

std::optional<Address> Fleet::address(EngineId engine) const {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return std::nullopt;
  return found->second.at;
}

}  // namespace paddlestand::platform

// The endpoint list: which engines are ready, and which channels and attempts end when an engine no longer
// is.
#include <algorithm>
#include <set>

#include "query_coordinator.hpp"

namespace paddlestand::core {

void QueryCoordinator::on(const EndpointsUpdated& event) {
  // The module is notified first: it must not retry attempts that end below on the same engine.
  process_module_events();
  notify_module(EndpointsChanged{event.scope, event.engines});
  process_module_events();  // the event's span is valid only during this call
  if (event.scope == EndpointUpdate::failed) return;
  for (const EngineEntry& entry : event.engines) update_pool(entry);
  if (event.scope != EndpointUpdate::delta) remove_missing_engines(event.engines);
  // Engine ids are not reused, so a pool that is not ready and has no channels is not needed again.
  std::erase_if(pools_,
                [](const auto& pool) { return !pool.second.is_ready() && pool.second.channels() == 0; });
}

void QueryCoordinator::update_pool(const EngineEntry& entry) {
  parts::Pool& pool = pools_[entry.engine];
  const bool is_ready = entry.state == EngineState::ready;
  const bool restarted = pool.is_ready() && entry.started > pool.started();
  if (pool.is_ready() && (!is_ready || restarted)) {
    pool.set_not_ready();
    close_channels_of(entry.engine);
  }
  if (is_ready) {
    pool.set_ready(entry.started);
  } else {
    pool.set_not_ready(entry.started);
  }
}

void QueryCoordinator::remove_missing_engines(const std::vector<EngineEntry>& entries) {
  std::set<EngineId> listed;
  for (const EngineEntry& entry : entries) listed.insert(entry.engine);
  std::vector<EngineId> missing;
  for (const auto& [engine, pool] : pools_)
    if (pool.is_ready() && !listed.contains(engine)) missing.push_back(engine);
  for (const EngineId engine : missing) {
    pools_[engine].set_not_ready();
    close_channels_of(engine);
  }
}

void QueryCoordinator::close_channels_of(EngineId engine) {
  const std::vector<ChannelId> idle = pools_[engine].idle();
  for (const ChannelId id : idle) close_channel(id);
  std::vector<ChannelId> to_close;
  for (const auto& [id, channel] : channels_)
    if (channel.engine == engine && parts::Rules::closes_with_engine(channel)) to_close.push_back(id);
  std::sort(to_close.begin(), to_close.end());
  for (const ChannelId id : to_close) {
    const ChannelRecord& channel = channels_.at(id);
    if (channel.use == ChannelUse::probe) {
      end_probe(id, AttemptResult::not_sent);
      continue;
    }
    if (channel.query)
      end_attempt(queries_.at(*channel.query), channel.attempt_index, AttemptResult::not_sent);
    close_channel(id);
  }
}

}  // namespace paddlestand::core

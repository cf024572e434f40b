#include "model_entities.hpp"

#include <utility>

namespace paddlestand::explorer {
namespace {

constexpr std::uint64_t max_clients = 256;

}  // namespace

const EngineSideChannel* ManagerState::find_channel(ChannelId id) const {
  for (const EngineSideChannel& channel : channels) {
    if (channel.id == id) return &channel;
  }
  return nullptr;
}

EngineSideChannel* ManagerState::find_channel(ChannelId id) {
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-const-cast): this object is not const
  return const_cast<EngineSideChannel*>(std::as_const(*this).find_channel(id));
}

void ManagerState::finish_attempt(QueryId query) {
  const auto observed = queries.find(query);
  if (observed != queries.end()) observed->second.finish_attempt();
}

// A client that replaces another gets a new session id; session ids are never reused.
core::SessionId ManagerState::session_of(std::uint32_t client) const {
  return std::uint64_t{clients[client].sessions_before} * max_clients + client + 1;
}

std::size_t client_of(core::SessionId session) {
  return static_cast<std::size_t>((session - 1) % max_clients);
}

}  // namespace paddlestand::explorer

#include "engine_connections.hpp"

#include <algorithm>

namespace paddlestand::platform {

EngineConnections::Connection EngineConnections::place(EngineId engine, const tcp::endpoint& at,
                                                       core::ChannelUse use, core::StreamId id,
                                                       std::size_t engines) {
  const auto found = all_.find(engine);
  std::vector<core::ConnectionFacts> facts;
  if (found != all_.end()) {
    facts.reserve(found->second.size());
    for (const Connection& one : found->second)
      facts.push_back(
          {!one->retired() && !one->closed(), one->table().may_carry(id), one->streams(), one->heard()});
  }
  core::ConnectionLimits limits;
  limits.streams_per_connection = streams_per_connection_;
  limits.usual = std::max<std::size_t>(2, most_ / std::max<std::size_t>(1, engines));
  limits.room = size_ < most_ || longest_idle() != nullptr;
  const core::ConnectionChoice choice = core::choose_connection(facts, limits, use);
  switch (choice.kind) {
    case core::ConnectionChoice::Kind::none: return nullptr;
    case core::ConnectionChoice::Kind::existing: return found->second[choice.index];
    case core::ConnectionChoice::Kind::open: break;
  }
  if (size_ >= most_) drop(longest_idle());
  return open(engine, at);
}

EngineConnections::Connection EngineConnections::open(EngineId engine, const tcp::endpoint& at) {
  const auto connection = std::make_shared<EngineConnection>(platform_, engine, at, ++last_);
  all_[engine].push_back(connection);
  ++size_;
  connection->start();
  return connection;
}

EngineConnections::Connection EngineConnections::longest_idle() const {
  Connection longest;
  for (const auto& [engine, connections] : all_)
    for (const Connection& one : connections)
      if (one->streams() == 0 && (!longest || one->used() < longest->used())) longest = one;
  return longest;
}

EngineConnections::Connection EngineConnections::find(core::ConnectionId number) const {
  for (const auto& [engine, connections] : all_)
    for (const Connection& one : connections)
      if (one->number() == number) return one;
  return nullptr;
}

void EngineConnections::drop(const Connection& connection) {
  connection->close();
  attempts_.connection_closed(connection->number());
  const auto found = all_.find(connection->engine());
  if (found == all_.end()) return;
  size_ -= std::erase(found->second, connection);
  if (found->second.empty()) all_.erase(found);
}

void EngineConnections::retire_all_of(EngineId engine) {
  const auto found = all_.find(engine);
  if (found == all_.end()) return;
  const auto connections = found->second;
  for (const Connection& one : connections) {
    one->retire();
    if (one->streams() == 0) drop(one);
  }
}

}  // namespace paddlestand::platform

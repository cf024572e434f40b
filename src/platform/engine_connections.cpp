#include "engine_connections.hpp"

#include <algorithm>

namespace paddlestand::platform {

EngineConnections::Connection EngineConnections::place(EngineId engine, const tcp::endpoint& address,
                                                       core::ChannelUse use, core::StreamId stream,
                                                       std::size_t engines) {
  const auto found = connections_.find(engine);
  std::vector<core::ConnectionFacts> facts;
  if (found != connections_.end()) {
    facts.reserve(found->second.size());
    for (const Connection& connection : found->second) {
      facts.push_back({!connection->is_retired() && !connection->is_closed(),
                       connection->stream_table().may_carry(stream), connection->stream_count(),
                       connection->last_received()});
    }
  }
  const core::ConnectionChoice choice = core::choose_connection(facts, limits_for(engines), use);
  switch (choice.kind) {
    case core::ConnectionChoice::Kind::none: return nullptr;
    case core::ConnectionChoice::Kind::existing: return found->second[choice.index];
    case core::ConnectionChoice::Kind::open: break;
  }
  if (size_ >= settings_.max_connections) drop(longest_idle());
  return open(engine, address);
}

core::ConnectionLimits EngineConnections::limits_for(std::size_t engines) const {
  core::ConnectionLimits limits;
  limits.streams_per_connection = settings_.streams_per_connection;
  limits.usual_connections =
      std::max<std::size_t>(2, settings_.max_connections / std::max<std::size_t>(1, engines));
  limits.may_open = size_ < settings_.max_connections || longest_idle() != nullptr;
  return limits;
}

EngineConnections::Connection EngineConnections::open(EngineId engine, const tcp::endpoint& address) {
  const EngineConnectionTarget target{engine, address, ++last_number_, settings_.connect_timeout};
  auto connection = std::make_shared<EngineConnection>(host_, listener_, target);
  connections_[engine].push_back(connection);
  ++size_;
  connection->start();
  return connection;
}

EngineConnections::Connection EngineConnections::longest_idle() const {
  Connection longest;
  for (const auto& [engine, connections] : connections_) {
    for (const Connection& connection : connections) {
      if (connection->stream_count() > 0) continue;
      if (!longest || connection->last_used() < longest->last_used()) longest = connection;
    }
  }
  return longest;
}

EngineConnections::Connection EngineConnections::find(core::ConnectionId number) const {
  for (const auto& [engine, connections] : connections_) {
    for (const Connection& connection : connections)
      if (connection->number() == number) return connection;
  }
  return nullptr;
}

void EngineConnections::drop(const Connection& connection) {
  connection->close();
  attempts_.connection_closed(connection->number());
  const auto found = connections_.find(connection->engine());
  if (found == connections_.end()) return;
  size_ -= std::erase(found->second, connection);
  if (found->second.empty()) connections_.erase(found);
}

void EngineConnections::retire_all_of(EngineId engine) {
  const auto found = connections_.find(engine);
  if (found == connections_.end()) return;
  const auto connections = found->second;  // a copy: dropping one changes the list
  for (const Connection& connection : connections) {
    connection->retire();
    if (connection->stream_count() == 0) drop(connection);
  }
}

}  // namespace paddlestand::platform

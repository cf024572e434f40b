#include "connection_choice.hpp"

#include <optional>

namespace paddlestand::core {
namespace {

// How far further attempts may go beyond an engine's part of the descriptors, since their ids bar them from
// the connections that the earlier ones used.
constexpr std::size_t most_times_usual = 2;

std::optional<std::size_t> idle_one(std::span<const ConnectionFacts> connections) {
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < connections.size(); ++i) {
    const ConnectionFacts& one = connections[i];
    if (!one.takes_streams || !one.may_carry || one.streams > 0) continue;
    if (!best || one.heard > connections[*best].heard) best = i;
  }
  return best;
}

std::optional<std::size_t> least_used_one(std::span<const ConnectionFacts> connections, std::size_t most) {
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < connections.size(); ++i) {
    const ConnectionFacts& one = connections[i];
    if (!one.takes_streams || !one.may_carry || one.streams >= most) continue;
    if (!best || one.streams < connections[*best].streams) best = i;
  }
  return best;
}

bool barred_by_id(std::span<const ConnectionFacts> connections, std::size_t most) {
  for (const ConnectionFacts& one : connections)
    if (one.takes_streams && !one.may_carry && one.streams < most) return true;
  return false;
}

}  // namespace

ConnectionChoice choose_connection(std::span<const ConnectionFacts> connections,
                                   const ConnectionLimits& limits, ChannelUse use) {
  using Kind = ConnectionChoice::Kind;
  const auto idle = idle_one(connections);
  if (idle && use == ChannelUse::query) return {Kind::existing, *idle};
  if (connections.size() < limits.usual && limits.room) return {Kind::open};
  if (const auto shared = least_used_one(connections, limits.streams_per_connection))
    return {Kind::existing, *shared};
  if (connections.size() < most_times_usual * limits.usual && limits.room &&
      barred_by_id(connections, limits.streams_per_connection))
    return {Kind::open};
  return {};
}

}  // namespace paddlestand::core

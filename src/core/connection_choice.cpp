#include "connection_choice.hpp"

#include <algorithm>
#include <optional>

namespace paddlestand::core {
namespace {

/// Limit of an engine's connections, as a multiple of its share of the descriptors. Retries may exceed the
/// share, because they can't use the connections of earlier attempts with the same id.
constexpr std::size_t max_share_multiple = 2;

/// The idle connection that received bytes most recently.
std::optional<std::size_t> find_idle(std::span<const ConnectionFacts> connections) {
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < connections.size(); ++i) {
    const ConnectionFacts& connection = connections[i];
    if (!connection.accepts_streams || !connection.may_carry || connection.streams > 0) continue;
    if (!best || connection.last_received > connections[*best].last_received) best = i;
  }
  return best;
}

/// The connection with the fewest streams among those with fewer than `max_streams`.
std::optional<std::size_t> find_least_loaded(std::span<const ConnectionFacts> connections,
                                             std::size_t max_streams) {
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < connections.size(); ++i) {
    const ConnectionFacts& connection = connections[i];
    if (!connection.accepts_streams || !connection.may_carry || connection.streams >= max_streams) continue;
    if (!best || connection.streams < connections[*best].streams) best = i;
  }
  return best;
}

/// Whether a connection has free capacity but can't be used because the stream's id was used on it.
bool is_excluded_by_id(std::span<const ConnectionFacts> connections, std::size_t max_streams) {
  return std::any_of(connections.begin(), connections.end(), [&](const ConnectionFacts& connection) {
    return connection.accepts_streams && !connection.may_carry && connection.streams < max_streams;
  });
}

}  // namespace

ConnectionChoice choose_connection(std::span<const ConnectionFacts> connections,
                                   const ConnectionLimits& limits, ChannelUse use) {
  using Kind = ConnectionChoice::Kind;
  const auto idle = find_idle(connections);
  if (idle && use == ChannelUse::query) return {Kind::existing, *idle};
  if (connections.size() < limits.usual_connections && limits.may_open) return {Kind::open};
  if (const auto shared = find_least_loaded(connections, limits.streams_per_connection))
    return {Kind::existing, *shared};
  if (connections.size() < max_share_multiple * limits.usual_connections && limits.may_open &&
      is_excluded_by_id(connections, limits.streams_per_connection))
    return {Kind::open};
  return {};
}

}  // namespace paddlestand::core

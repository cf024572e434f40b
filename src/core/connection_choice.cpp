#include "connection_choice.hpp"

#include <algorithm>
#include <optional>

namespace paddlestand::core {
namespace {

/// How far retries may exceed an engine's share of the descriptors, since their ids exclude them from the
/// connections that earlier attempts used.
constexpr std::size_t max_times_usual = 2;

/// The idle connection whose last bytes arrived most recently.
std::optional<std::size_t> find_idle(std::span<const ConnectionFacts> connections) {
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < connections.size(); ++i) {
    const ConnectionFacts& connection = connections[i];
    if (!connection.takes_streams || !connection.may_carry || connection.streams > 0) continue;
    if (!best || connection.heard > connections[*best].heard) best = i;
  }
  return best;
}

/// The connection with the fewest streams, of those below `max_streams`.
std::optional<std::size_t> find_least_loaded(std::span<const ConnectionFacts> connections,
                                             std::size_t max_streams) {
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < connections.size(); ++i) {
    const ConnectionFacts& connection = connections[i];
    if (!connection.takes_streams || !connection.may_carry || connection.streams >= max_streams) continue;
    if (!best || connection.streams < connections[*best].streams) best = i;
  }
  return best;
}

/// Whether only the stream's id excludes it from a connection with free capacity.
bool is_excluded_by_id(std::span<const ConnectionFacts> connections, std::size_t max_streams) {
  return std::any_of(connections.begin(), connections.end(), [&](const ConnectionFacts& connection) {
    return connection.takes_streams && !connection.may_carry && connection.streams < max_streams;
  });
}

}  // namespace

ConnectionChoice choose_connection(std::span<const ConnectionFacts> connections,
                                   const ConnectionLimits& limits, ChannelUse use) {
  using Kind = ConnectionChoice::Kind;
  const auto idle = find_idle(connections);
  if (idle && use == ChannelUse::query) return {Kind::existing, *idle};
  if (connections.size() < limits.usual && limits.room) return {Kind::open};
  if (const auto shared = find_least_loaded(connections, limits.streams_per_connection))
    return {Kind::existing, *shared};
  if (connections.size() < max_times_usual * limits.usual && limits.room &&
      is_excluded_by_id(connections, limits.streams_per_connection))
    return {Kind::open};
  return {};
}

}  // namespace paddlestand::core

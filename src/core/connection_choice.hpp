/// Decides whether a new stream uses an existing connection to its engine or a new one. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

#include "types.hpp"

namespace paddlestand::core {

/// The state of a connection as it concerns one new stream.
struct ConnectionFacts {
  bool accepts_streams = false;  ///< open or opening, and not retired
  bool may_carry = false;  ///< the stream's id was never used on this connection
  std::size_t streams = 0;  ///< assigned to the connection, also while it is opening
  TimePoint last_received{};  ///< time of the last received bytes, or of opening
};

struct ConnectionLimits {
  std::size_t streams_per_connection = 1;
  std::size_t usual_connections = 2;  ///< per engine: its share of the descriptors
  bool may_open = false;  ///< another connection may be opened, if necessary by closing an idle one
};

struct ConnectionChoice {
  enum class Kind : std::uint8_t { existing, open, none } kind = Kind::none;
  std::size_t index = 0;  ///< of the existing connection
};

/// Chooses the idle connection that received bytes most recently; else a new connection, within the engine's
/// share of the descriptors; else the connection with the fewest streams. If connections have free capacity
/// but the stream's id was already used on each of them, a new connection may be opened beyond the engine's
/// share, up to twice that.
///
/// A probe prefers a new connection: it tests whether the engine is reachable, and an old idle connection may
/// be dead although the engine is reachable.
[[nodiscard]] ConnectionChoice choose_connection(std::span<const ConnectionFacts> connections,
                                                 const ConnectionLimits& limits, ChannelUse use);

}  // namespace paddlestand::core

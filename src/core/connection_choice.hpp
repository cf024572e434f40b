/// Chooses the connection to an engine that carries a new stream, or a new connection for it. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

#include "types.hpp"

namespace paddlestand::core {

/// What is known of a connection, for one new stream.
struct ConnectionFacts {
  bool takes_streams = false;  ///< open or opening, and not retired
  bool may_carry = false;  ///< the stream's id was never used on it
  std::size_t streams = 0;  ///< that it carries, or will once it is open
  TimePoint heard{};  ///< when its last bytes arrived, or when it opened
};

struct ConnectionLimits {
  std::size_t streams_per_connection = 1;
  std::size_t usual = 2;  ///< connections of one engine: its share of the descriptors
  bool room = false;  ///< another one may be opened, if necessary in place of an idle one
};

struct ConnectionChoice {
  enum class Kind : std::uint8_t { existing, open, none } kind = Kind::none;
  std::size_t index = 0;  ///< of the existing one
};

/// Chooses the idle connection whose last bytes arrived most recently; else a new one, within the engine's
/// share of the descriptors; else the one with the fewest streams. Where only its id excludes the stream from
/// connections with free capacity, a new one may be opened beyond the engine's share, up to twice that.
///
/// A probe prefers a new connection: it tests whether the engine can be reached, and an old idle connection
/// may hang although it can.
[[nodiscard]] ConnectionChoice choose_connection(std::span<const ConnectionFacts> connections,
                                                 const ConnectionLimits& limits, ChannelUse use);

}  // namespace paddlestand::core

/// On which of an engine's connections a new stream goes, or whether one is opened for it. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

#include "types.hpp"

namespace paddlestand::core {

struct ConnectionFacts {
  bool takes_streams = false;  ///< open or opening, and not retired
  bool may_carry = false;  ///< the stream's id was never used on it
  std::size_t streams = 0;  ///< that it carries, or will once it is up
  TimePoint heard{};  ///< its last bytes, or when it came up
};

struct ConnectionLimits {
  std::size_t streams_per_connection = 1;
  std::size_t usual = 2;  ///< connections of one engine: its part of the descriptors
  bool room = false;  ///< another one may be opened, if need be in place of one that is idle
};

struct ConnectionChoice {
  enum class Kind : std::uint8_t { existing, open, none } kind = Kind::none;
  std::size_t index = 0;  ///< of the existing one
};

/// An idle connection, the one heard of last; else a new one while the engine's part of the descriptors
/// lasts; else the one with the fewest streams. Where only the id keeps a stream off those that have room, a
/// new one may be opened beyond the engine's part, up to twice that.
///
/// A probe is to tell whether the engine can be reached: an old idle connection may hang alone, so a new one
/// comes first.
ConnectionChoice choose_connection(std::span<const ConnectionFacts> connections,
                                   const ConnectionLimits& limits, ChannelUse use);

}  // namespace paddlestand::core

/// The streams of one connection to an engine: which attempt a frame that arrives on it belongs to. No I/O,
/// not thread-safe.
///
/// Frames name a request, not an attempt. A late frame of an attempt that has ended must not be mistaken for
/// one of its successor: so an id is used at most once in the life of a connection, and a retry of the same
/// request uses another connection.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "types.hpp"

namespace paddlestand::core {

using StreamId = std::uint64_t;  ///< the id of a request or a probe in its frames

/// After this many ids a connection accepts no new stream, so that the ids it remembers stay bounded.
inline constexpr std::size_t max_ids_of_a_connection = 1024;

class StreamTable {
 public:
  /// Whether a stream with this id may be opened: none was before, and the connection is not exhausted.
  [[nodiscard]] bool may_carry(StreamId id) const;
  /// Whether no further stream may be opened, whatever its id.
  [[nodiscard]] bool exhausted() const { return used_.size() >= max_ids_of_a_connection; }

  /// Reserves the id for a stream that is going to be opened. False where it may not be.
  bool reserve(StreamId id, ChannelId channel);
  /// Its first byte may be sent from here on. False where the id was not reserved for this channel.
  bool open(StreamId id, ChannelId channel);
  /// Frames of it that arrive from here on belong to no stream.
  void close(StreamId id);
  /// No byte of it was sent, and none will be: the id may be used again.
  void release(StreamId id);

  /// The channel of an open stream; empty for any other id.
  [[nodiscard]] std::optional<ChannelId> channel_of(StreamId id) const;

 private:
  struct Stream {
    ChannelId channel{};
    bool open = false;
  };
  std::map<StreamId, Stream> live_;  // reserved or open
  std::vector<StreamId> used_;  // sorted; includes those of live_
};

}  // namespace paddlestand::core

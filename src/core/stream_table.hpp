/// Maps the frames that arrive on one connection to an engine to attempts. No I/O; not thread-safe.
///
/// Frames contain the id of a request, not of an attempt. A late frame of an attempt that has ended must not
/// be assigned to a later attempt. Therefore an id is used at most once on a connection, and a retry of the
/// same request uses another connection.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "types.hpp"

namespace paddlestand::core {

using StreamId = std::uint64_t;  ///< the id of a request or probe, as its frames contain it

/// Limit of the ids used on one connection, which bounds the memory for them. A connection that has reached
/// it accepts no new stream.
inline constexpr std::size_t max_stream_ids_per_connection = 1024;

class StreamTable {
 public:
  /// Whether a stream with this id may be opened: the id is unused, and the connection is not exhausted.
  [[nodiscard]] bool may_carry(StreamId id) const;
  /// Whether the connection has reached its limit of ids, so that no further stream may be opened.
  [[nodiscard]] bool exhausted() const { return used_.size() >= max_stream_ids_per_connection; }

  /// Reserves the id for a stream that will be opened. Returns false if may_carry() is false.
  bool reserve(StreamId id, ChannelId channel);
  /// Opens the stream: its first byte may be sent from now on. Returns false if the id is not reserved for
  /// this channel.
  bool open(StreamId id, ChannelId channel);
  /// Closes the stream: its later frames belong to no stream.
  void close(StreamId id);
  /// Releases a stream of which no byte was or will be sent: the id may be used again.
  void release(StreamId id);

  /// The channel of an open stream; empty for any other id.
  [[nodiscard]] std::optional<ChannelId> channel_of(StreamId id) const;

 private:
  struct Stream {
    ChannelId channel{};
    bool open = false;
  };
  std::map<StreamId, Stream> live_;  // reserved or open
  std::vector<StreamId> used_;  // sorted; includes the ids of live_
};

}  // namespace paddlestand::core

/// The streams of one connection to an engine: whose attempt a frame that comes on it belongs to. No I/O.
///
/// Frames name a request, not an attempt. So that what still comes of an attempt that has ended can never be
/// taken for its successor's, an id is used at most once in the life of a connection: a further attempt of
/// the same request goes out on another one (incident 32, docs/incidents/032-two-attempts-at-once.md).
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "types.hpp"

namespace paddlestand::core {

using StreamId = std::uint64_t;  ///< of a request or a probe, as its frames have it

/// After so many ids a connection takes no new stream, so that what it remembers stays bounded.
inline constexpr std::size_t most_ids_of_a_connection = 1024;

class StreamTable {
 public:
  /// Whether a stream with this id may be opened: none was before, and there is room to remember it.
  [[nodiscard]] bool may_carry(StreamId id) const;
  /// Whether no further stream may be opened, whatever its id.
  [[nodiscard]] bool exhausted() const { return used_.size() >= most_ids_of_a_connection; }

  /// Keeps the id for a stream that is going to be opened. False where it may not be.
  bool reserve(StreamId id, ChannelId channel);
  /// Its first byte may go out from here on. False where the id was not reserved for this channel.
  bool open(StreamId id, ChannelId channel);
  /// What comes for it from here on belongs to nobody.
  void close(StreamId id);
  /// No byte of it went out, and none will: the id is as if never used.
  void release(StreamId id);

  /// The channel of an open stream; nothing for any other id.
  [[nodiscard]] std::optional<ChannelId> channel_of(StreamId id) const;

 private:
  struct Stream {
    ChannelId channel{};
    bool open = false;
  };
  std::map<StreamId, Stream> live_;  // reserved or open
  std::vector<StreamId> used_;  // sorted; those of live_ too
};

}  // namespace paddlestand::core

/// The attempts that may be active on engines, derived from what was sent and received on connections rather
/// than from the events of the query coordinator: this class alone knows when an attempt has ended for its
/// engine. No I/O; not thread-safe.
///
/// An attempt is active from its first byte until its end was read, its cancel was transmitted (has left this
/// machine), or its connection is closed. A cancel that is still queued, here or in the socket's buffer, ends
/// no attempt.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace paddlestand::core {

using ConnectionId = std::uint64_t;  ///< assigned by the host, never reused

class WireAttempts {
 public:
  /// The frame of an attempt is sent or queued on this connection.
  void began(std::uint64_t request, ConnectionId connection);
  /// The cancel of the attempt was written or queued, but may not be transmitted yet.
  void cancelling(std::uint64_t request, ConnectionId connection);
  /// The end of the attempt was read, its cancel was transmitted, or it will never be sent.
  void ended(std::uint64_t request, ConnectionId connection);
  /// Closing a connection ends all attempts on it.
  void connection_closed(ConnectionId connection);

  /// The connections with a cancel for this request that may not be transmitted yet. Before a retry is sent,
  /// each of these cancels must be transmitted, or its connection closed.
  [[nodiscard]] std::vector<ConnectionId> being_cancelled(std::uint64_t request) const;
  /// Whether the request has an active attempt that was not cancelled, so that no other may be sent.
  [[nodiscard]] bool out(std::uint64_t request) const;
  /// The number of attempts that may be active on engines.
  [[nodiscard]] std::size_t size() const { return size_; }

 private:
  struct Attempt {
    ConnectionId connection{};
    bool cancelled = false;
  };
  std::unordered_map<std::uint64_t, std::vector<Attempt>> attempts_;  // by request; no list is empty
  std::size_t size_ = 0;
};

}  // namespace paddlestand::core

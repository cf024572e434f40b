/// The attempts that engines may have, judged by what was sent and received on connections rather than by
/// what the query coordinator was notified of: the one place that knows when an attempt has ended for its
/// engine. No I/O, not thread-safe.
///
/// An attempt is active from its first byte until its end was read, its cancel has left this machine, or its
/// connection is closed. A cancel that waits, here or in the socket's buffer, ends nothing.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace paddlestand::core {

using ConnectionId = std::uint64_t;  ///< given by the host, never used twice

class WireAttempts {
 public:
  /// Its frame is sent on this connection, or waits there.
  void began(std::uint64_t request, ConnectionId connection);
  /// Its cancel was written, or waits; it may not have left this machine yet.
  void cancelling(std::uint64_t request, ConnectionId connection);
  /// Its end was read, its cancel has left, or it will never be sent.
  void ended(std::uint64_t request, ConnectionId connection);
  /// Closing a connection ends all attempts on it.
  void connection_closed(ConnectionId connection);

  /// Connections whose cancel of an attempt of this request may not have left. Before a retry is sent, the
  /// cancel of each must have left, or the connection must be closed.
  [[nodiscard]] std::vector<ConnectionId> being_cancelled(std::uint64_t request) const;
  /// Whether the request has an active attempt that was not cancelled: no other may be sent.
  [[nodiscard]] bool out(std::uint64_t request) const;
  /// The number of all attempts that engines may have.
  [[nodiscard]] std::size_t size() const { return size_; }

 private:
  struct Attempt {
    ConnectionId connection{};
    bool cancelled = false;
  };
  std::unordered_map<std::uint64_t, std::vector<Attempt>> attempts_;  // by request; none is empty
  std::size_t size_ = 0;
};

}  // namespace paddlestand::core

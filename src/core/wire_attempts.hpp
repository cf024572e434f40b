/// The attempts of requests that engines may have, by what went out and came in on connections, and not by
/// what the query coordinator was told: the one place that says when an attempt is over for its engine. No
/// I/O.
///
/// An attempt is out from its first byte until its end was read, its cancel has left this machine, or its
/// connection is closed. A cancel that waits, here or in the socket's buffer, ends nothing (incident 32).
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace paddlestand::core {

using ConnectionId = std::uint64_t;  ///< given by the host, never used twice

class WireAttempts {
 public:
  /// Its frame goes out on this connection, or waits there.
  void began(std::uint64_t request, ConnectionId connection);
  /// Its cancel was written, or waits; it may not have left yet.
  void cancelling(std::uint64_t request, ConnectionId connection);
  /// Its end was read, its cancel has left, or it never goes out.
  void ended(std::uint64_t request, ConnectionId connection);
  /// Closing it gives up all that was open on it.
  void connection_closed(ConnectionId connection);

  /// Connections whose cancel of an attempt of this request may not have left. Before a further attempt goes
  /// out, the cancel of each must have left, or the connection must be closed.
  [[nodiscard]] std::vector<ConnectionId> being_cancelled(std::uint64_t request) const;
  /// Whether an attempt of it is out that was not cancelled: no further one may go out.
  [[nodiscard]] bool out(std::uint64_t request) const;
  /// All attempts that engines may have.
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

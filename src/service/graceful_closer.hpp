/// The ends of clients' connections whose last message must still be read.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>

#include "protocol/pg/messages.hpp"
#include "socket_calls.hpp"

namespace paddlestand::service {

/// Closes connections without a reset that would drop what was written last, a bounded number at a time.
/// Belongs to one host, on its loop's thread, and must live as long as the loop runs.
class GracefulCloser {
 public:
  explicit GracefulCloser(boost::asio::io_context& io) : io_(io) {}

  /// Closes a connection once its client has closed its side, or has had a second for it. Over a bound of
  /// such connections it is closed at once.
  void close(StreamSocket socket);

  /// Whether another connection may be rejected with a reason: in a flood the others are closed without one.
  [[nodiscard]] bool can_reject() const;
  /// Writes an ErrorResponse to a client that gets no session, and closes its connection.
  void reject(StreamSocket socket, const pg::Fields& error);

 private:
  boost::asio::awaitable<void> linger(StreamSocket socket);
  boost::asio::awaitable<void> write_and_linger(StreamSocket socket, std::string bytes);

  boost::asio::io_context& io_;
  std::size_t lingering_ = 0;  // connections that wait for their client to close
  std::size_t rejecting_ = 0;  // connections that are being rejected with a reason
};

}  // namespace paddlestand::service

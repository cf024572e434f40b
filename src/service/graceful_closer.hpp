/// Closes connections without losing the last message, which the client may not have read yet.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>

#include "protocol/pg/messages.hpp"
#include "socket_calls.hpp"

namespace paddlestand::service {

/// Closes connections without a reset, which would discard data that the client has not read. The number of
/// connections closed this way at a time is bounded. Belongs to one host, is used only on its event loop's
/// thread, and must live as long as the loop runs.
class GracefulCloser {
 public:
  explicit GracefulCloser(boost::asio::io_context& io) : io_(io) {}

  /// Closes a connection once its client has closed its side, or after a second. It is closed immediately
  /// while the maximum number of connections is lingering.
  void close(StreamSocket socket);

  /// Whether another connection may be rejected with an error message. The number of such rejections at a
  /// time is bounded; further connections are closed without a message.
  [[nodiscard]] bool can_reject() const;
  /// Sends an ErrorResponse to a client that gets no session, and closes its connection.
  void reject(StreamSocket socket, const pg::Fields& error);

 private:
  boost::asio::awaitable<void> linger(StreamSocket socket);
  boost::asio::awaitable<void> write_and_linger(StreamSocket socket, std::string bytes);

  boost::asio::io_context& io_;
  std::size_t lingering_ = 0;  // connections waiting for the client to close
  std::size_t rejecting_ = 0;  // connections being rejected with an error message
};

}  // namespace paddlestand::service

/// A listening socket that continues to accept after transient errors of its system calls, and accepts the
/// connections in the kernel's queue before it closes.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <optional>
#include <string>

#include "socket_calls.hpp"

namespace paddlestand::service {

/// Used only on the event loop's thread; must live as long as the loop runs.
class Listener {
 public:
  using tcp = boost::asio::ip::tcp;
  /// `accept_delay`: how long the connection may have been queued because accept failed; zero if it did not
  /// fail.
  using OnConnection = std::function<void(tcp::socket, Duration accept_delay)>;
  using OnError = std::function<void(const std::string&)>;
  /// Returns how far the event loop is currently behind.
  using EventLoopLag = std::function<Duration()>;

  /// `on_error` is called with the first error of a series.
  Listener(boost::asio::io_context& io, OnConnection on_connection, OnError on_error,
           EventLoopLag event_loop_lag);

  /// Throws boost::system::system_error on failure, after which it may be called again.
  void open(const tcp::endpoint& at);
  /// Accepts until the listener is closed.
  boost::asio::awaitable<void> run();
  /// Accepts the queued connections, then closes. While accept fails it is retried for a bounded time.
  void close_when_drained();

  [[nodiscard]] bool is_open() const { return acceptor_.is_open(); }
  [[nodiscard]] std::uint16_t port() const { return port_; }

 private:
  struct Batch {
    IoStatus status{};  ///< of the last accept; `progress` if the limit was reached and more may be queued
    int accepted = 0;
  };
  /// Accepts queued connections up to a limit per turn.
  Batch accept_pending();
  bool register_connection(int socket);
  void record_error(const boost::system::error_code& error);
  boost::asio::awaitable<void> wait_until_pending(Duration pause_on_error);
  boost::asio::awaitable<void> drain();
  void close();

  boost::asio::io_context& io_;
  OnConnection on_connection_;
  OnError on_error_;
  EventLoopLag event_loop_lag_;
  tcp::acceptor acceptor_;
  tcp protocol_ = tcp::v4();
  std::uint16_t port_ = 0;
  int unregistered_ = -1;  // an accepted socket whose registration with the event loop failed
  std::optional<TimePoint> failing_since_;  // since the first error after the queue was last empty
};

}  // namespace paddlestand::service

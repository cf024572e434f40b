/// A listening socket whose system calls may fail for a moment: it continues to accept after every transient
/// error, and accepts what the kernel has queued before it closes.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <optional>
#include <string>

#include "socket_calls.hpp"

namespace paddlestand::service {

/// Used on the loop's thread; must live as long as the loop runs.
class Listener {
 public:
  using tcp = boost::asio::ip::tcp;
  /// `waited`: for how long the connection may have been in the queue because accept failed; else zero.
  using OnConnection = std::function<void(tcp::socket, Duration waited)>;
  using OnTrouble = std::function<void(const std::string&)>;
  /// By how much the event loop lags behind just now.
  using Lateness = std::function<Duration()>;

  /// `on_trouble` is called with the first error of a series.
  Listener(boost::asio::io_context& io, OnConnection on_connection, OnTrouble on_trouble,
           Lateness event_loop_lag);

  /// Throws boost::system::system_error, and may be called again then.
  void open(const tcp::endpoint& at);
  /// Accepts until the listener is closed.
  boost::asio::awaitable<void> run();
  /// Accepts what the kernel has queued, and closes: at once, or while accept fails, for a bounded time.
  void close_when_drained();

  [[nodiscard]] bool is_open() const { return acceptor_.is_open(); }
  [[nodiscard]] std::uint16_t port() const { return port_; }

 private:
  struct Batch {
    IoStatus status{};  ///< of the last accept; progress: the bound was reached, more may be queued
    int accepted = 0;
  };
  /// Accepts what is queued, a bounded number.
  Batch accept_pending();
  bool hand_over(int socket);
  void note_error(const boost::system::error_code& error);
  boost::asio::awaitable<void> wait_until_pending(Duration pause_on_error);
  boost::asio::awaitable<void> drain();
  void close();

  boost::asio::io_context& io_;
  OnConnection on_connection_;
  OnTrouble on_error_;
  Lateness event_loop_lag_;
  tcp::acceptor acceptor_;
  tcp protocol_ = tcp::v4();
  std::uint16_t port_ = 0;
  int unregistered_ = -1;  // accepted, but not registered with the loop yet: that failed
  std::optional<TimePoint> failing_since_;  // the queue was not seen empty since
};

}  // namespace paddlestand::service

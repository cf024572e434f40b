/// A listening socket whose calls may fail for a moment: it goes on accepting through every passing error,
/// and before it closes it takes what the machine has accepted by then.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

#include "socket_calls.hpp"

namespace paddlestand::service {

class Listener {
 public:
  using tcp = boost::asio::ip::tcp;
  /// `waited`: for so long it may have been in the queue, because accept failed; else zero.
  using OnConnection = std::function<void(tcp::socket, Duration waited)>;
  using OnTrouble = std::function<void(const std::string&)>;
  /// By how much the loop is behind just now.
  using Lateness = std::function<Duration()>;

  /// `on_trouble` hears of the first error of a series.
  Listener(boost::asio::io_context& io, OnConnection on_connection, OnTrouble on_trouble,
           Lateness event_loop_lag);

  /// Throws boost::system::system_error; may be called again then.
  void open(const tcp::endpoint& at);
  /// Accepts until the listener is closed.
  boost::asio::awaitable<void> run();
  /// Takes what the machine has accepted, and closes: at once, or where accept fails just now, once it does
  /// not any more, for a bounded time.
  void close_when_drained();

  [[nodiscard]] bool is_open() const { return acceptor_.is_open(); }
  [[nodiscard]] std::uint16_t port() const { return port_; }

 private:
  struct Turn {
    IoStatus status{};  // progress: more is there
    int taken = 0;
  };
  // Accepts what is there, a bounded number; says how it ended.
  Turn accept_pending();
  bool hand_over(int socket);
  void note_trouble(const boost::system::error_code& error);
  boost::asio::awaitable<void> drain();
  void close();

  boost::asio::io_context& io_;
  OnConnection on_connection_;
  OnTrouble on_trouble_;
  Lateness lateness_;
  tcp::acceptor acceptor_;
  tcp protocol_ = tcp::v4();
  std::uint16_t port_ = 0;
  int unregistered_ = -1;  // accepted, but the loop could not take it up yet
  std::optional<TimePoint> in_trouble_since_;  // the queue was not seen empty since
};

}  // namespace paddlestand::service

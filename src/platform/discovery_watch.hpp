/// The subscription to the platform's command channel: asks for every event above the last that is known,
/// again whenever the connection ends, falls silent or skips an event. A call that fails for a moment ends
/// nothing.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "protocol/discovery/events.hpp"
#include "service/socket_calls.hpp"

namespace paddlestand::platform {

class DiscoveryWatch {
 public:
  using tcp = boost::asio::ip::tcp;

  struct Hooks {
    std::function<std::uint64_t()> last_event;
    /// False where an event before it is missing.
    std::function<bool(const discovery::Event&)> on_event;
    std::function<void(const std::string&)> on_trouble;
  };

  DiscoveryWatch(boost::asio::io_context& io, tcp::endpoint at, Hooks hooks);

  void start();
  /// Subscribes there from now on, at once, also where it is the same address.
  void move_to(tcp::endpoint at);
  void stop();

 private:
  struct Round;  // one connection

  boost::asio::awaitable<void> run();
  boost::asio::awaitable<std::string> subscribe(std::shared_ptr<Round> round);
  boost::asio::awaitable<bool> write_cursor(std::shared_ptr<Round> round);
  boost::asio::awaitable<std::string> read_events(std::shared_ptr<Round> round);
  std::string take_events(Round& round);
  void limit(const std::shared_ptr<Round>& round, Duration time);

  boost::asio::io_context& io_;
  tcp::endpoint at_;
  Hooks hooks_;
  std::shared_ptr<Round> round_;
  boost::asio::steady_timer pause_;
  bool stopped_ = false, moved_ = false, local_failure_ = false;
};

}  // namespace paddlestand::platform

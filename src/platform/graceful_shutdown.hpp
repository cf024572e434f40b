/// Graceful shutdown within the time that the platform grants between SIGTERM and SIGKILL: requests are
/// accepted for a short period, then open requests are answered, then connections are closed.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <vector>

#include "client_registry.hpp"
#include "platform_host.hpp"
#include "server_lifecycle.hpp"
#include "service/listener.hpp"

namespace paddlestand::platform {

/// The time between SIGTERM and SIGKILL, derived from the longest deadline of a class.
[[nodiscard]] Duration termination_grace_period(const std::vector<ClassSettings>& classes);

/// Owns the timers of the shutdown. Its arguments must outlive it.
class GracefulShutdown {
 public:
  GracefulShutdown(PlatformHost& host, ServerLifecycle& lifecycle, service::Listener& listener,
                   ClientRegistry& clients, Duration grace_period);

  /// Begins the shutdown of a started server; has no effect if it has already begun. `earliest_signal`: the
  /// earliest time that SIGTERM may have arrived, from which the time of SIGKILL is computed.
  void begin(TimePoint earliest_signal);
  /// Called when all requests of the core have been answered.
  void on_requests_finished();
  /// Once the listener is closed, closes idle connections, so that clients send their next request to another
  /// manager. Stops the event loop once all requests are answered and all clients have disconnected. Has no
  /// effect before the shutdown.
  void end_idle_connections();

 private:
  void run_after(boost::asio::steady_timer& timer, Duration delay, std::function<void()> step);
  boost::asio::awaitable<void> end_idle_connections_often();

  PlatformHost& host_;
  ServerLifecycle& lifecycle_;
  service::Listener& listener_;
  ClientRegistry& clients_;
  Duration grace_period_;
  boost::asio::steady_timer reject_timer_;  // stops accepting connections and requests
  boost::asio::steady_timer idle_timer_;  // starts closing idle connections more often
  boost::asio::steady_timer stop_timer_;  // stops the event loop
};

}  // namespace paddlestand::platform

/// Graceful shutdown within the time that the platform grants between SIGTERM and SIGKILL: requests are
/// accepted for a little longer, then what is open is answered, then connections are ended.
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

/// The time between SIGTERM and SIGKILL, which follows from the longest deadline of a class.
[[nodiscard]] Duration termination_grace_period(const std::vector<ClassSettings>& classes);

/// Owns the timers of the shutdown. Its arguments must outlive it.
class GracefulShutdown {
 public:
  GracefulShutdown(PlatformHost& host, ServerLifecycle& lifecycle, service::Listener& listener,
                   ClientRegistry& clients, Duration grace_period);

  /// Begins the shutdown of a server that was started; has no effect where one has begun. `earliest_signal`:
  /// when SIGTERM may have arrived at the earliest, which is what SIGKILL counts from.
  void begin(TimePoint earliest_signal);
  /// The core holds no request any more.
  void on_requests_finished();
  /// Ends idle connections once the listener is closed, so that clients go elsewhere with their next request;
  /// and the event loop once all clients have closed theirs. Has no effect before the shutdown.
  void end_idle_connections();

 private:
  void run_after(boost::asio::steady_timer& timer, Duration delay, std::function<void()> step);
  boost::asio::awaitable<void> end_idle_connections_often();

  PlatformHost& host_;
  ServerLifecycle& lifecycle_;
  service::Listener& listener_;
  ClientRegistry& clients_;
  Duration grace_period_;
  boost::asio::steady_timer refuse_timer_;  // no further connections and requests
  boost::asio::steady_timer idle_timer_;  // idle connections are ended more often
  boost::asio::steady_timer stop_timer_;  // the event loop ends
};

}  // namespace paddlestand::platform

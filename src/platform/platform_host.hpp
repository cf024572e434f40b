/// What the parts of `PlatformServer` share: the event loop, the clock, the log, the dispatcher of the core
/// and the counter of violations. Parts hold a reference to it and know nothing of the server that joins
/// them.
#pragma once

#include <chrono>

#include "config.hpp"
#include "service/dispatcher_host.hpp"

namespace paddlestand::platform {

/// How often connections and signals are looked at.
inline constexpr Duration sweep_period = std::chrono::milliseconds(100);

/// The host of the core as the parts of the server see it. One thread: the one that runs the event loop.
class PlatformHost : public service::DispatcherHost {
 public:
  using DispatcherHost::count;
  using DispatcherHost::event_loop_lag;
  using DispatcherHost::now;
  using DispatcherHost::stop;

  /// Whether the event loop was stopped.
  [[nodiscard]] bool is_stopped() const { return stopped_; }
  /// Whether each request, attempt and answer is a line of the log.
  [[nodiscard]] bool is_tracing() const { return tracing_; }

 protected:
  PlatformHost(boost::asio::io_context& io, const PlatformConfig& config, bool trace)
      : DispatcherHost(io, log_settings(trace), config.name, config.core), tracing_(trace) {}

 private:
  static observe::LogConfig log_settings(bool trace) {
    observe::LogConfig settings;
    settings.answers = trace;
    return settings;
  }

  bool tracing_;
};

}  // namespace paddlestand::platform

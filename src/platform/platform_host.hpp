/// The services shared by the parts of `PlatformServer`: event loop, clock, log, dispatcher of the core and
/// counter of violations. The parts refer to this class and do not depend on the server.
#pragma once

#include <chrono>

#include "config.hpp"
#include "service/dispatcher_host.hpp"

namespace paddlestand::platform {

/// The period of the sweeps over connections and signals.
inline constexpr Duration sweep_period = std::chrono::milliseconds(100);

/// The host of the core, as seen by the parts of the server. Used only on the thread of the event loop.
class PlatformHost : public service::DispatcherHost {
 public:
  using DispatcherHost::count;
  using DispatcherHost::event_loop_lag;
  using DispatcherHost::now;
  using DispatcherHost::stop;

  /// Whether the event loop was stopped.
  [[nodiscard]] bool is_stopped() const { return stopped_; }
  /// Whether every request, attempt and answer is logged.
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

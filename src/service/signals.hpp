/// Records SIGTERM, SIGINT and SIGHUP until the event loop polls them. The handler makes no call that can
/// fail and needs no descriptor, so no signal is lost, however many arrive and however early. SIGCONT is
/// handled in resume_monitor.hpp.
#pragma once

#include <cstdint>

namespace paddlestand::service {

class PendingSignals {
 public:
  /// Installs the signal handlers of the process, including that of SIGCONT. Ignores SIGPIPE, so that a
  /// closed pipe behind the log does not terminate the process.
  static void install();

  struct Received {
    bool terminate = false;  ///< SIGTERM or SIGINT
    /// The number of SIGINTs since the start: a second Ctrl-C requests an immediate stop.
    std::uint32_t interrupts = 0;
    bool reload = false;  ///< SIGHUP
  };
  /// Returns the signals received since the last call. Only one host per process may call it.
  static Received consume();
};

}  // namespace paddlestand::service

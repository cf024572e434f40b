/// SIGTERM, SIGINT and SIGHUP, recorded until the loop polls them. The handler makes no call that could fail
/// and needs no descriptor: a signal is never lost, however often and however early it arrives. SIGCONT is
/// resume_monitor.hpp's.
#pragma once

#include <cstdint>

namespace paddlestand::service {

class PendingSignals {
 public:
  /// Installs the process's handlers, also that of SIGCONT. SIGPIPE is ignored: a log that nobody reads must
  /// not end the process.
  static void install();

  struct Received {
    bool terminate = false;  ///< SIGTERM or SIGINT
    std::uint32_t interrupts = 0;  ///< SIGINT, since the start: a second Ctrl-C asks to stop at once
    bool reload = false;  ///< SIGHUP
  };
  /// The signals since the last call. For one host in a process.
  static Received consume();
};

}  // namespace paddlestand::service

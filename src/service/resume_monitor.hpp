/// Detects that the process was stopped (SIGSTOP and similar signals) and resumed, so that it does not send
/// data or shut down a connection based on state from before the stop: a deadline, a connected client, a
/// ready engine, a connection without pending input.
///
/// A stop can occur between reading the state and the system call that depends on it, however closely they
/// follow each other. But a resumed process runs its SIGCONT handler before any other instruction. The
/// handler increments a count and disarms a guarded call that may be about to start:
///   - For a send it empties the message, whose size the kernel reads from memory only after the call has
///     started.
///   - For a shutdown it replaces the file behind the socket's descriptor, which the kernel looks up only
///     after the call has started. The socket is restored after the call.
/// A guarded call therefore takes effect only if the process was not stopped between reading the state and
/// the kernel's part of the call.
///
/// A process that is not stopped but not scheduled for a while gets no SIGCONT: that is not detected here.
#pragma once

#include <cstdint>
#include <string_view>

#include "socket_calls.hpp"

namespace paddlestand::service {

/// The number of times that the process has been resumed since its start.
using ResumeCount = std::uint32_t;

class ResumeMonitor {
 public:
  /// Installs the SIGCONT handler. The signal must be unblocked only in the sending thread: a handler that
  /// ran in another thread would not run before this thread continues.
  static void install();
  /// To be read before the state that a message depends on.
  [[nodiscard]] static ResumeCount count();
};

/// Like send(), but sends nothing and returns IoStatus::outdated if the process was resumed since
/// `facts_as_of`. Only one thread of the process may use it.
IoResult send_unless_resumed(int socket, std::string_view bytes, ResumeCount facts_as_of);

enum class GuardedShutdown : std::uint8_t {
  done,
  outdated,  ///< nothing was done, because the process was resumed since `facts_as_of`
  broken  ///< the connection is broken
};

/// Shuts down the sending side of a socket, unless the process was resumed since `facts_as_of`.
GuardedShutdown shut_down_unless_resumed(int socket, ResumeCount facts_as_of);

}  // namespace paddlestand::service

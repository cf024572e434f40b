/// Detects that the process was stopped (SIGSTOP and its like) and resumed, so that nothing is sent or ended
/// that was decided on facts from before the stop: a deadline, a client that was there, an engine that was
/// ready, a connection without input.
///
/// A stop can come between a look at the facts and the system call that acts on them, whatever the order of
/// the two. But a process that is resumed runs its handler of SIGCONT before any other of its instructions.
/// The handler counts, and disarms the guarded call that may be about to begin:
///   - of a send it empties the message, whose size the kernel reads from memory only once the call has
///   begun;
///   - of a shutdown it puts another file in the place of the socket's descriptor, which the kernel looks up
///     only once the call has begun. The socket is put back after the call.
/// So a guarded call takes effect only where no stop lies between the look and the kernel's part of it.
///
/// A process that is not stopped but gets no processor is not resumed by a signal: that is not detected here.
#pragma once

#include <cstdint>
#include <string_view>

#include "socket_calls.hpp"

namespace paddlestand::service {

/// How often the process has been resumed since its start.
using ResumeCount = std::uint32_t;

class ResumeMonitor {
 public:
  /// Installs the handler of SIGCONT. Only the thread that sends may have the signal unblocked: run by
  /// another thread, the handler would not hold up this one.
  static void install();
  /// To be read before the facts are looked up that a message depends on.
  [[nodiscard]] static ResumeCount count();
};

/// As send(), but sends nothing where the process was resumed since `facts_as_of`: IoStatus::outdated. For
/// one thread of the process.
IoResult send_unless_resumed(int socket, std::string_view bytes, ResumeCount facts_as_of);

enum class GuardedShutdown : std::uint8_t {
  done,
  outdated,  ///< nothing was done: the process was resumed since the facts were looked up
  broken  ///< the connection is broken
};

/// Shuts down the sending side of a socket, unless the process was resumed since `facts_as_of`.
GuardedShutdown shut_down_unless_resumed(int socket, ResumeCount facts_as_of);

}  // namespace paddlestand::service

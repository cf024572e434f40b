/// Detects that the process was stopped (SIGSTOP and its like) and resumed, so that nothing is sent that was
/// decided on facts from before the stop: a deadline, a client that was there, an engine that was ready.
///
/// A stop can come between a look at the clock and the system call that sends, whatever the order of the two.
/// But a process that is resumed runs its handler of SIGCONT before any other of its instructions. The
/// handler counts, and empties the message that a guarded send is about to hand over: the kernel reads the
/// message's size from memory only once the call has begun. So a guarded send transmits bytes only where no
/// stop lies between the look and the kernel's copy.
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

}  // namespace paddlestand::service

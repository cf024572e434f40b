#include "resume_monitor.hpp"

#include <fcntl.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <csignal>

namespace paddlestand::service {
namespace {

std::atomic<ResumeCount> resumes{0};
static_assert(std::atomic<ResumeCount>::is_always_lock_free, "signal handlers require lock-free atomics");

// The buffer of a guarded send. The signal handler may set its length to zero at any time.
thread_local iovec guarded_part{};

constexpr int no_descriptor = -1;
// A descriptor that is not a socket, so that shutdown() fails on it. Shutdowns are not guarded without it.
std::atomic<int> placeholder{no_descriptor};
// The socket that a guarded shutdown is about to shut down.
thread_local std::atomic<int> guarded_socket{no_descriptor};
// A duplicate descriptor of the guarded socket, while the placeholder replaces it.
thread_local std::atomic<int> displaced_socket{no_descriptor};

// The socket's epoll registration stays valid: the duplicate keeps the open file description alive, and it is
// restored under the same descriptor number.
void displace_guarded_socket() {
  const int socket = guarded_socket.load();
  const int replacement = placeholder.load();
  const bool is_displaced = displaced_socket.load() != no_descriptor;
  if (socket == no_descriptor || replacement == no_descriptor || is_displaced) return;
  const int copy = ::fcntl(socket, F_DUPFD_CLOEXEC, 0);
  if (copy < 0) return;
  if (::dup3(replacement, socket, O_CLOEXEC) >= 0) {
    displaced_socket.store(copy);
  } else {
    ::close(copy);
  }
}

// Called after the guarded shutdown, when guarded_socket is cleared.
void restore_socket(int socket) {
  const int displaced = displaced_socket.exchange(no_descriptor);
  if (displaced == no_descriptor) return;
  while (::dup3(displaced, socket, O_CLOEXEC) < 0 && (errno == EINTR || errno == EBUSY)) {}
  ::close(displaced);
}

void on_resume(int) {
  const int error_number = errno;
  resumes.fetch_add(1);
  guarded_part.iov_len = 0;
  displace_guarded_socket();
  errno = error_number;
}

}  // namespace

void ResumeMonitor::install() {
  if (placeholder.load() == no_descriptor) placeholder.store(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK));
  struct sigaction action {};
  action.sa_handler = on_resume;
  action.sa_flags = SA_RESTART;
  sigemptyset(&action.sa_mask);
  ::sigaction(SIGCONT, &action, nullptr);
}

ResumeCount ResumeMonitor::count() { return resumes.load(); }

IoResult send_unless_resumed(int socket, std::string_view bytes, ResumeCount facts_as_of) {
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-const-cast): the kernel only reads the buffer
  guarded_part.iov_base = const_cast<char*>(bytes.data());
  guarded_part.iov_len = bytes.size();
  std::atomic_signal_fence(std::memory_order_seq_cst);
  // From here on a resume empties the buffer; earlier ones are visible in the count.
  if (resumes.load() != facts_as_of) return {IoStatus::outdated, 0, {}};
  msghdr message{};
  message.msg_iov = &guarded_part;
  message.msg_iovlen = 1;
  IoResult sent = send_message(socket, message);
  if (sent.status == IoStatus::progress && sent.bytes == 0 && !bytes.empty())
    sent.status = IoStatus::outdated;
  return sent;
}

GuardedShutdown shut_down_unless_resumed(int socket, ResumeCount facts_as_of) {
  guarded_socket.store(socket);
  // From here on a resume displaces the socket; earlier ones are visible in the count.
  const bool is_outdated = resumes.load() != facts_as_of;
  const int error_number = is_outdated ? 0 : shut_down_sending(socket);
  guarded_socket.store(no_descriptor);
  restore_socket(socket);
  if (is_outdated || error_number == ENOTSOCK)
    return GuardedShutdown::outdated;  // ENOTSOCK: from the placeholder
  return is_broken_by_shutdown(error_number) ? GuardedShutdown::broken : GuardedShutdown::done;
}

}  // namespace paddlestand::service

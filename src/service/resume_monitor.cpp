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
static_assert(std::atomic<ResumeCount>::is_always_lock_free, "a signal handler may use nothing else");

// The part that a guarded send transmits. The handler changes its length at any moment of the thread's.
thread_local iovec guarded_part{};

constexpr int no_descriptor = -1;
// Not a socket, so that a shutdown of it fails. Without it shutdowns are not guarded.
std::atomic<int> decoy{no_descriptor};
// The socket that a guarded shutdown is about to end.
thread_local std::atomic<int> guarded_socket{no_descriptor};
// The guarded socket under another descriptor, while the decoy is in its place.
thread_local std::atomic<int> displaced_socket{no_descriptor};

// Its epoll registration stays: the open file lives on, and comes back under the same number.
void displace_guarded_socket() {
  const int socket = guarded_socket.load();
  const int in_its_place = decoy.load();
  const bool is_displaced = displaced_socket.load() != no_descriptor;
  if (socket == no_descriptor || in_its_place == no_descriptor || is_displaced) return;
  const int copy = ::fcntl(socket, F_DUPFD_CLOEXEC, 0);
  if (copy < 0) return;
  if (::dup3(in_its_place, socket, O_CLOEXEC) >= 0) {
    displaced_socket.store(copy);
  } else {
    ::close(copy);
  }
}

// Called once no shutdown is guarded any more.
void put_back(int socket) {
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
  if (decoy.load() == no_descriptor) decoy.store(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK));
  struct sigaction action {};
  action.sa_handler = on_resume;
  action.sa_flags = SA_RESTART;
  sigemptyset(&action.sa_mask);
  ::sigaction(SIGCONT, &action, nullptr);
}

ResumeCount ResumeMonitor::count() { return resumes.load(); }

IoResult send_unless_resumed(int socket, std::string_view bytes, ResumeCount facts_as_of) {
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-const-cast): the kernel does not write to what it sends
  guarded_part.iov_base = const_cast<char*>(bytes.data());
  guarded_part.iov_len = bytes.size();
  std::atomic_signal_fence(std::memory_order_seq_cst);
  // From here on a resume empties the part; one before is in the count.
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
  // From here on a resume displaces the socket; one before is in the count.
  const bool is_outdated = resumes.load() != facts_as_of;
  const int error_number = is_outdated ? 0 : shut_down_sending(socket);
  guarded_socket.store(no_descriptor);
  put_back(socket);
  if (is_outdated || error_number == ENOTSOCK) return GuardedShutdown::outdated;  // the latter is the decoy's
  return is_broken_by_shutdown(error_number) ? GuardedShutdown::broken : GuardedShutdown::done;
}

}  // namespace paddlestand::service

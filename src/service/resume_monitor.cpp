#include "resume_monitor.hpp"

#include <signal.h>
#include <sys/socket.h>

#include <atomic>

namespace paddlestand::service {
namespace {

std::atomic<ResumeCount> resumes{0};
static_assert(std::atomic<ResumeCount>::is_always_lock_free, "a signal handler may use nothing else");

// The part that a guarded send transmits. Volatile: the handler changes its length at any moment, and the
// kernel reads it behind the compiler's back.
volatile iovec guarded_part{};

void on_resume(int) {
  resumes.fetch_add(1);
  guarded_part.iov_len = 0;
}

}  // namespace

void ResumeMonitor::install() {
  struct sigaction action {};
  action.sa_handler = on_resume;
  action.sa_flags = SA_RESTART;
  sigemptyset(&action.sa_mask);
  ::sigaction(SIGCONT, &action, nullptr);
}

ResumeCount ResumeMonitor::count() { return resumes.load(); }

IoResult send_unless_resumed(int socket, std::string_view bytes, ResumeCount facts_as_of) {
  // The kernel does not write to what it sends.
  guarded_part.iov_base = const_cast<char*>(bytes.data());
  guarded_part.iov_len = bytes.size();
  // From here on a resume empties the part; one before is in the count.
  if (resumes.load() != facts_as_of) return {IoStatus::outdated, 0, {}};
  msghdr message{};
  message.msg_iov = const_cast<iovec*>(&guarded_part);
  message.msg_iovlen = 1;
  IoResult sent = send_message(socket, message);
  if (sent.status == IoStatus::progress && sent.bytes == 0 && !bytes.empty())
    sent.status = IoStatus::outdated;
  return sent;
}

}  // namespace paddlestand::service

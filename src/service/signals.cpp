#include "signals.hpp"

#include <atomic>
#include <csignal>

#include "resume_monitor.hpp"

namespace paddlestand::service {
namespace {

std::atomic<std::uint32_t> terminations{0};
std::atomic<std::uint32_t> interrupts{0};
std::atomic<std::uint32_t> reloads{0};
static_assert(std::atomic<std::uint32_t>::is_always_lock_free, "signal handlers require lock-free atomics");

void on_signal(int signal) {
  if (signal == SIGHUP) {
    reloads.fetch_add(1);
    return;
  }
  terminations.fetch_add(1);
  if (signal == SIGINT) interrupts.fetch_add(1);
}

}  // namespace

void PendingSignals::install() {
  struct sigaction action {};
  action.sa_handler = on_signal;
  action.sa_flags = SA_RESTART;
  sigemptyset(&action.sa_mask);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) ::sigaction(signal, &action, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  ResumeMonitor::install();
}

PendingSignals::Received PendingSignals::consume() {
  Received pending;
  pending.terminate = terminations.exchange(0) > 0;
  pending.reload = reloads.exchange(0) > 0;
  pending.interrupts = interrupts.load();
  return pending;
}

}  // namespace paddlestand::service

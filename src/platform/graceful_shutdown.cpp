#include "graceful_shutdown.hpp"

#include <algorithm>

#include "service/socket_calls.hpp"
#include "service/spawn.hpp"

namespace paddlestand::platform {
namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr Duration arrival_period = 700ms;  // during which requests may still arrive after SIGTERM
// SIGKILL comes no sooner than that period plus the longest deadline. A longer deadline, and a class without
// one, count as this maximum.
constexpr Duration max_counted_deadline = 3s;
constexpr Duration answer_margin = 300ms;  // before SIGKILL, to transmit the last answers
constexpr Duration exit_margin = 100ms;  // before SIGKILL, for the process to exit by itself
constexpr Duration frequent_sweep_margin = 250ms;  // before SIGKILL, to start closing idle connections often
constexpr Duration frequent_sweep_period = 20ms;

}  // namespace

Duration termination_grace_period(const std::vector<ClassSettings>& classes) {
  Duration longest{};
  for (const ClassSettings& settings : classes)
    longest = std::max(longest, settings.deadline.count() > 0 ? settings.deadline : max_counted_deadline);
  return std::min(longest, max_counted_deadline) + arrival_period;
}

GracefulShutdown::GracefulShutdown(PlatformHost& host, ServerLifecycle& lifecycle,
                                   service::Listener& listener, ClientRegistry& clients,
                                   Duration grace_period)
    : host_(host),
      lifecycle_(lifecycle),
      listener_(listener),
      clients_(clients),
      grace_period_(grace_period),
      reject_timer_(host.io()),
      idle_timer_(host.io()),
      stop_timer_(host.io()) {}

void GracefulShutdown::begin(TimePoint earliest_signal) {
  if (lifecycle_.is_shutting_down()) return;
  lifecycle_.advance_to(ServerLifecycle::State::terminating);
  host_.log().info(observe::LogEvent::shutdown_started,
                   "still accepting requests for a short period; then answering open requests");
  const Duration until_kill = std::max(earliest_signal + grace_period_ - host_.now(), Duration{0});
  const Duration until_answered = until_kill - std::min(answer_margin, until_kill / 4);
  const Duration until_rejecting = std::min(arrival_period, until_answered);
  const TimePoint answered_by = host_.now() + until_answered;
  run_after(reject_timer_, until_rejecting, [this, answered_by] {
    listener_.close_when_drained();
    // Requests still open at SIGKILL would be lost. Rejected in time, they can be sent to another manager.
    // This step may run late if the process was stopped.
    host_.dispatch(core::BeginShutdown{std::max(answered_by - host_.now(), Duration{0})});
  });
  run_after(idle_timer_, std::max(until_kill - frequent_sweep_margin, Duration{0}),
            [this] { service::spawn(host_.io(), end_idle_connections_often()); });
  run_after(stop_timer_, until_kill - std::min(exit_margin, until_kill / 8), [this] {
    host_.dispatch(core::TimerExpired{});  // the last answers may be due only now if the process was stopped
    clients_.finish_unread_input();
    end_idle_connections();
    host_.stop();
  });
}

void GracefulShutdown::run_after(asio::steady_timer& timer, Duration delay, std::function<void()> step) {
  timer.expires_after(std::chrono::duration_cast<asio::steady_timer::duration>(delay));
  timer.async_wait([step = std::move(step)](const boost::system::error_code& error) {
    if (!error) step();
  });
}

void GracefulShutdown::on_requests_finished() {
  host_.log().info(observe::LogEvent::shutdown_complete, "all requests answered");
  lifecycle_.advance_to(ServerLifecycle::State::finished);
}

void GracefulShutdown::end_idle_connections() {
  if (!lifecycle_.is_shutting_down() || listener_.is_open()) return;
  clients_.finish_idle();
  if (lifecycle_.state() == ServerLifecycle::State::finished && clients_.is_empty()) host_.stop();
}

// Clients send on open connections until SIGKILL. Their requests are answered and the connections closed in
// the same turn, so that no request is open at SIGKILL.
asio::awaitable<void> GracefulShutdown::end_idle_connections_often() {
  while (!host_.is_stopped()) {
    clients_.finish_unread_input();
    end_idle_connections();
    co_await service::pause_for(host_.io(), frequent_sweep_period);
  }
}

}  // namespace paddlestand::platform

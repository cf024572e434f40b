/// What the hosts of the event dispatcher on sockets share: the loop, the clock, the one timer, the log. The
/// protocols spoken on either side are the derived host's.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/connection_policy.hpp"
#include "core/engine_starts.hpp"
#include "core/event_dispatcher.hpp"
#include "core/recent_stops.hpp"
#include "observe/log.hpp"
#include "resume_monitor.hpp"
#include "socket_calls.hpp"

namespace paddlestand::service {

/// The reason for a channel's loss when its connection could not be made.
core::ChannelLossReason loss_of(const ConnectFailure& failure);

/// Runs the core's event dispatcher on an io_context. Used on the loop's thread alone.
class DispatcherHost : protected core::HostInterface {
 public:
  DispatcherHost(const DispatcherHost&) = delete;
  DispatcherHost& operator=(const DispatcherHost&) = delete;

  /// Dispatches an event now, or right after the one that is being dispatched.
  void dispatch(core::CoreEvent event);

  /// The time on the core's clock, which is the steady clock.
  [[nodiscard]] TimePoint reading() { return now(); }
  [[nodiscard]] core::Counts counts() const { return dispatcher_.counts(); }
  [[nodiscard]] observe::Log& log() { return log_; }
  [[nodiscard]] const core::ViolationCounter& violations() const { return violations_; }
  [[nodiscard]] boost::asio::io_context& io() { return io_; }
  /// One buffer for all reads: no view into it may be held over a suspension.
  [[nodiscard]] std::span<char> scratch() { return scratch_; }

 protected:
  DispatcherHost(boost::asio::io_context& io, const observe::LogConfig& log, const std::string& name,
                 const core::CoreSettings& core);
  ~DispatcherHost() override = default;

  TimePoint now() override;
  void execute(const core::LogMessage& action) override;
  void on_violation(const core::InvariantViolation& violation) override;
  using core::HostInterface::execute;

  /// Stops the loop and the dispatcher.
  void stop();
  /// By how much the loop lags behind, as seen by its own timer: what is read now may have arrived that much
  /// earlier.
  [[nodiscard]] Duration event_loop_lag();
  /// Counts what must never happen, and logs the first of each kind. `subject`: what it happened to.
  void count(core::Violation violation, const observe::LogField& subject);

  boost::asio::io_context& io_;
  observe::Log log_;
  core::EventDispatcher dispatcher_;
  core::EngineStarts engine_starts_;
  bool stopped_ = false;

 private:
  /// Sets the timer to the dispatcher's next due time.
  void arm_timer();
  void on_timer();

  boost::asio::steady_timer timer_;
  std::optional<TimePoint> armed_for_;
  TimePoint last_stall_at_{};  // when the timer was last late
  Duration last_stall_{};  // and by how much
  core::RecentStops stops_;
  TimePoint last_look_{};  // at the clock
  ResumeCount resumes_ = 0;  // as of the last look
  core::ViolationCounter violations_;
  std::vector<char> scratch_;
};

}  // namespace paddlestand::service

/// Common base of the event dispatcher's hosts that use sockets: event loop, clock, timer and log. Derived
/// hosts implement the protocols of clients and engines.
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

/// The reason to report for a channel whose connection could not be established.
core::ChannelLossReason loss_reason_of(const ConnectFailure& failure);

/// Runs the core's event dispatcher on an io_context. Used only on the event loop's thread.
class DispatcherHost : protected core::HostInterface {
 public:
  DispatcherHost(const DispatcherHost&) = delete;
  DispatcherHost& operator=(const DispatcherHost&) = delete;

  /// Dispatches an event immediately, or right after the event that is currently being dispatched.
  void dispatch(core::CoreEvent event);

  /// The current time of the core's clock, which is the steady clock.
  [[nodiscard]] TimePoint current_time() { return now(); }
  [[nodiscard]] core::Counts counts() const { return dispatcher_.counts(); }
  [[nodiscard]] observe::Log& log() { return log_; }
  [[nodiscard]] const core::ViolationCounter& violations() const { return violations_; }
  [[nodiscard]] boost::asio::io_context& io() { return io_; }
  /// One buffer shared by all reads: no view into it may be held across a suspension.
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
  /// How far the event loop is behind, measured by its timer: input that is read now may have arrived that
  /// much earlier.
  [[nodiscard]] Duration event_loop_lag();
  /// Counts a violation and logs the first of each kind. `subject`: the object that it concerns.
  void count(core::Violation violation, const observe::LogField& subject);

  boost::asio::io_context& io_;
  observe::Log log_;
  core::EventDispatcher dispatcher_;
  core::EngineStarts engine_starts_;
  bool stopped_ = false;

 private:
  /// Sets the timer to the time of the dispatcher's next timer.
  void arm_timer();
  void on_timer();

  boost::asio::steady_timer timer_;
  std::optional<TimePoint> armed_for_;
  TimePoint last_stall_at_{};  // when the timer last fired late
  Duration last_stall_{};  // how late it fired then
  core::RecentStops stops_;
  TimePoint last_clock_read_{};
  ResumeCount resumes_ = 0;  // as of last_clock_read_
  core::ViolationCounter violations_;
  std::vector<char> scratch_;
};

}  // namespace paddlestand::service

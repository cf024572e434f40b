// What every host of the dispatcher on sockets shares: the loop, the clock, the one timer, the log. Which
// protocols are spoken at either side is the deriving host's.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <span>
#include <string>
#include <vector>

#include "core/connection_policy.hpp"
#include "core/engine_starts.hpp"
#include "core/event_dispatcher.hpp"
#include "observe/log.hpp"
#include "socket_calls.hpp"

namespace paddlestand::service {

// What it means for a channel that its connection did not come about.
core::ChannelLossReason loss_of(const ConnectFailure& failure);

class DispatcherHost : protected core::HostInterface {
 public:
  DispatcherHost(const DispatcherHost&) = delete;
  DispatcherHost& operator=(const DispatcherHost&) = delete;

  // Takes an event now, or right after the one that is being taken.
  void dispatch(core::CoreEvent event);

  [[nodiscard]] TimePoint reading() { return now(); }
  [[nodiscard]] core::Counts counts() const { return dispatcher_.counts(); }
  [[nodiscard]] observe::Log& log() { return log_; }
  [[nodiscard]] const core::ViolationCounter& violations() const { return violations_; }
  [[nodiscard]] boost::asio::io_context& io() { return io_; }
  // One buffer for all reads: nothing keeps a view into it over a suspension.
  [[nodiscard]] std::span<char> scratch() { return scratch_; }

 protected:
  DispatcherHost(boost::asio::io_context& io, const observe::LogConfig& log, const std::string& name,
                 const core::CoreSettings& core);
  ~DispatcherHost() override = default;

  TimePoint now() override;
  void execute(const core::LogMessage& action) override;
  void on_violation(const core::InvariantViolation& violation) override;
  using core::HostInterface::execute;

  void stop();
  // By how much the loop is behind, as its own timer tells: what is read now may have come so much earlier.
  [[nodiscard]] Duration event_loop_lag();
  // Counts what must never happen, and logs the first of each kind.
  void count(core::Violation violation, const std::string& what);

  boost::asio::io_context& io_;
  observe::Log log_;
  core::EventDispatcher dispatcher_;
  core::EngineStarts engine_starts_;
  bool stopped_ = false;

 private:
  void arm();

  boost::asio::steady_timer timer_;
  std::optional<TimePoint> armed_;
  TimePoint stall_seen_{};  // when the timer was last late, and by how much
  Duration stall_{};
  core::ViolationCounter violations_;
  std::vector<char> scratch_;
};

}  // namespace paddlestand::service

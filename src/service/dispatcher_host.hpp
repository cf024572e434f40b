// What every host of the desk on sockets shares: the loop, the clock, the one timer, the log. Which protocols
// are spoken at either side is the deriving host's.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <span>
#include <string>
#include <vector>

#include "core/connection_policy.hpp"
#include "core/desk.hpp"
#include "core/engine_starts.hpp"
#include "observe/log.hpp"
#include "socket_calls.hpp"

namespace paddlestand::service {

// What it means for a link that its connection did not come about.
core::LinkLoss loss_of(const ConnectFailure& failure);

class DeskHost : protected core::Hands {
 public:
  DeskHost(const DeskHost&) = delete;
  DeskHost& operator=(const DeskHost&) = delete;

  // Takes an event now, or right after the one that is being taken.
  void tell(core::CoreEvent event);

  [[nodiscard]] TimePoint reading() { return now(); }
  [[nodiscard]] core::Counts counts() const { return desk_.counts(); }
  [[nodiscard]] observe::Log& log() { return log_; }
  [[nodiscard]] const core::ViolationCounter& violations() const { return violations_; }
  [[nodiscard]] boost::asio::io_context& io() { return io_; }
  // One buffer for all reads: nothing keeps a view into it over a suspension.
  [[nodiscard]] std::span<char> scratch() { return scratch_; }

 protected:
  DeskHost(boost::asio::io_context& io, const observe::LogConfig& log, const std::string& name,
           const core::CoreSettings& core);
  ~DeskHost() override = default;

  TimePoint now() override;
  void carry_out(const core::Remark& effect) override;
  void broken(const core::Breach& breach) override;
  using core::Hands::carry_out;

  void stop();
  // By how much the loop is behind, as its own timer tells: what is read now may have come so much earlier.
  [[nodiscard]] Duration lateness();
  // Counts what must never happen, and logs the first of each kind.
  void count(core::Violation violation, const std::string& what);

  boost::asio::io_context& io_;
  observe::Log log_;
  core::Desk desk_;
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

/// Retries a reload whose file could not be read, because it may be partially written or the error may be
/// transient.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <utility>

#include "paddlestand/workload_manager.hpp"

namespace paddlestand::service {

/// Counts consecutive failed reloads and schedules the next attempt; at most one is scheduled at a time.
/// Belongs to one host and is used only on its event loop's thread. Destruction cancels a scheduled attempt.
class ReloadRetry {
 public:
  struct Limits {
    Duration pause{};  ///< between a failure and the next attempt
    int max_attempts = 0;  ///< consecutive retries before it gives up until the next requested reload
  };

  /// `attempt` performs a reload, which calls on_failure() or on_success(). It must check whether the host
  /// has stopped.
  ReloadRetry(boost::asio::io_context& io, Limits limits, std::function<void()> attempt)
      : timer_(io), limits_(limits), attempt_(std::move(attempt)) {}

  /// Whether a failed reload is being retried, in which case its error was logged already.
  [[nodiscard]] bool is_retrying() const { return failures_ > 0; }

  /// Schedules the next attempt, replacing one already scheduled, unless too many have failed in a row.
  void on_failure() {
    ++failures_;
    if (failures_ > limits_.max_attempts) {
      end_series();
      return;
    }
    timer_.expires_after(std::chrono::duration_cast<boost::asio::steady_timer::duration>(limits_.pause));
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error && is_retrying()) attempt_();
    });
  }

  /// Ends a series of failures and cancels a scheduled attempt.
  void on_success() { end_series(); }

 private:
  void end_series() {
    failures_ = 0;
    timer_.cancel();
  }

  boost::asio::steady_timer timer_;
  Limits limits_;
  std::function<void()> attempt_;
  int failures_ = 0;  // consecutive failed reloads
};

}  // namespace paddlestand::service

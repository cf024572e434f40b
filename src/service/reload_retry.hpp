/// Retries of a reload whose file could not be read: it may be half written, or the disk may fail for a
/// moment.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <utility>

#include "paddlestand/workload_manager.hpp"

namespace paddlestand::service {

/// Counts the failed reloads in a row and schedules the next attempt; at most one is scheduled. Belongs to
/// one host, on its loop's thread; an attempt that is scheduled at its end is not made.
class ReloadRetry {
 public:
  struct Limits {
    Duration pause{};  ///< between a failure and the next attempt
    int max_attempts = 0;  ///< retries in a row before it gives up until the next reload that is asked for
  };

  /// `attempt` makes a reload, which calls on_failure() or on_success(). It must check whether the host has
  /// stopped.
  ReloadRetry(boost::asio::io_context& io, Limits limits, std::function<void()> attempt)
      : timer_(io), limits_(limits), attempt_(std::move(attempt)) {}

  /// Whether a failed reload is being retried: its fault has been logged already.
  [[nodiscard]] bool is_retrying() const { return failures_ > 0; }

  /// Schedules the next attempt in place of one that is scheduled, unless too many have failed in a row.
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

  /// Ends a series of failures: an attempt that is scheduled is not made.
  void on_success() { end_series(); }

 private:
  void end_series() {
    failures_ = 0;
    timer_.cancel();
  }

  boost::asio::steady_timer timer_;
  Limits limits_;
  std::function<void()> attempt_;
  int failures_ = 0;  // in a row
};

}  // namespace paddlestand::service

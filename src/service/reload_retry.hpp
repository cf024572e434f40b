/// Retries of a reload whose file could not be read: it may be half written, or the disk may fail for a
/// moment.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <utility>

#include "run_after.hpp"

namespace paddlestand::service {

/// Counts the failed reloads in a row and schedules the next attempt. Belongs to one host, on its loop's
/// thread.
class ReloadRetry {
 public:
  struct Limits {
    Duration pause{};  ///< between a failure and the next attempt
    int max_attempts = 0;  ///< retries in a row before it gives up until the next reload that is asked for
  };

  /// `attempt` makes a reload, which calls on_failure() or on_success(). It must check whether the host has
  /// stopped.
  ReloadRetry(boost::asio::io_context& io, Limits limits, std::function<void()> attempt)
      : io_(io), limits_(limits), attempt_(std::move(attempt)) {}

  /// Whether a failed reload is being retried: its fault has been logged already.
  [[nodiscard]] bool is_retrying() const { return failures_ > 0; }

  /// Schedules the next attempt, unless too many have failed in a row.
  void on_failure() {
    ++failures_;
    if (failures_ > limits_.max_attempts) {
      failures_ = 0;
      return;
    }
    run_after(io_, limits_.pause, [this] {
      if (is_retrying()) attempt_();
    });
  }

  /// Ends a series of failures: attempts that are still scheduled do nothing.
  void on_success() { failures_ = 0; }

 private:
  boost::asio::io_context& io_;
  Limits limits_;
  std::function<void()> attempt_;
  int failures_ = 0;  // in a row
};

}  // namespace paddlestand::service

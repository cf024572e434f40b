/// Accounts for the answer bytes that the host buffers for this manager, and derives the flow control of
/// channels from them: a channel is not read while its client is slow. No I/O; not thread-safe.
#pragma once

#include <cstddef>

#include "types.hpp"

namespace paddlestand::core {

/// Bytes buffered for channels, and bytes delivered to sessions that their clients have not consumed yet.
class BufferAccount {
 public:
  /// Reads the limits `client_window` and `buffers_in_total`.
  explicit BufferAccount(const CoreSettings& settings)
      : client_window_(settings.client_window), total_limit_(settings.buffers_in_total) {}

  /// An engine sent `bytes` of an answer.
  void on_received(std::size_t bytes) { total_ += bytes; }
  /// A client consumed `bytes` that were delivered to it.
  void on_consumed(std::size_t bytes) { total_ -= bytes; }
  /// `bytes` that were buffered for a channel were discarded.
  void on_discarded(std::size_t bytes) { total_ -= bytes; }
  /// A session closed with `bytes` delivered but not consumed.
  void on_session_closed(std::size_t bytes) { total_ -= bytes; }

  [[nodiscard]] std::size_t total() const { return total_; }
  [[nodiscard]] bool is_over_total_limit() const { return total_ > total_limit_; }

  /// Whether a channel must stop being read, given the undelivered bytes of its client's session. Over the
  /// total limit, a session with nothing undelivered still gets one part, so that no client starves another.
  [[nodiscard]] bool must_pause(std::size_t undelivered_bytes) const {
    return undelivered_bytes > client_window_ || (is_over_total_limit() && undelivered_bytes > 0);
  }
  /// Whether a paused channel may be read again. Half the window of hysteresis keeps it from pausing and
  /// resuming with each part.
  [[nodiscard]] bool may_resume(std::size_t undelivered_bytes) const {
    return undelivered_bytes <= client_window_ / 2 && (!is_over_total_limit() || undelivered_bytes == 0);
  }

 private:
  std::size_t client_window_;
  std::size_t total_limit_;
  std::size_t total_ = 0;
};

}  // namespace paddlestand::core

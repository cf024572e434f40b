/// Bounds the memory that clients' input takes while it cannot be processed: incomplete messages, and
/// messages that wait. What one read of one client holds while it is parsed comes on top. No I/O, no clock;
/// not thread-safe.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace paddlestand::platform {

/// The sum of the bytes that all clients are charged with.
class InputAccount {
 public:
  explicit InputAccount(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  [[nodiscard]] bool has_room_for(std::size_t bytes) const { return used_ + bytes <= max_bytes_; }
  /// How many bytes have to be released to get within the limit.
  [[nodiscard]] std::size_t excess() const { return used_ > max_bytes_ ? used_ - max_bytes_ : 0; }
  [[nodiscard]] std::size_t used() const { return used_; }

 private:
  friend class InputCharge;
  std::size_t max_bytes_;
  std::size_t used_ = 0;
};

/// What one client is charged with; nothing any more once it is destroyed. It shares the account, since
/// connections may outlive their registry at the end of the process.
class InputCharge {
 public:
  explicit InputCharge(std::shared_ptr<InputAccount> account) : account_(std::move(account)) {}
  ~InputCharge() { set(0); }
  InputCharge(const InputCharge&) = delete;
  InputCharge& operator=(const InputCharge&) = delete;

  /// Replaces the charge.
  void set(std::size_t bytes) {
    account_->used_ += bytes;
    account_->used_ -= bytes_;
    bytes_ = bytes;
  }

 private:
  std::shared_ptr<InputAccount> account_;
  std::size_t bytes_ = 0;
};

}  // namespace paddlestand::platform

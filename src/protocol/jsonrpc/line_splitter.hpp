/// Splits a client's byte stream into lines. Only the bytes of an incomplete line are copied and kept, in
/// blocks of equal size, so that the memory of hundreds of incomplete lines can be counted exactly. No I/O,
/// not thread-safe.
#pragma once

#include <array>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace paddlestand::jsonrpc {

/// Holds at most one incomplete line of up to `max_bytes`.
class LineSplitter {
 public:
  /// The unit in which memory for an incomplete line is allocated.
  static constexpr std::size_t block_bytes = 4096;

  explicit LineSplitter(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /// Adds input. The bytes must stay valid until next() has returned std::nullopt or discard() was called,
  /// and all lines must have been taken before the next call.
  void feed(std::string_view bytes);
  /// Returns the next complete line without its line end, valid until the next call, or std::nullopt if more
  /// input is needed; the rest of the input is then copied.
  std::optional<std::string_view> next();
  /// Whether a line exceeded the limit. No further input is kept and no further line is returned.
  [[nodiscard]] bool too_long() const { return too_long_; }
  /// Discards the input that was not returned and releases its memory.
  void discard();
  /// Discards the incomplete line: the bytes kept of it, and all input up to its end.
  void skip_line();

  /// Whether an incomplete line is kept.
  [[nodiscard]] bool has_partial_line() const { return kept_bytes_ > 0; }
  /// The number of bytes kept of the incomplete line.
  [[nodiscard]] std::size_t buffered_bytes() const { return kept_bytes_; }
  /// The memory allocated for lines.
  [[nodiscard]] std::size_t allocated_bytes() const {
    return blocks_.size() * block_bytes + (completed_line_.empty() ? 0 : completed_line_.capacity());
  }

 private:
  using Block = std::array<char, block_bytes>;

  void keep(std::string_view bytes);
  void keep_rest();
  std::string_view complete_kept_line(std::string_view end);

  std::size_t max_bytes_;
  std::string_view input_;  // not returned and not copied yet
  std::vector<std::unique_ptr<Block>> blocks_;  // the incomplete line
  std::size_t kept_bytes_ = 0;  // in blocks_
  std::string completed_line_;  // the line returned last, if it was kept in part
  bool too_long_ = false;
  bool is_skipping_ = false;  // input is dropped up to the next line end
};

}  // namespace paddlestand::jsonrpc

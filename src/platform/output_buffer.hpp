/// Buffer of the lines to be written to a client, which also tracks the unwritten answers. No I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace paddlestand::platform {

/// The unwritten lines of a client connection. For the client, a request is open until its answer is written.
class OutputBuffer {
 public:
  enum class LineKind : std::uint8_t {
    answer,  ///< to a request
    notice  ///< any other line
  };

  /// The text to which the caller appends a line, to be followed by append_finished().
  [[nodiscard]] std::string& text() { return text_; }
  /// Marks the line appended to text() as complete.
  void append_finished(LineKind kind);
  /// Adds a complete line.
  void append(std::string line, LineKind kind);

  [[nodiscard]] bool is_empty() const { return text_.size() == written_; }
  [[nodiscard]] std::size_t size() const { return text_.size() - written_; }
  [[nodiscard]] std::string_view unwritten() const { return std::string_view(text_).substr(written_); }
  [[nodiscard]] std::size_t unwritten_lines() const { return lines_.size(); }
  [[nodiscard]] std::size_t unwritten_answers() const { return unwritten_answers_; }
  /// Buffered bytes, including those written but not released.
  [[nodiscard]] std::size_t held_bytes() const { return text_.size(); }

  /// Records that the next `bytes` of unwritten() were written.
  void consume(std::size_t bytes);
  /// Releases the memory of the written bytes if there are at least `threshold` of them.
  void release_written(std::size_t threshold);
  /// Releases all memory; requires that everything was written.
  void release_all();

 private:
  struct Line {
    std::uint64_t end{};  // offset in bytes since the start of the connection
    LineKind kind{};
  };
  std::string text_;
  std::size_t written_ = 0;  // bytes at the front of text_
  std::deque<Line> lines_;  // those not completely written
  std::uint64_t total_written_ = 0;
  std::size_t unwritten_answers_ = 0;
};

}  // namespace paddlestand::platform

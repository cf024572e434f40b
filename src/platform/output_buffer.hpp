/// Lines on their way out of one client connection, and which of them answer requests. No I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace paddlestand::platform {

/// What was not yet written to a client. To the client a request stays open until its answer was written.
class OutputBuffer {
 public:
  enum class LineKind : std::uint8_t {
    answer,  ///< to a request
    notice  ///< any other line
  };

  /// Where the caller appends a line; append_finished() says when it is complete.
  [[nodiscard]] std::string& text() { return text_; }
  /// The line that was appended to text() is complete.
  void append_finished(LineKind kind);
  /// Adds a complete line.
  void append(std::string line, LineKind kind);

  [[nodiscard]] bool is_empty() const { return text_.size() == written_; }
  [[nodiscard]] std::size_t size() const { return text_.size() - written_; }
  [[nodiscard]] std::string_view unwritten() const { return std::string_view(text_).substr(written_); }
  [[nodiscard]] std::size_t unwritten_lines() const { return lines_.size(); }
  [[nodiscard]] std::size_t unwritten_answers() const { return unwritten_answers_; }
  /// Bytes held, those that were written and not released too.
  [[nodiscard]] std::size_t held_bytes() const { return text_.size(); }

  /// The next `bytes` of unwritten() were written.
  void consume(std::size_t bytes);
  /// Releases the memory of what was written, where that is `threshold` bytes or more.
  void release_written(std::size_t threshold);
  /// Releases all memory; everything was written.
  void release_all();

 private:
  struct Line {
    std::uint64_t end{};  // in bytes since the start of the connection
    LineKind kind{};
  };
  std::string text_;
  std::size_t written_ = 0;  // of text_
  std::deque<Line> lines_;  // not completely written
  std::uint64_t total_written_ = 0;
  std::size_t unwritten_answers_ = 0;
};

}  // namespace paddlestand::platform

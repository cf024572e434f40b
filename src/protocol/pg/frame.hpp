/// Splits a stream of bytes into messages of PostgreSQL's protocol 3.0 (chapter 55.1.1 of its manual): a
/// type, a length of four bytes that includes itself, and a body. Bytes may arrive one at a time. A length is
/// checked before the body is buffered, and the buffer grows only as bytes arrive.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace paddlestand::pg {

/// One message.
struct Frame {
  char type{};  ///< zero for a message without a type, such as StartupMessage
  std::string_view body;  ///< valid until the next call of the reader
};

/// Buffers one connection's input.
class FrameReader {
 public:
  /// `max_body_bytes`: a message with a longer body is an error.
  explicit FrameReader(std::size_t max_body_bytes) : max_body_bytes_(max_body_bytes) {}

  void feed(std::string_view bytes);

  /// The next message, if it has arrived completely. Returns nothing once bad() is true. `typed`: whether the
  /// message has a type.
  std::optional<Frame> next(bool typed = true);

  /// Whether a message had an invalid length, which problem() describes.
  [[nodiscard]] bool bad() const { return bad_; }
  [[nodiscard]] const std::string& problem() const { return problem_; }
  /// The number of bytes that are buffered.
  [[nodiscard]] std::size_t buffered_bytes() const { return buffer_.size() - read_; }
  /// Removes the buffered bytes from the reader and returns them.
  std::string extract_buffered() {
    std::string buffered = buffer_.substr(read_);
    buffer_.clear();
    read_ = 0;
    return buffered;
  }

 private:
  std::string buffer_;
  std::size_t read_ = 0;  // bytes of buffer_ already consumed
  std::size_t max_body_bytes_;
  bool bad_ = false;
  std::string problem_;
};

}  // namespace paddlestand::pg

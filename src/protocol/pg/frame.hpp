// Cuts a stream of bytes into messages of protocol 3.0: a type, a length of four bytes that counts itself, a
// body. Incremental: bytes may come one at a time. A length is checked before a byte is kept for it, and room
// grows only as bytes come.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace paddlestand::pg {

struct Frame {
  char type{};  // zero for a message without type (startup and its like)
  std::string_view body;  // valid until the next call of the reader
};

class FrameReader {
 public:
  explicit FrameReader(std::size_t most_bytes) : most_(most_bytes) {}

  void feed(std::string_view bytes);

  // The next whole message, if it is there. After bad() there is none any more.
  std::optional<Frame> next(bool typed = true);

  [[nodiscard]] bool bad() const { return bad_; }
  [[nodiscard]] const std::string& problem() const { return problem_; }
  [[nodiscard]] std::size_t waiting() const { return buffer_.size() - at_; }
  // What has not been cut yet; the reader is empty then.
  std::string take_waiting() {
    std::string left = buffer_.substr(at_);
    buffer_.clear();
    at_ = 0;
    return left;
  }

 private:
  std::string buffer_;
  std::size_t at_ = 0;
  std::size_t most_;
  bool bad_ = false;
  std::string problem_;
};

}  // namespace paddlestand::pg

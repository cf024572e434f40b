#include "frame.hpp"

#include "bytes.hpp"

namespace paddlestand::pg {
namespace {

constexpr std::size_t retained_buffer_bytes =
    4096;  // larger buffers are shrunk once they are empty, because most sessions are idle
constexpr std::size_t length_bytes = 4;

std::string describe_type(char type, bool typed) {
  if (!typed) return "startup";
  const auto code = static_cast<unsigned char>(type);
  if (code > 32 && code < 127) return "'" + std::string(1, type) + "'";
  return std::to_string(code);
}

}  // namespace

void FrameReader::feed(std::string_view bytes) {
  if (read_ == buffer_.size()) {
    buffer_.clear();
    read_ = 0;
    if (buffer_.capacity() > retained_buffer_bytes) buffer_.shrink_to_fit();
  } else if (read_ > buffer_.size() / 2) {
    buffer_.erase(0, read_);
    read_ = 0;
  }
  buffer_.append(bytes);
}

std::optional<Frame> FrameReader::next(bool typed) {
  const std::size_t header_bytes = typed ? length_bytes + 1 : length_bytes;
  if (bad_ || buffered_bytes() < header_bytes) return std::nullopt;
  const std::string_view buffered = std::string_view(buffer_).substr(read_);
  const std::uint32_t length = Reader(buffered.substr(header_bytes - length_bytes)).u32();
  if (length < length_bytes || length - length_bytes > max_body_bytes_) {
    bad_ = true;
    problem_ = "message of type " + describe_type(buffered[0], typed) + " announces a length of " +
               std::to_string(length) + "; expected 4 to " + std::to_string(max_body_bytes_ + length_bytes);
    return std::nullopt;
  }
  const std::size_t message_bytes = header_bytes - length_bytes + length;
  if (buffered.size() < message_bytes) return std::nullopt;
  read_ += message_bytes;
  return Frame{typed ? buffered[0] : '\0', buffered.substr(header_bytes, length - length_bytes)};
}

}  // namespace paddlestand::pg

#include "frame.hpp"

#include "bytes.hpp"

namespace paddlestand::pg {

namespace {
constexpr std::size_t keep_room = 4096;  // a larger buffer is given back once it is empty: most sessions idle
}

void FrameReader::feed(std::string_view bytes) {
  if (at_ == buffer_.size()) {
    buffer_.clear();
    at_ = 0;
    if (buffer_.capacity() > keep_room) buffer_.shrink_to_fit();
  } else if (at_ > buffer_.size() / 2) {
    buffer_.erase(0, at_);
    at_ = 0;
  }
  buffer_.append(bytes);
}

std::optional<Frame> FrameReader::next(bool typed) {
  const std::size_t head = typed ? 5 : 4;
  if (bad_ || waiting() < head) return std::nullopt;
  const std::string_view here = std::string_view(buffer_).substr(at_);
  const std::uint32_t length = Reader(here.substr(head - 4)).u32();
  if (length < 4 || length - 4 > most_) {
    bad_ = true;
    problem_ = "message of type ";
    const auto type = static_cast<unsigned char>(here[0]);
    if (!typed) {
      problem_ += "startup";
    } else if (type > 32 && type < 127) {
      problem_ += "'" + std::string(1, here[0]) + "'";
    } else {
      problem_ += std::to_string(type);
    }
    problem_ +=
        " announces a length of " + std::to_string(length) + "; wanted: 4 to " + std::to_string(most_ + 4);
    return std::nullopt;
  }
  const std::size_t whole = head - 4 + length;
  if (here.size() < whole) return std::nullopt;
  at_ += whole;
  return Frame{typed ? here[0] : '\0', here.substr(head, length - 4)};
}

}  // namespace paddlestand::pg

#include "output_buffer.hpp"

#include <utility>

namespace paddlestand::platform {

void OutputBuffer::append_finished(LineKind kind) {
  lines_.push_back({total_written_ + size(), kind});
  if (kind == LineKind::answer) ++unwritten_answers_;
}

void OutputBuffer::append(std::string line, LineKind kind) {
  if (text_.empty()) {
    text_ = std::move(line);
  } else {
    text_ += line;
  }
  append_finished(kind);
}

void OutputBuffer::consume(std::size_t bytes) {
  written_ += bytes;
  total_written_ += bytes;
  while (!lines_.empty() && lines_.front().end <= total_written_) {
    if (lines_.front().kind == LineKind::answer) --unwritten_answers_;
    lines_.pop_front();
  }
}

void OutputBuffer::release_written(std::size_t threshold) {
  if (written_ < threshold) return;
  text_.erase(0, written_);
  if (text_.size() < text_.capacity() / 2) text_.shrink_to_fit();
  written_ = 0;
}

void OutputBuffer::release_all() {
  std::string().swap(text_);
  written_ = 0;
}

}  // namespace paddlestand::platform

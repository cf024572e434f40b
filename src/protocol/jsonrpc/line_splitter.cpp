#include "line_splitter.hpp"

#include <algorithm>

namespace paddlestand::jsonrpc {

void LineSplitter::feed(std::string_view bytes) {
  if (!too_long_) input_ = bytes;
}

std::optional<std::string_view> LineSplitter::next() {
  std::string().swap(completed_line_);
  auto end = input_.find('\n');
  if (is_skipping_ && end != std::string_view::npos) {
    input_.remove_prefix(end + 1);
    is_skipping_ = false;
    end = input_.find('\n');
  }
  if (!is_skipping_ && kept_bytes_ + std::min(end, input_.size()) > max_bytes_) {
    too_long_ = true;
    discard();
    return std::nullopt;
  }
  if (end == std::string_view::npos) {
    keep_rest();
    return std::nullopt;
  }
  std::string_view line = input_.substr(0, end);
  input_.remove_prefix(end + 1);
  if (kept_bytes_ > 0) line = complete_kept_line(line);
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  return line;
}

void LineSplitter::discard() {
  input_ = {};
  std::vector<std::unique_ptr<Block>>().swap(blocks_);
  kept_bytes_ = 0;
  std::string().swap(completed_line_);
}

void LineSplitter::skip_line() {
  is_skipping_ = is_skipping_ || has_partial_line();
  discard();
}

void LineSplitter::keep_rest() {
  if (!is_skipping_) keep(input_);
  input_ = {};
}

void LineSplitter::keep(std::string_view bytes) {
  while (!bytes.empty()) {
    const std::size_t used = kept_bytes_ % block_bytes;
    if (used == 0) blocks_.push_back(std::make_unique_for_overwrite<Block>());
    const std::size_t copied = std::min(bytes.size(), block_bytes - used);
    std::copy_n(bytes.data(), copied, blocks_.back()->data() + used);
    kept_bytes_ += copied;
    bytes.remove_prefix(copied);
  }
}

std::string_view LineSplitter::complete_kept_line(std::string_view end) {
  completed_line_.reserve(kept_bytes_ + end.size());
  for (const auto& block : blocks_) {
    const std::size_t used = std::min(kept_bytes_ - completed_line_.size(), block_bytes);
    completed_line_.append(block->data(), used);
  }
  completed_line_.append(end);
  std::vector<std::unique_ptr<Block>>().swap(blocks_);
  kept_bytes_ = 0;
  return completed_line_;
}

}  // namespace paddlestand::jsonrpc

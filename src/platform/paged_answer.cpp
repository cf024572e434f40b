#include "paged_answer.hpp"

namespace paddlestand::platform {

using engine_frames::ProtocolViolation;
using engine_frames::Reply;

PagedAnswer::Step PagedAnswer::add(engine_frames::Answer answer) {
  const bool is_started = !pages_.empty();
  switch (answer.code) {
    case Reply::ok:
      if (is_started) return NoAction{};
      pages_.resize(answer.pages);
      missing_pages_ = answer.pages;
      return add_page(0, std::move(answer));
    case Reply::page: {
      if (!is_started) return ProtocolViolation{"page before the first answer"};
      const std::uint32_t page = answer.page;
      if (page >= pages_.size()) return ProtocolViolation{"page number beyond the last page"};
      return add_page(page, std::move(answer));
    }
    case Reply::full:
      if (is_started) return NoAction{};
      return end_with(core::Ending::full, std::move(answer));
    case Reply::expired:
      if (is_started) return NoAction{};
      return end_with(core::Ending::expired, std::move(answer));
    case Reply::error: return end_with(core::Ending::engine_error, std::move(answer));
    case Reply::healthy:
    case Reply::unhealthy: return NoAction{};
  }
  return NoAction{};
}

PagedAnswer::Step PagedAnswer::end_with(core::Ending ending, engine_frames::Answer answer) {
  head_ = std::move(answer);
  return Done{ending};
}

PagedAnswer::Step PagedAnswer::add_page(std::size_t index, engine_frames::Answer answer) {
  if (pages_[index]) return NoAction{};
  if (!engine_frames::has_complete_rows(answer.body)) return ProtocolViolation{"page with an incomplete row"};
  if (bytes_ + answer.body.size() > max_result) return ProtocolViolation{"result is too large"};
  bytes_ += answer.body.size();
  pages_[index] = std::move(answer.body);
  if (index == 0) head_ = std::move(answer);
  --missing_pages_;
  if (missing_pages_ == 0) {
    join_pages();
    return Done{core::Ending::complete};
  }
  if (index == 0) return RequestPages{static_cast<std::uint32_t>(pages_.size())};
  return NoAction{};
}

void PagedAnswer::join_pages() {
  body_.reserve(bytes_);
  for (const auto& page : pages_) body_ += *page;
  pages_.assign(1, std::string{});  // keeps later duplicates recognisable
}

}  // namespace paddlestand::platform

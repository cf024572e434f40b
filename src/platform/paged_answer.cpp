#include "paged_answer.hpp"

namespace paddlestand::platform {

PagedAnswer::Step PagedAnswer::take(engine_frames::Answer answer) {
  using engine_frames::Broken;
  using engine_frames::Reply;
  const bool begun = !pages_.empty();
  std::size_t index = 0;
  switch (answer.code) {
    case Reply::ok:
      if (begun) return Nothing{};
      pages_.resize(answer.pages);
      missing_ = answer.pages;
      break;
    case Reply::page:
      if (!begun) return Broken{"a further page before the first"};
      if (answer.page >= pages_.size()) return Broken{"a page beyond the last"};
      index = answer.page;
      break;
    case Reply::full:
      if (begun) return Nothing{};
      head_ = std::move(answer);
      return Done{core::Ending::full};
    case Reply::over:
      if (begun) return Nothing{};
      head_ = std::move(answer);
      return Done{core::Ending::expired};
    case Reply::error: head_ = std::move(answer); return Done{core::Ending::engine_error};
    case Reply::well:
    case Reply::ill: return Nothing{};
  }
  if (pages_[index]) return Nothing{};
  if (!engine_frames::whole_rows(answer.body)) return Broken{"a page with a broken row"};
  if (bytes_ + answer.body.size() > most_result) return Broken{"a result that is too large"};
  bytes_ += answer.body.size();
  pages_[index] = std::move(answer.body);
  if (index == 0) head_ = std::move(answer);
  if (--missing_ > 0)
    return index == 0 ? Step{More{static_cast<std::uint32_t>(pages_.size())}} : Step{Nothing{}};
  body_.reserve(bytes_);
  for (auto& page : pages_) body_ += *page;
  pages_.assign(1, std::string{});
  return Done{core::Ending::complete};
}

}  // namespace paddlestand::platform

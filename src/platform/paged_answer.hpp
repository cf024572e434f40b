// What comes back on one stream: the pages of one answer, put together in order. No I/O.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "core/types.hpp"
#include "protocol/engine_frames/frames.hpp"

namespace paddlestand::platform {

inline constexpr std::size_t most_result = 48'000;  // bytes, as the protocol bounds it

class PagedAnswer {
 public:
  struct More {  // pages to ask for, from 1 up to `pages` - 1
    std::uint32_t pages{};
  };
  struct Done {
    core::Ending ending{};
  };
  struct Nothing {};  // more is awaited; or it was passed over, as a second copy is
  using Step = std::variant<Nothing, More, Done, engine_frames::Broken>;

  Step take(engine_frames::Answer answer);

  // Whether the query has run and pages of its result are awaited.
  [[nodiscard]] bool paging() const { return !pages_.empty() && missing_ > 0; }
  [[nodiscard]] std::string& body() { return body_; }
  [[nodiscard]] const engine_frames::Answer& head() const { return head_; }

 private:
  engine_frames::Answer head_;  // of the good answer, or of the bad one; its body is moved away
  std::vector<std::optional<std::string>> pages_;
  std::size_t missing_ = 0, bytes_ = 0;
  std::string body_;
};

}  // namespace paddlestand::platform

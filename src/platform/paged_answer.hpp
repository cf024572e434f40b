/// The answer on one stream: its pages, put together in order. No I/O.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/types.hpp"
#include "protocol/engine_frames/frames.hpp"

namespace paddlestand::platform {

inline constexpr std::size_t max_result = 48'000;  ///< bytes, as the protocol bounds it

/// Collects the answers of one attempt until it has ended.
class PagedAnswer {
 public:
  /// Pages are to be requested: 1 up to `pages` - 1.
  struct More {
    std::uint32_t pages{};
  };
  /// The attempt has ended; its result is complete where it succeeded.
  struct Done {
    core::Ending ending{};
  };
  /// Further pages are awaited, or the answer was ignored as a duplicate.
  struct Nothing {};
  using Step = std::variant<Nothing, More, Done, engine_frames::Broken>;

  /// Adds an answer. `Broken` where it does not fit those before it.
  Step add(engine_frames::Answer answer);

  /// Whether the query has run and pages of its result are awaited.
  [[nodiscard]] bool paging() const { return !pages_.empty() && missing_pages_ > 0; }
  /// The result, once it is complete.
  [[nodiscard]] std::string& body() { return body_; }
  /// The first answer of a success, or the one that reports a failure; without its body.
  [[nodiscard]] const engine_frames::Answer& head() const { return head_; }

 private:
  Step add_page(std::size_t index, engine_frames::Answer answer);
  Step end_with(core::Ending ending, engine_frames::Answer answer);
  void join_pages();

  engine_frames::Answer head_;
  std::vector<std::optional<std::string>> pages_;
  std::size_t missing_pages_ = 0;
  std::size_t bytes_ = 0;  // of all pages
  std::string body_;
};

}  // namespace paddlestand::platform

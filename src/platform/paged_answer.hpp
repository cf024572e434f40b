/// Assembles the answer on one stream from its pages. No I/O.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/types.hpp"
#include "protocol/engine_frames/frames.hpp"

namespace paddlestand::platform {

inline constexpr std::size_t max_result = 48'000;  ///< bytes; limit of the protocol

/// Collects the answers of one attempt until it ends.
class PagedAnswer {
 public:
  /// The caller must request pages 1 to `pages` - 1.
  struct RequestPages {
    std::uint32_t pages{};
  };
  /// The attempt has ended; if it succeeded, its result is complete.
  struct Done {
    core::Ending ending{};
  };
  /// No action is needed: more pages are pending, or the answer was ignored as a duplicate.
  struct NoAction {};
  using Step = std::variant<NoAction, RequestPages, Done, engine_frames::ProtocolViolation>;

  /// Adds an answer. Returns ProtocolViolation if it contradicts earlier answers.
  Step add(engine_frames::Answer answer);

  /// Whether the query has run and pages of its result are missing.
  [[nodiscard]] bool is_paging() const { return !pages_.empty() && missing_pages_ > 0; }
  /// The result, once it is complete.
  [[nodiscard]] std::string& body() { return body_; }
  /// The first answer of a success, or the answer that reports a failure, without its body.
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

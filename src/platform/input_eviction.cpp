#include "input_eviction.hpp"

#include <tuple>

namespace paddlestand::platform {
namespace {

// Slow writers pause between their bytes.
constexpr Duration min_stall = std::chrono::milliseconds(250);
constexpr Duration min_stall_after_progress = std::chrono::milliseconds(500);

auto refusal_order(const HeldMessage& message) {
  const Duration limit = message.bytes_per_second > 0 ? min_stall_after_progress : min_stall;
  const Duration stall = message.silence >= limit ? message.silence : Duration{};
  return std::tuple(-stall, message.bytes_per_second, message.is_from_known_client,
                    -static_cast<std::ptrdiff_t>(message.bytes));
}

}  // namespace

bool is_refused_before(const HeldMessage& a, const HeldMessage& b) {
  return refusal_order(a) < refusal_order(b);
}

}  // namespace paddlestand::platform

#include "input_eviction.hpp"

#include <tuple>

namespace paddlestand::platform {
namespace {

constexpr Duration min_stall = std::chrono::milliseconds(250);  // slow writers pause between their bytes

auto refusal_order(const HeldMessage& message) {
  const bool is_stalled = message.silence >= min_stall;
  const Duration stall = is_stalled ? message.silence : Duration{};
  return std::tuple(message.bytes_per_second, -stall, message.is_from_known_client,
                    -static_cast<std::ptrdiff_t>(message.bytes));
}

}  // namespace

bool is_refused_before(const HeldMessage& a, const HeldMessage& b) {
  return refusal_order(a) < refusal_order(b);
}

}  // namespace paddlestand::platform

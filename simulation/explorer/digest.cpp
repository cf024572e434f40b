#include "digest.hpp"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <cmath>

namespace paddlestand::explorer {
namespace {

constexpr double time_resolution_s = 1e-3;  // closer times are treated as equal, apart from their order
constexpr double max_since_s = 1.5;  // older events are treated as equally old
constexpr double max_until_s = 60;
constexpr double max_exact_integer = 64;  // larger numbers are rounded to a power of two
constexpr double epsilon = 1e-9;

std::uint64_t hash_of(const std::vector<std::uint64_t>& words, std::size_t from) {
  return XXH3_64bits(words.data() + from, (words.size() - from) * sizeof(std::uint64_t));
}

}  // namespace

// Counts are hashed exactly. Learned values (rates, biases, means) are rounded to the nearest power of two:
// they only influence choices whose outcome is part of the state.
void Digest::number(double& value) {
  if (std::abs(value) < epsilon) {
    put(0);
    return;
  }
  const double rounded = std::round(value);
  if (std::abs(value - rounded) < epsilon && std::abs(rounded) <= max_exact_integer) {
    put(static_cast<std::uint64_t>(static_cast<std::int64_t>(rounded)));
    return;
  }
  int exponent = 0;
  std::frexp(value * 1.414213562373095, &exponent);
  const std::int64_t sign_and_kind = value < 0 ? 3 : 2;
  put(static_cast<std::uint64_t>(static_cast<std::int64_t>(exponent) * 4 + sign_and_kind) << 16U);
}

void Digest::since(double& time) {
  const double elapsed = std::min(now_ + behind_ + lag_ - time, max_since_s);
  // NOLINTNEXTLINE(bugprone-incorrect-roundings): it is not negative
  put(static_cast<std::uint64_t>(std::max(elapsed, 0.0) / time_resolution_s + 0.5));
}

// A timer that is due hashes differently from one that is due very soon.
void Digest::until(double& time) {
  const double remaining = std::min(time - now_ - behind_ - lag_, max_until_s);
  if (remaining <= epsilon) {
    put(0);
    return;
  }
  // NOLINTNEXTLINE(bugprone-incorrect-roundings): it is not negative
  put(1 + static_cast<std::uint64_t>(remaining / time_resolution_s + 0.5));
}

void Digest::name(Name kind, std::uint64_t& id) {
  if (kind == Name::engine && id < engine_names_.size()) {
    put(engine_names_[id]);
    return;
  }
  if (kind != Name::channel) {
    put(id);
    return;
  }
  const auto known = channels_.find(id);
  if (known != channels_.end()) {
    put(known->second);
    return;
  }
  Frame& frame = frames_.back();
  if (!frame.in_order && frame.has_entry && words_.size() == frame.start) {
    frame.defined_channel = id;
  } else {
    put(~std::uint64_t{0});
  }
}

std::size_t Digest::table(std::size_t entries, bool in_order) {
  put(entries);
  frames_.push_back({words_.size(), 0, 0, in_order, false});
  return entries;
}

void Digest::entry() {
  Frame& frame = frames_.back();
  close_entry(frame);
  frame.has_entry = true;
}

void Digest::close_entry(Frame& frame) {
  if (frame.in_order || !frame.has_entry) return;
  const std::uint64_t hash = hash_of(words_, frame.start);
  frame.sum += hash * (hash | 1);  // independent of the order; equal entries don't cancel
  words_.resize(frame.start);
  if (frame.defined_channel != 0) channels_.emplace(frame.defined_channel, hash);
  frame.defined_channel = 0;
}

void Digest::end() {
  Frame& frame = frames_.back();
  close_entry(frame);
  const bool in_order = frame.in_order;
  const std::uint64_t sum = frame.sum;
  frames_.pop_back();
  if (!in_order) put(sum);
}

std::uint64_t Digest::value() const { return hash_of(words_, 0); }

}  // namespace paddlestand::explorer

#include "digest.hpp"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <cmath>

namespace paddlestand::explorer {
namespace {

constexpr double resolution =
    1e-3;  // s: times closer than that are one, but for the order in which they come
constexpr double longest_since = 1.5;  // s: what lies further back is long ago, whenever it was
constexpr double longest_until = 60;
constexpr double most_counted = 64;  // whole figures up to here are told apart; others by their size only

std::uint64_t hash_of(const std::vector<std::uint64_t>& words, std::size_t from) {
  return XXH3_64bits(words.data() + from, (words.size() - from) * sizeof(std::uint64_t));
}

}  // namespace

// Counts are kept as they are. What is learned (rates, biases, means) only to the nearest power of two: it
// weighs in choices whose outcome is part of the state anyway.
void Digest::number(double& value) {
  if (std::abs(value) < 1e-9) return put(0);
  const double whole = std::round(value);
  if (std::abs(value - whole) < 1e-9 && std::abs(whole) <= most_counted)
    return put(static_cast<std::uint64_t>(static_cast<std::int64_t>(whole)));
  int size = 0;
  std::frexp(value * 1.414213562373095, &size);
  put(static_cast<std::uint64_t>(static_cast<std::int64_t>(size) * 4 + (value < 0 ? 3 : 2)) << 16U);
}

void Digest::since(double& time) {
  const double past = std::min(now_ + behind_ + lag_ - time, longest_since);
  put(static_cast<std::uint64_t>(std::max(past, 0.0) / resolution + 0.5));
}

// What is due is not what will be in a moment.
void Digest::until(double& time) {
  const double ahead = std::min(time - now_ - behind_ - lag_, longest_until);
  if (ahead <= 1e-9) return put(0);
  put(1 + static_cast<std::uint64_t>(ahead / resolution + 0.5));
}

void Digest::name(Name kind, std::uint64_t& id) {
  if (kind == Name::engine && id < engines_.size()) return put(engines_[id]);
  if (kind != Name::channel) return put(id);
  Frame& frame = frames_.back();
  const auto known = channels_.find(id);
  if (known != channels_.end()) return put(known->second);
  if (!frame.in_order && frame.entered && words_.size() == frame.start) {
    frame.defines = id;
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
  frame.entered = true;
}

void Digest::close_entry(Frame& frame) {
  if (frame.in_order || !frame.entered) return;
  const std::uint64_t hash = hash_of(words_, frame.start);
  frame.sum += hash * (hash | 1);  // in any order, and not undone by a like entry
  words_.resize(frame.start);
  if (frame.defines != 0) channels_.emplace(frame.defines, hash);
  frame.defines = 0;
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

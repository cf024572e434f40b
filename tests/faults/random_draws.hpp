/// The seeded random draws of a fault run. Their order is part of the plan: the same seed gives the same
/// plan.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace paddlestand::faults {

/// One generator for everything that a run draws.
class RandomDraws {
 public:
  explicit RandomDraws(std::uint64_t seed) : generator_(seed) {}

  /// A real number from `least` up to, but not including, `most`.
  double between(double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(generator_);
  }
  /// A whole number from 0 up to, but not including, `bound`, which is at least 1.
  std::size_t below(std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(generator_);
  }
  /// The generator itself, for callers with distributions of their own.
  std::mt19937_64& generator() { return generator_; }

 private:
  std::mt19937_64 generator_;
};

}  // namespace paddlestand::faults

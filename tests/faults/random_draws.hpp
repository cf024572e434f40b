/// The seeded random draws of a fault run. Equal seeds give equal runs only as long as the order of the draws
/// does not change.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace paddlestand::faults {

/// The random generator that all parts of a run share.
class RandomDraws {
 public:
  explicit RandomDraws(std::uint64_t seed) : generator_(seed) {}

  /// A real number in [least, most).
  double between(double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(generator_);
  }
  /// An integer in [0, bound). `bound` must be at least 1.
  std::size_t below(std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(generator_);
  }
  /// The underlying generator, for callers that use their own distributions.
  std::mt19937_64& generator() { return generator_; }

 private:
  std::mt19937_64 generator_;
};

}  // namespace paddlestand::faults

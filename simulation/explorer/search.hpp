// Breadth-first search over a World: every state that its moves lead to, once. The first violation found is
// one of a shortest history. The same on any number of threads.
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "model_state.hpp"

namespace paddlestand::explorer {

struct Limits {
  std::size_t states = 0;  // zero: none
  std::size_t memory_bytes = std::size_t{4} << 30U;  // of the process
  std::chrono::seconds time{0};  // zero: none
  unsigned threads = 1;
};

struct Found {
  std::vector<Move> history;
  std::vector<InvariantViolation> violations;
};

struct Report {
  std::size_t states = 0, transitions = 0, depth = 0, frontier = 0;
  double seconds = 0;
  std::size_t memory_bytes = 0;  // the most of the process, up to the end
  bool emptied = false;
  std::string stopped;  // by which limit, where it was not emptied
  std::size_t settled = 0;  // states in which nothing is held
  std::array<std::size_t, static_cast<std::size_t>(Case::count)> cases{};  // transitions that show each
  std::array<std::size_t, static_cast<std::size_t>(Step::count)> acts{};
  std::optional<Found> found;
};

using Progress = std::function<void(const Report&)>;

Report search(const Scope& scope, const Limits& limits, const Progress& progress);

std::size_t memory_in_use();

}  // namespace paddlestand::explorer

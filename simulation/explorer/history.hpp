// Histories: written to a file, read back, played again, made shorter, turned into a test.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "search.hpp"

namespace paddlestand::explorer {

struct History {
  std::string scope;
  std::string defect = "none";
  std::vector<Move> moves;
};

// The scope of that name, of any size, or the walks'.
std::optional<Scope> find_scope(const std::string& name);

// As numbered lines that an engineer can follow, which parse_history() reads too.
std::string text_of(const History& history, const std::vector<InvariantViolation>& violations);
// A problem as line: what was wanted.
std::variant<History, std::string> parse_history(const std::string& text);
// A GoogleTest case that plays it.
std::string test_of(const History& history, const std::string& name);

struct Played {
  std::vector<InvariantViolation> violations;  // of the first move that broke something
  std::vector<Move> moves;  // those made
  std::vector<std::string> lines;  // in words, where asked for
};

// Makes the moves that are allowed, passes over the others, and ends at the first violation.
Played play(const Scope& scope, const std::vector<Move>& moves, bool in_words = false);
// As above, and then without faults until all has ended or should have.
Played play_out(const Scope& scope, const std::vector<Move>& moves);

// What still breaks the same invariant with as few moves as can be found by leaving some out.
std::vector<Move> shrink(const Scope& scope, std::vector<Move> moves, Invariant invariant);

struct WalkReport {
  std::size_t steps = 0, episodes = 0, queries = 0;
  double seconds = 0;
  std::array<std::size_t, static_cast<std::size_t>(Case::count)> cases{};
  std::array<std::size_t, static_cast<std::size_t>(Step::count)> acts{};
  std::optional<Found> found;
};

// Random moves from a seed, in episodes that each begin anew. The same seed gives the same walk.
WalkReport walk(const Scope& scope, std::size_t steps, std::size_t episode, std::uint64_t seed,
                const std::function<void(const WalkReport&)>& progress);

}  // namespace paddlestand::explorer

/// The output of `paddlestand explore`.
#pragma once

#include <string>

#include "explore_options.hpp"
#include "simulation/explorer/replay.hpp"
#include "simulation/explorer/search.hpp"

namespace paddlestand::app {

/// Prints the progress of a search.
void print_progress(const explorer::SearchReport& report);
/// Prints how often each coverage goal was reached.
void print_coverage(const explorer::CoverageCounts& counts);
/// Prints the result of the search of one part of a scope.
void print_report(const std::string& scope, const explorer::SearchReport& report);
/// Prints the moves of a replay, numbered, each followed by the actions that it caused.
void print_moves(const explorer::Replay& replay);
/// Prints the name and description of each invariant.
void print_invariants();
/// Prints a history that violates an invariant, and writes it to a file if the options name one. Returns the
/// exit code.
[[nodiscard]] int report_violation(const ExploreOptions& options, const std::string& scope,
                                   const explorer::Counterexample& counterexample);

}  // namespace paddlestand::app

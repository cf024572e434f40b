/// What `paddlestand explore` prints and writes.
#pragma once

#include <string>

#include "explore_options.hpp"
#include "simulation/explorer/replay.hpp"
#include "simulation/explorer/search.hpp"

namespace paddlestand::app {

/// Prints how far a search is.
void print_progress(const explorer::Report& report);
/// Prints how often each coverage goal was reached.
void print_coverage(const explorer::CoverageCounts& counts);
/// Prints how the search of a part of a scope ended.
void print_report(const std::string& scope, const explorer::Report& report);
/// Prints the moves of a replay, numbered, with what followed from each.
void print_moves(const explorer::Replay& replay);
/// Prints each invariant and what it says.
void print_properties();
/// Prints a history that violates an invariant, and writes it to a file if that was asked for. Returns the
/// exit code.
[[nodiscard]] int report_violation(const ExploreOptions& options, const std::string& scope,
                                   const explorer::Found& found);

}  // namespace paddlestand::app

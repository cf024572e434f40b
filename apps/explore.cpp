/// `paddlestand explore`: searches the production core for a history that violates an invariant.
#include <CLI/CLI.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <memory>
#include <sstream>

#include "commands.hpp"
#include "core/seeded_defects.hpp"
#include "explore_defects.hpp"
#include "explore_options.hpp"
#include "explore_output.hpp"
#include "simulation/explorer/history.hpp"
#include "simulation/explorer/random_walk.hpp"
#include "simulation/explorer/replay.hpp"
#include "simulation/explorer/search.hpp"

namespace paddlestand::app {
namespace {

using namespace explorer;

/// Totals over the searched parts of a scope.
struct ScopeTotals {
  bool has_searched = false;
  bool is_exhausted = true;
  std::size_t states = 0;
  std::size_t transitions = 0;
  CoverageCounts coverage{};

  void add(const SearchReport& report) {
    has_searched = true;
    is_exhausted = is_exhausted && report.is_exhausted;
    states += report.states;
    transitions += report.transitions;
    for (std::size_t goal = 0; goal < coverage.size(); ++goal) coverage[goal] += report.coverage[goal];
  }
};

int run_search(const ExploreOptions& options) {
  const auto size = parse_size(options.scope);
  if (!size) return report_bad_input("--scope " + options.scope + ": expected tiny, small, medium or large");
  ScopeTotals totals;
  for (const Scope& scope : scopes_of(*size)) {
    if (!options.only.empty() && scope.name != options.only) continue;
    const SearchReport report = search(scope, limits_of(options), print_progress);
    print_report(scope.name, report);
    if (report.counterexample) return report_violation(options, scope.name, *report.counterexample);
    totals.add(report);
  }
  if (!totals.has_searched)
    return report_bad_input("--only " + options.only + ": expected the name of a part of this scope");
  if (options.coverage) print_coverage(totals.coverage);
  std::cout << "verdict: no invariant violated in " << totals.states << " states and " << totals.transitions
            << " transitions, "
            << (totals.is_exhausted ? "all states of this scope" : "NOT all states of this scope") << "\n";
  return exit_success;
}

int run_random_walk(const ExploreOptions& options) {
  const Scope scope = walk_scope();
  const RandomWalkSettings settings{options.walk_steps, options.episode_steps, options.seed};
  const RandomWalkReport report = random_walk(scope, settings, [](const RandomWalkReport& so_far) {
    std::cout << "  ... " << so_far.steps << " steps, " << so_far.queries << " queries" << std::endl;
  });
  std::cout << report.steps << " steps in " << report.episodes << " episodes, " << report.queries
            << " queries, " << std::fixed << std::setprecision(1) << report.seconds << " s, seed "
            << options.seed << "\n";
  if (options.coverage) print_coverage(report.coverage);
  if (!report.counterexample) {
    std::cout << "verdict: no invariant violated in " << report.steps << " random steps\n";
    return exit_success;
  }
  std::cout << "invariant violated after " << report.counterexample->history.size()
            << " moves; shrinking the history" << std::endl;
  Counterexample counterexample = *report.counterexample;
  counterexample.history = shrink(scope, counterexample.history, counterexample.violations.front().invariant);
  return report_violation(options, scope.name, counterexample);
}

int replay_history(const ExploreOptions& options, const History& history) {
  if (history.defect != "none" && !core::has_seeded_defects) {
    std::cout << "this build does not have the history's seeded defect " << history.defect
              << "; replaying without it\n";
  }
  enable_defect(history.defect);
  const Scope scope = *find_scope(history.scope);
  const Replay result = replay_with_trace(scope, history.moves);
  print_moves(result);
  const auto violations =
      result.violations.empty() ? replay_to_end(scope, history.moves).violations : result.violations;
  for (const InvariantViolation& violation : violations)
    std::cout << "violated: " << core::name_of(violation.invariant) << ": " << violation.what << "\n";
  std::cout << result.moves.size() << " of " << history.moves.size() << " moves were possible\n";
  if (!options.as_test.empty()) std::cout << test_case_of(history, options.as_test);
  std::cout << "verdict: " << (violations.empty() ? "no invariant violated" : "BROKEN") << "\n";
  return violations.empty() ? exit_success : exit_failure;
}

int run_history(const ExploreOptions& options) {
  std::ifstream file(options.history);
  if (!file) return report_bad_input(options.history + ": cannot be read");
  std::ostringstream text;
  text << file.rdbuf();
  const auto parsed = parse_history(text.str());
  if (const auto* error = std::get_if<HistoryError>(&parsed))
    return report_bad_input(options.history + ":" + error->text());
  return replay_history(options, std::get<History>(parsed));
}

int run(const ExploreOptions& options) {
  if (options.properties) {
    print_invariants();
    return exit_success;
  }
  if (!options.history.empty()) return run_history(options);
  if (options.seeded_defects) return run_defects(options);
  if (options.walk_steps > 0) return run_random_walk(options);
  return run_search(options);
}

}  // namespace

void add_explore_command(CLI::App& app, int& result) {
  const auto options = std::make_shared<ExploreOptions>();
  auto* explorer =
      app.add_subcommand("explore", "Search the production core for a history that violates an invariant");
  explorer->add_option("--scope", options->scope, "Scope to search: tiny, small, medium or large");
  explorer->add_option("--only", options->only,
                       "Search only the part of the scope, or the seeded defect, with this name");
  explorer->add_option("--threads", options->threads, "Number of search threads")->check(CLI::Range(1, 64));
  explorer->add_option("--memory", options->memory_mb, "Stop when the process uses this much memory, in MB");
  explorer->add_option("--states", options->states,
                       "Stop the search of each part after this many states; 0: no limit");
  explorer->add_option("--time", options->time_s,
                       "Stop the search of each part after this many seconds; 0: no limit");
  explorer->add_option(
      "--walk", options->walk_steps,
      "Instead of a search, make random walks in a large scope, of this many steps in total");
  explorer->add_option("--episode", options->episode_steps,
                       "Number of steps after which a random walk restarts from the initial state");
  explorer->add_option("--seed", options->seed, "Seed of the random walks");
  explorer->add_option("--history", options->history, "Replay the history in this file");
  explorer->add_option(
      "--write", options->write_to,
      "Write a violating history to this file; with --seeded-defects, write histories to this folder");
  explorer->add_option("--as-test", options->as_test,
                       "Also print the history as a GoogleTest case with this name");
  explorer->add_flag("--properties", options->properties, "Print the invariants and exit");
  explorer->add_flag("--cases", options->coverage, "Print how often each coverage goal was reached");
  explorer->add_flag("--seeded-defects", options->seeded_defects,
                     "Search for each seeded defect of the test build");
  explorer->callback([options, &result] { result = run(*options); });
}

}  // namespace paddlestand::app

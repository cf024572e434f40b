/// `paddlestand explore`: searches the core that ships for a history that violates an invariant.
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

/// What the searched parts of a scope add up to.
struct ScopeTotals {
  bool has_searched = false;
  bool is_exhausted = true;
  std::size_t states = 0;
  std::size_t transitions = 0;
  CoverageCounts coverage{};

  void add(const Report& report) {
    has_searched = true;
    is_exhausted = is_exhausted && report.is_exhausted;
    states += report.states;
    transitions += report.transitions;
    for (std::size_t goal = 0; goal < coverage.size(); ++goal) coverage[goal] += report.coverage[goal];
  }
};

int run_search(const ExploreOptions& options) {
  const auto size = size_of(options.scope);
  if (!size) return report_bad_input("--scope " + options.scope + ": wanted: tiny, small, medium or large");
  ScopeTotals totals;
  for (const Scope& scope : scopes_of(*size)) {
    if (!options.only.empty() && scope.name != options.only) continue;
    const Report report = search(scope, limits_of(options), print_progress);
    print_report(scope.name, report);
    if (report.found) return report_violation(options, scope.name, *report.found);
    totals.add(report);
  }
  if (!totals.has_searched)
    return report_bad_input("--only " + options.only + ": wanted: the name of a part of this scope");
  if (options.coverage) print_coverage(totals.coverage);
  std::cout << "verdict: no promise broken in " << totals.states << " states and " << totals.transitions
            << " transitions, "
            << (totals.is_exhausted ? "all there are in this scope" : "NOT all there are in this scope")
            << "\n";
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
  if (!report.found) {
    std::cout << "verdict: no promise broken in " << report.steps << " random steps\n";
    return exit_success;
  }
  std::cout << "broken after " << report.found->history.size() << " moves; making it shorter" << std::endl;
  Found found = *report.found;
  found.history = shrink(scope, found.history, found.violations.front().invariant);
  return report_violation(options, scope.name, found);
}

int replay_history(const ExploreOptions& options, const History& history) {
  if (history.defect != "none" && !core::has_seeded_defects)
    std::cout << "its defect, " << history.defect << ", is not in this build\n";
  enable_defect(history.defect);
  const Scope scope = *find_scope(history.scope);
  const Replay result = replay_in_words(scope, history.moves);
  print_moves(result);
  const auto violations =
      result.violations.empty() ? replay_to_end(scope, history.moves).violations : result.violations;
  for (const InvariantViolation& violation : violations)
    std::cout << "broken: " << core::name_of(violation.invariant) << ": " << violation.what << "\n";
  std::cout << result.moves.size() << " of " << history.moves.size() << " moves were possible\n";
  if (!options.as_test.empty()) std::cout << test_of(history, options.as_test);
  std::cout << "verdict: " << (violations.empty() ? "no promise broken" : "BROKEN") << "\n";
  return violations.empty() ? exit_success : exit_failure;
}

int run_history(const ExploreOptions& options) {
  std::ifstream file(options.history);
  if (!file) return report_bad_input(options.history + ": can't be read");
  std::ostringstream text;
  text << file.rdbuf();
  const auto parsed = parse_history(text.str());
  if (const auto* error = std::get_if<HistoryError>(&parsed))
    return report_bad_input(options.history + ":" + error->text());
  return replay_history(options, std::get<History>(parsed));
}

int run(const ExploreOptions& options) {
  if (options.properties) {
    print_properties();
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
  auto* explorer = app.add_subcommand("explore", "Search what ships for a history that breaks a promise");
  explorer->add_option("--scope", options->scope, "tiny, small, medium or large");
  explorer->add_option("--only", options->only, "Only this part of the scope, or this defect");
  explorer->add_option("--threads", options->threads, "How many to search with")->check(CLI::Range(1, 64));
  explorer->add_option("--memory", options->memory_mb, "Stop at so many MB");
  explorer->add_option("--states", options->states, "Stop at so many states of a part");
  explorer->add_option("--time", options->time_s, "Stop a part after so many seconds");
  explorer->add_option("--walk", options->walk_steps, "Instead, random walks of so many steps at size");
  explorer->add_option("--episode", options->episode_steps, "Steps after which a walk begins anew");
  explorer->add_option("--seed", options->seed, "Of the walks");
  explorer->add_option("--history", options->history, "Play this history again");
  explorer->add_option("--write", options->write_to,
                       "Where a history goes that breaks a promise; with defects, a folder");
  explorer->add_option("--as-test", options->as_test, "Print it as a GoogleTest case of this name, too");
  explorer->add_flag("--properties", options->properties, "Print what is promised, and end");
  explorer->add_flag("--cases", options->coverage, "Print how often each hard case occurred");
  explorer->add_flag("--seeded-defects", options->seeded_defects, "Search for each defect of the test build");
  explorer->callback([options, &result] { result = run(*options); });
}

}  // namespace paddlestand::app

/// `paddlestand explore`: searches the core that ships for a history that violates an invariant.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <memory>
#include <sstream>

#include "commands.hpp"
#include "core/seeded_defects.hpp"
#include "simulation/explorer/history.hpp"
#include "simulation/explorer/random_walk.hpp"
#include "simulation/explorer/replay.hpp"
#include "simulation/explorer/search.hpp"

namespace paddlestand::app {
namespace {

using namespace explorer;

struct Options {
  std::string scope = "small";
  std::string only;
  std::string history;
  std::string write_to;
  std::string as_test;
  unsigned threads = 2;
  std::size_t memory_mb = 4096;
  std::size_t states = 0;
  std::size_t walk_steps = 0;
  std::size_t episode = 4000;
  std::uint64_t seed = 1;
  int time_s = 0;
  bool properties = false;
  bool seeded_defects = false;
  bool cases = false;
};

std::string megabytes(std::size_t bytes) { return std::to_string(bytes >> 20U) + " MB"; }

void print_progress(const Report& report) {
  std::cout << "  ... " << report.states << " states, " << report.transitions << " transitions, depth "
            << report.depth << ", " << static_cast<int>(report.seconds) << " s, "
            << megabytes(memory_in_use()) << std::endl;
}

void print_coverage(const CoverageCounts& counts) {
  for (std::size_t goal = 0; goal < counts.size(); ++goal) {
    std::cout << "  " << std::setw(10) << counts[goal] << "  " << name_of(static_cast<CoverageGoal>(goal))
              << "\n";
  }
}

void print_report(const std::string& scope, const Report& report) {
  std::cout << scope << ": " << report.states << " states, " << report.transitions << " transitions, depth "
            << report.depth << ", " << report.settled_states << " states at rest, " << std::fixed
            << std::setprecision(1) << report.seconds << " s, " << megabytes(report.memory_bytes) << ", ";
  if (report.is_exhausted) {
    std::cout << "frontier emptied";
  } else {
    std::cout << "frontier of " << report.frontier << " left, stopped by "
              << (report.found ? std::string("a violation") : report.stopped);
  }
  std::cout << std::endl;
}

/// Prints a history that violates an invariant, and writes it to a file if that was asked for.
int report_violation(const Options& options, const std::string& scope, const Found& found) {
  const History history{scope, std::string(core::defect_names[0]), found.history};
  const std::string text = text_of(history, found.violations);
  std::cout << text;
  if (!options.write_to.empty()) {
    std::ofstream file(options.write_to);
    file << text;
    if (!file.flush()) return complain(options.write_to + ": can't be written");
    std::cout << "written to " << options.write_to << "\n";
  }
  if (!options.as_test.empty()) std::cout << test_of(history, options.as_test);
  std::cout << "verdict: BROKEN: " << core::name_of(found.violations.front().invariant) << "\n";
  return exit_failed;
}

Limits limits_of(const Options& options) {
  Limits limits;
  limits.threads = options.threads;
  limits.memory_bytes = options.memory_mb << 20U;
  limits.states = options.states;
  limits.time = std::chrono::seconds(options.time_s);
  return limits;
}

int run_search(const Options& options) {
  const auto size = size_of(options.scope);
  if (!size) return complain("--scope " + options.scope + ": wanted: tiny, small, medium or large");
  bool has_searched = false;
  bool is_exhausted = true;
  std::size_t states = 0;
  std::size_t transitions = 0;
  CoverageCounts coverage{};
  for (const Scope& scope : scopes_of(*size)) {
    if (!options.only.empty() && scope.name != options.only) continue;
    has_searched = true;
    const Report report = search(scope, limits_of(options), print_progress);
    print_report(scope.name, report);
    if (report.found) return report_violation(options, scope.name, *report.found);
    is_exhausted = is_exhausted && report.is_exhausted;
    states += report.states;
    transitions += report.transitions;
    for (std::size_t goal = 0; goal < coverage.size(); ++goal) coverage[goal] += report.coverage[goal];
  }
  if (!has_searched) return complain("--only " + options.only + ": wanted: the name of a part of this scope");
  if (options.cases) print_coverage(coverage);
  std::cout << "verdict: no promise broken in " << states << " states and " << transitions << " transitions, "
            << (is_exhausted ? "all there are in this scope" : "NOT all there are in this scope") << "\n";
  return exit_well;
}

int run_random_walk(const Options& options) {
  const Scope scope = walk_scope();
  const RandomWalkSettings settings{options.walk_steps, options.episode, options.seed};
  const RandomWalkReport report = random_walk(scope, settings, [](const RandomWalkReport& so_far) {
    std::cout << "  ... " << so_far.steps << " steps, " << so_far.queries << " queries" << std::endl;
  });
  std::cout << report.steps << " steps in " << report.episodes << " episodes, " << report.queries
            << " queries, " << std::fixed << std::setprecision(1) << report.seconds << " s, seed "
            << options.seed << "\n";
  if (options.cases) print_coverage(report.coverage);
  if (!report.found) {
    std::cout << "verdict: no promise broken in " << report.steps << " random steps\n";
    return exit_well;
  }
  std::cout << "broken after " << report.found->history.size() << " moves; making it shorter" << std::endl;
  Found found = *report.found;
  found.history = shrink(scope, found.history, found.violations.front().invariant);
  return report_violation(options, scope.name, found);
}

/// Switches the seeded defect of that name on, in a build that has them.
void enable_defect([[maybe_unused]] const std::string& name) {
#ifdef PADDLESTAND_SEEDED_DEFECTS
  for (std::size_t i = 0; i < core::defect_names.size(); ++i) {
    if (core::defect_names[i] == name) core::defect_on = static_cast<core::Defect>(i);
  }
#endif
}

void print_moves(const Replay& result) {
  int number = 0;
  for (const std::string& line : result.lines) {
    if (line.starts_with(" ")) {
      std::cout << "     " << line << "\n";
    } else {
      std::cout << std::setw(4) << ++number << "  " << line << "\n";
    }
  }
}

int replay_history(const Options& options, const History& history) {
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
  return violations.empty() ? exit_well : exit_failed;
}

int run_history(const Options& options) {
  std::ifstream file(options.history);
  if (!file) return complain(options.history + ": can't be read");
  std::ostringstream text;
  text << file.rdbuf();
  const auto parsed = parse_history(text.str());
  if (const auto* error = std::get_if<HistoryError>(&parsed))
    return complain(options.history + ":" + error->text());
  return replay_history(options, std::get<History>(parsed));
}

int print_properties() {
  for (std::size_t i = 0; i < static_cast<std::size_t>(Invariant::count); ++i) {
    const auto invariant = static_cast<Invariant>(i);
    std::cout << std::left << std::setw(18) << core::name_of(invariant) << core::sentence_of(invariant)
              << "\n";
  }
  return exit_well;
}

#ifdef PADDLESTAND_SEEDED_DEFECTS
struct DefectSearch {
  std::string scope;  // in which it was found
  std::optional<Found> found;
  double seconds = 0;
};

/// Goes through the scopes, from the cheapest on, until the defect that is on is found.
DefectSearch search_for_defect(const Limits& limits) {
  DefectSearch result;
  for (const Scope& scope : defect_scopes()) {
    Report report = search(scope, limits, {});
    result.seconds += report.seconds;
    if (!report.found) continue;
    result.found = std::move(report.found);
    result.scope = scope.name;
    break;
  }
  return result;
}

void print_defect(const Options& options, const std::string& defect, const DefectSearch& search) {
  std::cout << std::left << std::setw(32) << defect;
  if (search.found) {
    const History history{search.scope, defect, search.found->history};
    std::cout << std::setw(18) << core::name_of(search.found->violations.front().invariant) << std::right
              << std::setw(3) << history.moves.size() << " moves, '" << search.scope << "'";
    if (!options.write_to.empty()) {
      std::ofstream(options.write_to + "/" + defect + ".history")
          << text_of(history, search.found->violations);
    }
    if (!options.as_test.empty()) std::cout << "\n" << test_of(history, defect);
  } else {
    std::cout << "NOT FOUND";
  }
  std::cout << std::fixed << std::setprecision(1) << ", " << search.seconds << " s" << std::endl;
}

int run_defects(const Options& options) {
  std::size_t found = 0;
  std::size_t searched = 0;
  for (std::size_t i = 1; i < core::defect_names.size(); ++i) {
    const std::string defect(core::defect_names[i]);
    if (!options.only.empty() && defect != options.only) continue;
    enable_defect(defect);
    const DefectSearch result = search_for_defect(limits_of(options));
    ++searched;
    if (result.found) ++found;
    print_defect(options, defect, result);
  }
  core::defect_on = core::Defect::none;
  std::cout << "verdict: " << found << " of " << searched << " seeded defects found\n";
  return found == searched ? exit_well : exit_failed;
}
#else
int run_defects(const Options&) {
  std::cerr
      << "paddlestand: this build carries no seeded defects; paddlestand-seeded, which is built with the "
         "tests, does\n";
  return exit_bad_usage;
}
#endif

int run(const Options& options) {
  if (options.properties) return print_properties();
  if (!options.history.empty()) return run_history(options);
  if (options.seeded_defects) return run_defects(options);
  if (options.walk_steps > 0) return run_random_walk(options);
  return run_search(options);
}

}  // namespace

void add_explore(CLI::App& app, int& result) {
  const auto options = std::make_shared<Options>();
  auto* explorer = app.add_subcommand("explore", "Search what ships for a history that breaks a promise");
  explorer->add_option("--scope", options->scope, "tiny, small, medium or large");
  explorer->add_option("--only", options->only, "Only this part of the scope, or this defect");
  explorer->add_option("--threads", options->threads, "How many to search with")->check(CLI::Range(1, 64));
  explorer->add_option("--memory", options->memory_mb, "Stop at so many MB");
  explorer->add_option("--states", options->states, "Stop at so many states of a part");
  explorer->add_option("--time", options->time_s, "Stop a part after so many seconds");
  explorer->add_option("--walk", options->walk_steps, "Instead, random walks of so many steps at size");
  explorer->add_option("--episode", options->episode, "Steps after which a walk begins anew");
  explorer->add_option("--seed", options->seed, "Of the walks");
  explorer->add_option("--history", options->history, "Play this history again");
  explorer->add_option("--write", options->write_to,
                       "Where a history goes that breaks a promise; with defects, a folder");
  explorer->add_option("--as-test", options->as_test, "Print it as a GoogleTest case of this name, too");
  explorer->add_flag("--properties", options->properties, "Print what is promised, and end");
  explorer->add_flag("--cases", options->cases, "Print how often each hard case occurred");
  explorer->add_flag("--seeded-defects", options->seeded_defects, "Search for each defect of the test build");
  explorer->callback([options, &result] { result = run(*options); });
}

}  // namespace paddlestand::app

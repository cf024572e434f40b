// paddlestand explore: the core that ships, searched for a history that breaks a invariant.
#include <CLI/CLI.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "commands.hpp"
#include "core/seeded_defects.hpp"
#include "simulation/explorer/history.hpp"

namespace paddlestand::app {
namespace {

using namespace explorer;

struct Options {
  std::string scope = "small", only, history, write_to, as_test;
  unsigned threads = 2;
  std::size_t memory_mb = 4096, states = 0, walk_steps = 0, episode = 4000;
  std::uint64_t seed = 1;
  int time_s = 0;
  bool properties = false, seeded_defects = false, cases = false;
};

int bad(const std::string& text) {
  std::cerr << "paddlestand: " << text << "\n";
  return exit_bad_input;
}

std::string mb(std::size_t bytes) { return std::to_string(bytes >> 20U) + " MB"; }

void print_progress(const Report& report) {
  std::cout << "  ... " << report.states << " states, " << report.transitions << " transitions, depth "
            << report.depth << ", " << static_cast<int>(report.seconds) << " s, " << mb(memory_in_use())
            << std::endl;
}

void print_cases(const auto& counts) {
  for (std::size_t i = 0; i < counts.size(); ++i)
    std::cout << "  " << std::setw(10) << counts[i] << "  " << name_of(static_cast<Case>(i)) << "\n";
}

// Tells a history, and writes it where that was asked for.
int tell_found(const Options& options, const std::string& scope, const Found& found) {
  const History history{scope, std::string(core::defect_names[0]), found.history};
  const std::string text = text_of(history, found.violations);
  std::cout << text;
  if (!options.write_to.empty()) {
    std::ofstream file(options.write_to);
    file << text;
    if (!file.flush()) return bad(options.write_to + ": can't be written");
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
  if (!size) return bad("--scope " + options.scope + ": wanted: tiny, small, medium or large");
  bool emptied = true, any = false;
  std::size_t states = 0, transitions = 0;
  std::array<std::size_t, static_cast<std::size_t>(Case::count)> cases{};
  for (const Scope& scope : scopes_of(*size)) {
    if (!options.only.empty() && scope.name != options.only) continue;
    any = true;
    const Report report = search(scope, limits_of(options), print_progress);
    std::cout << scope.name << ": " << report.states << " states, " << report.transitions
              << " transitions, depth " << report.depth << ", " << report.settled << " states at rest, "
              << std::fixed << std::setprecision(1) << report.seconds << " s, " << mb(report.memory_bytes)
              << ", "
              << (report.emptied ? "frontier emptied"
                                 : "frontier of " + std::to_string(report.frontier) + " left, stopped by " +
                                       (report.found ? std::string("a violation") : report.stopped))
              << std::endl;
    if (report.found) return tell_found(options, scope.name, *report.found);
    emptied = emptied && report.emptied;
    states += report.states;
    transitions += report.transitions;
    for (std::size_t i = 0; i < cases.size(); ++i) cases[i] += report.cases[i];
  }
  if (!any) return bad("--only " + options.only + ": wanted: the name of a part of this scope");
  if (options.cases) print_cases(cases);
  std::cout << "verdict: no promise broken in " << states << " states and " << transitions << " transitions, "
            << (emptied ? "all there are in this scope" : "NOT all there are in this scope") << "\n";
  return exit_well;
}

int run_walk(const Options& options) {
  const Scope scope = walk_scope();
  const WalkReport report =
      walk(scope, options.walk_steps, options.episode, options.seed, [](const WalkReport& so_far) {
        std::cout << "  ... " << so_far.steps << " steps, " << so_far.queries << " queries" << std::endl;
      });
  std::cout << report.steps << " steps in " << report.episodes << " episodes, " << report.queries
            << " queries, " << std::fixed << std::setprecision(1) << report.seconds << " s, seed "
            << options.seed << "\n";
  if (options.cases) print_cases(report.cases);
  if (!report.found) {
    std::cout << "verdict: no promise broken in " << report.steps << " random steps\n";
    return exit_well;
  }
  std::cout << "broken after " << report.found->history.size() << " moves; making it shorter" << std::endl;
  Found found = *report.found;
  found.history = shrink(scope, found.history, found.violations.front().invariant);
  return tell_found(options, scope.name, found);
}

int run_history(const Options& options) {
  std::ifstream file(options.history);
  if (!file) return bad(options.history + ": can't be read");
  std::ostringstream text;
  text << file.rdbuf();
  const auto parsed = parse_history(text.str());
  if (const auto* problem = std::get_if<std::string>(&parsed)) return bad(options.history + ":" + *problem);
  const auto& history = std::get<History>(parsed);
  if (history.defect != "none" && !core::has_seeded_defects)
    std::cout << "its defect, " << history.defect << ", is not in this build\n";
#ifdef PADDLESTAND_SEEDED_DEFECTS
  for (std::size_t i = 0; i < core::defect_names.size(); ++i)
    if (core::defect_names[i] == history.defect) core::defect_on = static_cast<core::Defect>(i);
#endif
  const Scope scope = *find_scope(history.scope);
  Played played = play(scope, history.moves, true);
  int number = 0;
  for (const std::string& line : played.lines) {
    if (line.starts_with(" ")) {
      std::cout << "     " << line << "\n";
    } else {
      std::cout << std::setw(4) << ++number << "  " << line << "\n";
    }
  }
  if (played.violations.empty()) played.violations = play_out(scope, history.moves).violations;
  for (const InvariantViolation& violation : played.violations)
    std::cout << "broken: " << core::name_of(violation.invariant) << ": " << violation.what << "\n";
  std::cout << played.moves.size() << " of " << history.moves.size() << " moves were possible\n";
  if (!options.as_test.empty()) std::cout << test_of(history, options.as_test);
  std::cout << "verdict: " << (played.violations.empty() ? "no promise broken" : "BROKEN") << "\n";
  return played.violations.empty() ? exit_well : exit_failed;
}

int print_properties() {
  for (std::size_t i = 0; i < static_cast<std::size_t>(Invariant::count); ++i) {
    const auto invariant = static_cast<Invariant>(i);
    std::cout << std::left << std::setw(18) << core::name_of(invariant) << core::sentence_of(invariant)
              << "\n";
  }
  return exit_well;
}

// Each defect, one after the other, through the scopes from small to large until it is found.
int run_defects([[maybe_unused]] const Options& options) {
#ifdef PADDLESTAND_SEEDED_DEFECTS
  std::size_t found = 0, all = 0;
  for (std::size_t i = 1; i < core::defect_names.size(); ++i) {
    if (!options.only.empty() && core::defect_names[i] != options.only) continue;
    core::defect_on = static_cast<core::Defect>(i);
    ++all;
    std::optional<Found> shown;
    std::string where;
    double seconds = 0;
    for (const Scope& scope : defect_scopes()) {
      Report report = search(scope, limits_of(options), {});
      seconds += report.seconds;
      if (!report.found) continue;
      shown = std::move(report.found);
      where = scope.name;
      break;
    }
    found += shown ? 1 : 0;
    std::cout << std::left << std::setw(32) << core::defect_names[i];
    if (shown) {
      std::cout << std::setw(18) << core::name_of(shown->violations.front().invariant) << std::right
                << std::setw(3) << shown->history.size() << " moves, '" << where << "'";
      if (!options.write_to.empty()) {
        const History history{where, std::string(core::defect_names[i]), shown->history};
        std::ofstream(options.write_to + "/" + history.defect + ".history")
            << text_of(history, shown->violations);
      }
      if (!options.as_test.empty())
        std::cout << "\n"
                  << test_of({where, std::string(core::defect_names[i]), shown->history},
                             std::string(core::defect_names[i]));
    } else {
      std::cout << "NOT FOUND";
    }
    std::cout << std::fixed << std::setprecision(1) << ", " << seconds << " s" << std::endl;
  }
  core::defect_on = core::Defect::none;
  std::cout << "verdict: " << found << " of " << all << " seeded defects found\n";
  return found == all ? exit_well : exit_failed;
#else
  std::cerr
      << "paddlestand: this build carries no seeded defects; paddlestand-seeded, which is built with the "
         "tests, does\n";
  return exit_bad_usage;
#endif
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
  explorer->callback([options, &result] {
    if (options->properties) {
      result = print_properties();
    } else if (!options->history.empty()) {
      result = run_history(*options);
    } else if (options->seeded_defects) {
      result = run_defects(*options);
    } else {
      result = options->walk_steps > 0 ? run_walk(*options) : run_search(*options);
    }
  });
}

}  // namespace paddlestand::app

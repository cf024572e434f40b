#include "explore_defects.hpp"

#include <fstream>
#include <iomanip>
#include <iostream>
#include <optional>
#include <utility>

#include "commands.hpp"
#include "core/seeded_defects.hpp"
#include "simulation/explorer/history.hpp"
#include "simulation/explorer/scope.hpp"
#include "simulation/explorer/search.hpp"

namespace paddlestand::app {

using namespace explorer;

void enable_defect([[maybe_unused]] const std::string& name) {
#ifdef PADDLESTAND_SEEDED_DEFECTS
  for (std::size_t i = 0; i < core::defect_names.size(); ++i) {
    if (core::defect_names[i] == name) core::enabled_defect = static_cast<core::Defect>(i);
  }
#endif
}

#ifdef PADDLESTAND_SEEDED_DEFECTS
namespace {

constexpr int defect_column = 32;
constexpr int invariant_column = 18;
constexpr int move_count_column = 3;

struct DefectSearch {
  std::string scope;  // where the defect was found
  std::optional<Counterexample> counterexample;
  double seconds = 0;
};

/// Searches the scopes, cheapest first, until the enabled defect is found.
DefectSearch search_for_defect(const SearchLimits& limits) {
  DefectSearch result;
  for (const Scope& scope : defect_scopes()) {
    SearchReport report = search(scope, limits, {});
    result.seconds += report.seconds;
    if (!report.counterexample) continue;
    result.counterexample = std::move(report.counterexample);
    result.scope = scope.name;
    break;
  }
  return result;
}

void print_defect(const ExploreOptions& options, const std::string& defect, const DefectSearch& search) {
  std::cout << std::left << std::setw(defect_column) << defect;
  if (search.counterexample) {
    const History history{search.scope, defect, search.counterexample->history};
    std::cout << std::setw(invariant_column)
              << core::name_of(search.counterexample->violations.front().invariant) << std::right
              << std::setw(move_count_column) << history.moves.size() << " moves, '" << search.scope << "'";
    if (!options.write_to.empty()) {
      std::ofstream(options.write_to + "/" + defect + ".history")
          << text_of(history, search.counterexample->violations);
    }
    if (!options.as_test.empty()) std::cout << "\n" << test_case_of(history, defect);
  } else {
    std::cout << "NOT FOUND";
  }
  std::cout << std::fixed << std::setprecision(1) << ", " << search.seconds << " s" << std::endl;
}

}  // namespace

int run_defects(const ExploreOptions& options) {
  std::size_t found = 0;
  std::size_t searched = 0;
  for (std::size_t i = 1; i < core::defect_names.size(); ++i) {
    const std::string defect(core::defect_names[i]);
    if (!options.only.empty() && defect != options.only) continue;
    enable_defect(defect);
    const DefectSearch result = search_for_defect(limits_of(options));
    ++searched;
    if (result.counterexample) ++found;
    print_defect(options, defect, result);
  }
  core::enabled_defect = core::Defect::none;
  std::cout << "verdict: " << found << " of " << searched << " seeded defects found\n";
  return found == searched ? exit_success : exit_failure;
}
#else
int run_defects(const ExploreOptions&) {
  std::cerr
      << "paddlestand: this build has no seeded defects; use paddlestand-seeded, which is built with the "
         "tests\n";
  return exit_bad_usage;
}
#endif

}  // namespace paddlestand::app

#include "explore_output.hpp"

#include <fstream>
#include <iomanip>
#include <iostream>

#include "commands.hpp"
#include "core/seeded_defects.hpp"
#include "simulation/explorer/history.hpp"

namespace paddlestand::app {

using namespace explorer;

namespace {

constexpr unsigned megabyte_bits = 20;

std::string megabytes(std::size_t bytes) { return std::to_string(bytes >> megabyte_bits) + " MB"; }

}  // namespace

void print_progress(const SearchReport& report) {
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

void print_report(const std::string& scope, const SearchReport& report) {
  std::cout << scope << ": " << report.states << " states, " << report.transitions << " transitions, depth "
            << report.depth << ", " << report.settled_states << " settled states, " << std::fixed
            << std::setprecision(1) << report.seconds << " s, " << megabytes(report.memory_bytes) << ", ";
  if (report.is_exhausted) {
    std::cout << "frontier empty";
  } else {
    std::cout << "frontier of " << report.frontier << " states, stopped by "
              << (report.counterexample ? std::string("a violation") : report.stopped);
  }
  std::cout << std::endl;
}

void print_moves(const Replay& replay) {
  int number = 0;
  for (const std::string& line : replay.trace) {
    if (line.starts_with(" ")) {
      std::cout << "     " << line << "\n";
    } else {
      ++number;
      std::cout << std::setw(4) << number << "  " << line << "\n";
    }
  }
}

void print_invariants() {
  for (std::size_t i = 0; i < static_cast<std::size_t>(Invariant::count); ++i) {
    const auto invariant = static_cast<Invariant>(i);
    std::cout << std::left << std::setw(18) << core::name_of(invariant) << core::sentence_of(invariant)
              << "\n";
  }
}

int report_violation(const ExploreOptions& options, const std::string& scope,
                     const Counterexample& counterexample) {
  const History history{scope, std::string(core::defect_names[0]), counterexample.history};
  const std::string text = text_of(history, counterexample.violations);
  std::cout << text;
  if (!options.write_to.empty()) {
    std::ofstream file(options.write_to);
    file << text;
    if (!file.flush()) return report_bad_input(options.write_to + ": cannot be written");
    std::cout << "history written to " << options.write_to << "\n";
  }
  if (!options.as_test.empty()) std::cout << test_case_of(history, options.as_test);
  std::cout << "verdict: BROKEN: " << core::name_of(counterexample.violations.front().invariant) << "\n";
  return exit_failure;
}

}  // namespace paddlestand::app

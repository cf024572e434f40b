#include "results_table.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace paddlestand::simulation {
namespace {

constexpr std::size_t max_line_bytes = 200;

/// `sorted`: in ascending order. Zero if it is empty.
double quantile(const std::vector<double>& sorted, double share) {
  if (sorted.empty()) return 0;
  return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

std::string table_line(const std::string& class_name, const ClassResults& results) {
  std::vector<double> served_ms = results.served_ms;
  std::sort(served_ms.begin(), served_ms.end());
  const std::uint64_t lost = results.count(OutcomeKind::lost) + results.count(OutcomeKind::unanswered) +
                             results.count(OutcomeKind::none);
  std::array<char, max_line_bytes> line{};
  std::snprintf(line.data(), line.size(), "%-16s %8lu %8lu %8lu %8lu %8lu %9lu %6lu %6lu %9.1f %9.1f\n",
                class_name.c_str(), results.attempts, results.count(OutcomeKind::served),
                results.count(OutcomeKind::rejected), results.count(OutcomeKind::failed),
                results.count(OutcomeKind::timed_out), results.count(OutcomeKind::cancelled), lost,
                results.count(OutcomeKind::disconnected), quantile(served_ms, 0.5),
                quantile(served_ms, 0.99));
  return line.data();
}

}  // namespace

std::string results_table(const Day& day, const std::vector<ClassResults>& results) {
  std::array<char, max_line_bytes> header{};
  std::snprintf(header.data(), header.size(), "%-16s %8s %8s %8s %8s %8s %9s %6s %6s %9s %9s\n", "class",
                "asked", "served", "refused", "failed", "late", "cancelled", "lost", "gone", "p50 ms",
                "p99 ms");
  std::string table = header.data();
  for (std::size_t i = 0; i < day.classes.size(); ++i) table += table_line(day.classes[i].name, results[i]);
  return table;
}

}  // namespace paddlestand::simulation

#include "day_files.hpp"

#include <array>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "trace_checker/log_words.hpp"

namespace paddlestand::simulation {
namespace listed_state = trace_checker::listed_state;

namespace {

std::string time_text(Duration duration) { return std::to_string(duration.count() / 1000) + "us"; }

const char* flag_text(bool flag) { return flag ? "true" : "false"; }

const char* repeat_text(Idempotency idempotency) {
  switch (idempotency) {
    case Idempotency::idempotent: return "safe";
    case Idempotency::idempotent_with_key: return "keyed";
    case Idempotency::non_idempotent: break;
  }
  return "unsafe";
}

void write_zones(std::ostream& out, const Day& day, std::uint32_t index) {
  if (day.zones.empty()) return;
  out << "<zones names=\"";
  for (const std::string& zone : day.zones) out << zone << " ";
  out << "\" own=\"" << day.zones[index % day.zones.size()] << "\"/>\n";
}

void write_class(std::ostream& out, const DayClass& day_class) {
  out << "<class name=\"" << day_class.name << "\" aim=\"" << time_text(day_class.latency_objective)
      << "\" aim-stretch=\"" << day_class.objective_per_run_time << "\" deadline=\""
      << time_text(day_class.deadline) << "\" worth=\"" << day_class.priority_weight << "\" late-worth=\""
      << day_class.late_answer_weight << "\" threads=\"" << day_class.threads << "\" repeat=\""
      << repeat_text(day_class.idempotency) << "\" key-scope=\"all\" key-window=\""
      << time_text(day_class.idempotency_window) << "\" in-turn=\"" << flag_text(day_class.ordered_by_key)
      << "\" writes-tables=\"" << flag_text(day_class.writes) << "\" waits-for-writers=\"true\"";
  if (!day_class.zones.empty()) {
    out << " zones=\"";
    for (const std::string& zone : day_class.zones) out << zone << " ";
    out << "\"";
  }
  out << "/>\n";
}

void write_classes(std::ostream& out, const Day& day) {
  out << "<classes otherwise=\"" << day.classes.front().name << "\">\n";
  for (const DayClass& day_class : day.classes) write_class(out, day_class);
  out << "</classes>\n";
}

void write_tenants(std::ostream& out, const Day& day) {
  if (day.tenants.empty()) return;
  out << "<tenants>";
  for (const DayTenant& tenant : day.tenants)
    out << "<tenant name=\"" << tenant.name << "\" quota-per-s=\"" << tenant.quota_per_s << "\"/>";
  out << "</tenants>\n";
}

void write_decisions(std::ostream& out, const Day& day, std::uint32_t index) {
  out << "<decisions instances=\"" << day.managers << "\" position=\"" << index << "\" seed=\""
      << day.seed + index << "\" most-attempts=\"" << day.max_attempts << "\" drain-grace=\""
      << time_text(day.drain_grace) << "\" cold-share=\"" << day.slow_start_capacity_share
      << "\" cold-time=\"" << time_text(day.slow_start_duration) << "\" fall-multiple=\""
      << day.overload_multiple << "\" fall-window=\"" << time_text(day.overload_window)
      << "\" order-settle=\"" << time_text(day.ordering_settle_time) << "\" note-period=\""
      << time_text(day.progress_report_period) << "\" budget-floor=\"" << day.budget.floor
      << "\" budget-share=\"" << day.budget.share << "\" budget-window=\"" << time_text(day.budget.window)
      << "\"/>\n";
}

}  // namespace

std::string engine_name(std::uint32_t index) { return "e" + std::to_string(index + 1); }

std::string manager_name(std::uint32_t index) { return "m" + std::to_string(index + 1); }

std::string_view name_of(ListedState state) {
  static constexpr std::array<std::string_view, 3> names{listed_state::ready, listed_state::draining,
                                                         listed_state::removed};
  return names[static_cast<std::size_t>(state)];
}

std::string manager_configuration(const Day& day, std::uint32_t index, std::uint16_t port) {
  std::ostringstream out;
  out << "<manager xmlns=\"urn:paddlestand:manager:1\" name=\"" << manager_name(index) << "\">\n"
      << "<listen port=\"" << port << "\"/>\n"
      << "<kinds><kind name=\"std\" cores=\"" << day.cores << "\" memory-mb=\"" << day.memory_mb
      << "\"/></kinds>\n";
  write_zones(out, day, index);
  write_classes(out, day);
  write_tenants(out, day);
  write_decisions(out, day, index);
  out << "<engines file=\"" << engine_list_file << "\" poll=\"" << time_text(day.list_poll) << "\"/>\n"
      << "<log file=\"" << manager_name(index) << ".log\"/>\n"
      << "<leave grace=\"2s\"/>\n</manager>\n";
  return out.str();
}

std::string engine_list(const Day& day, const std::vector<ListedEngine>& engines) {
  std::ostringstream out;
  out << "<engines xmlns=\"urn:paddlestand:manager:1\">\n";
  for (std::uint32_t index = 0; index < engines.size(); ++index) {
    const ListedEngine& engine = engines[index];
    if (engine.state == ListedState::removed || engine.port == 0) continue;
    out << "<engine id=\"" << index + 1 << "\" name=\"" << engine_name(index)
        << "\" address=\"127.0.0.1\" port=\"" << engine.port << "\" kind=\"std\" state=\""
        << name_of(engine.state) << "\"";
    if (!day.zones.empty()) out << " zone=\"" << day.zone_of(index) << "\"";
    if (engine.started > 0) out << " started=\"" << std::fixed << engine.started << "\"" << std::defaultfloat;
    out << "/>\n";
  }
  out << "</engines>\n";
  return out.str();
}

void replace_file(const std::string& path, const std::string& text) {
  const std::string replacement = path + ".new";
  std::ofstream(replacement) << text;
  if (std::rename(replacement.c_str(), path.c_str()) != 0)
    throw std::runtime_error(path + ": cannot be written");
}

}  // namespace paddlestand::simulation

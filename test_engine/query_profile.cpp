#include "query_profile.hpp"

#include <charconv>

#include "protocol/sql/scan.hpp"
#include "protocol/sql/tags.hpp"

namespace paddlestand::test_engine {

namespace {

constexpr double default_read_share = 0.3;
constexpr double default_work_ms = 1;

}  // namespace

double parse_number(const std::string& text, double fallback) {
  double value = fallback;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

std::string QueryProfile::tag(const std::string& name) const {
  const auto found = tags.find(name);
  return found == tags.end() ? "" : found->second;
}

double QueryProfile::number_tag(const std::string& name, double fallback) const {
  return parse_number(tag(name), fallback);
}

QueryProfile read_profile(std::string_view statement) {
  QueryProfile profile;
  for (const std::string_view comment : sql::scan(statement).comments) {
    for (const auto& [name, value] : sql::read_tags(comment)) profile.tags[name] = value;
  }
  profile.id = profile.tag("sim_id");
  profile.job.work = profile.number_tag("sim_work_ms", default_work_ms) / 1000;
  profile.job.threads = profile.number_tag("sim_threads", 1);
  profile.job.memory_mb = profile.number_tag("sim_memory_mb", 0);
  profile.job.read_share = profile.number_tag("sim_reads", default_read_share);
  profile.job.writes = profile.number_tag("sim_write", 0) > 0;
  profile.job.waits_for_writers = true;
  profile.job.tables = static_cast<std::uint64_t>(profile.number_tag("tables", 0));
  profile.rows = static_cast<std::size_t>(profile.number_tag("sim_rows", 1));
  profile.row_bytes = static_cast<std::size_t>(profile.number_tag("sim_row_bytes", 8));
  return profile;
}

}  // namespace paddlestand::test_engine

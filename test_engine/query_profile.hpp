/// The cost of a query on a test engine, given by tags in its statement.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "simulation/engine_model/engine_model.hpp"

namespace paddlestand::test_engine {

/// Parses the number at the start of `text`. Returns `fallback` if there is none.
double parse_number(const std::string& text, double fallback);

/// The cost of a query and the size of its answer.
struct QueryProfile {
  std::string id;  ///< sim_id
  simulation::Job job;  ///< without the id, and the priority and memory grant of the session
  std::size_t rows = 1;
  std::size_t row_bytes = 8;
  std::map<std::string, std::string> tags;  ///< all tags of the statement, by name

  /// Returns the value of a tag, or an empty string if the statement has no such tag.
  [[nodiscard]] std::string tag(const std::string& name) const;
  /// Returns the value of a tag as a number, or `fallback` if it is missing or not a number.
  [[nodiscard]] double number_tag(const std::string& name, double fallback) const;
};

/// Reads the tags in the comments of a statement: sim_id, sim_work_ms, sim_threads, sim_memory_mb, sim_rows,
/// sim_row_bytes, sim_write, sim_reads and `tables`. Missing tags have defaults.
QueryProfile read_profile(std::string_view statement);

}  // namespace paddlestand::test_engine

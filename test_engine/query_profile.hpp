/// What a query costs on a test engine, as its own tags say.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "simulation/engine_model/engine_model.hpp"

namespace paddlestand::test_engine {

/// Parses the number at the start of `text`; `fallback` where there is none.
double parse_number(const std::string& text, double fallback);

/// A query's cost, from the tags of its statement. Sizes in bytes and MB as named.
struct QueryProfile {
  std::string id;  ///< sim_id
  simulation::Job job;  ///< without its id and the session's terms
  std::size_t rows = 1;
  std::size_t row_bytes = 8;
  std::map<std::string, std::string> tags;  ///< all of the statement's

  /// The tag's value; empty where there is none.
  [[nodiscard]] std::string tag(const std::string& name) const;
  /// The tag's value as a number; `fallback` where it is none.
  [[nodiscard]] double number_tag(const std::string& name, double fallback) const;
};

/// Reads the tags in the comments of a statement: sim_id, sim_work_ms, sim_threads, sim_memory_mb, sim_rows,
/// sim_row_bytes, sim_write, sim_reads, and `tables`. Missing ones have defaults.
QueryProfile read_profile(std::string_view statement);

}  // namespace paddlestand::test_engine

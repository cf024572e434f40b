/// The ground truth of a test engine: what became of each query, one JSON object a line.
#pragma once

#include <cstdint>
#include <cstdio>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "trace_checker/log_words.hpp"

namespace paddlestand::test_engine {

namespace log_event = trace_checker::log_event;

/// The clock of all logs on one machine: monotonic, in nanoseconds.
std::int64_t shared_clock();
/// The same in seconds.
double shared_clock_s();

/// Owns the log's file. Belongs to one thread.
class TruthLog {
 public:
  /// Appends to `path`; an empty path, or one that can't be opened, writes nothing.
  TruthLog(std::string engine, const std::string& path);

  /// `event` is one of log_event; `id` the query's sim_id, or empty. Flushes each line, so that it survives
  /// a killed process.
  void write(std::string_view event, const std::string& id);
  /// Adds the members of `more`, an object, to the line.
  void write(std::string_view event, const std::string& id, const nlohmann::json& more);

 private:
  struct CloseFile {
    void operator()(std::FILE* file) const { std::fclose(file); }
  };

  std::string engine_;
  std::unique_ptr<std::FILE, CloseFile> file_;
};

}  // namespace paddlestand::test_engine

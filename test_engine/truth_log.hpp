/// The ground-truth log of a test engine: the events of each query, one JSON object per line.
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

/// Monotonic clock that all logs on one machine share, in nanoseconds.
std::int64_t shared_clock_ns();
/// The same clock in seconds.
double shared_clock_s();

/// Owns the log file. Not thread-safe.
class TruthLog {
 public:
  /// Appends to `path`. Writes nothing if the path is empty or the file cannot be opened.
  TruthLog(std::string engine, const std::string& path);

  /// `event` is a value of log_event; `id` is the sim_id of the query, or empty. Flushes each line, so that
  /// no line is lost if the process is killed.
  void write(std::string_view event, const std::string& id);
  /// As above, with the members of the JSON object `members` added to the line.
  void write(std::string_view event, const std::string& id, const nlohmann::json& members);

 private:
  struct CloseFile {
    void operator()(std::FILE* file) const { std::fclose(file); }
  };

  std::string engine_;
  std::unique_ptr<std::FILE, CloseFile> file_;
};

}  // namespace paddlestand::test_engine

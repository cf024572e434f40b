/// The records of a day, put together by attempt, engine and manager. For the trace checker's own use.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "trace_checker.hpp"

namespace paddlestand::trace_checker {

/// The time of what has not happened by the end of the logs.
inline constexpr std::int64_t never = std::numeric_limits<std::int64_t>::max();

/// What an engine did with a client's attempt that a manager sent to it. Times as in Record::t.
struct EngineRun {
  std::string engine;
  std::int64_t received = 0;
  std::int64_t ended = never;
  bool was_started = false;
  bool was_applied = false;  ///< executed to its end
};

/// A client's attempt at a manager.
struct ClientAttempt {
  Record request;  ///< empty where engines saw what no client has sent
  std::optional<Record> answer;  ///< the last one
  std::size_t answers = 0;
  std::size_t surplus_messages = 0;  ///< after the final answer
  std::vector<EngineRun> runs;  ///< in order of receipt
  std::vector<const Record*> history;

  [[nodiscard]] bool was_sent() const { return !request.what.empty(); }
};

/// By manager: times as in Record::t.
using TimesByManager = std::map<std::string, std::vector<std::int64_t>>;

/// All records of a day, and views of them. Moving it leaves the views valid; copying would not.
struct Trace {
  std::vector<Record> records;  ///< in order of time
  std::map<std::string, ClientAttempt> attempts;  ///< by id
  std::map<std::int64_t, std::vector<std::string>> attempts_of_request;  ///< ids, in order of time
  std::map<std::string, std::vector<const Record*>> listings;  ///< by engine
  TimesByManager killed;
  TimesByManager shut_down;
  TimesByManager retries;  ///< engine attempts after the first one
  std::vector<const Record*> crashes;  ///< of engines, under load
  std::size_t engine_attempts = 0;
  std::map<std::string, std::map<std::string, std::size_t>> answers;  ///< by class and kind

  [[nodiscard]] std::int64_t start() const { return records.empty() ? 0 : records.front().t; }
};

/// `records` may be in any order.
[[nodiscard]] Trace build_trace(std::vector<Record> records);

}  // namespace paddlestand::trace_checker

/// The records of a day, grouped by attempt, engine and manager. Internal to the trace checker.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "trace_checker.hpp"

namespace paddlestand::trace_checker {

/// The time of an event that is not in the logs.
inline constexpr std::int64_t never = std::numeric_limits<std::int64_t>::max();

/// The execution of a client's attempt on an engine to which a manager sent it. Times as in Record::time_ns.
struct EngineRun {
  std::string engine;
  std::int64_t received_ns = 0;
  std::int64_t ended_ns = never;
  bool was_started = false;
  bool was_applied = false;  ///< executed completely
};

/// A query that a client sent to a manager; a retry by the client is another attempt.
struct ClientAttempt {
  Record request;  ///< empty if an engine received the attempt but no client sent it
  std::optional<Record> answer;  ///< the last one
  std::size_t answers = 0;
  std::size_t surplus_messages = 0;  ///< after the final answer
  std::vector<EngineRun> runs;  ///< in the order in which engines received them
  std::vector<const Record*> history;

  [[nodiscard]] bool was_sent() const { return !request.event.empty(); }
};

/// Times as in Record::time_ns, by manager.
using TimesByManager = std::map<std::string, std::vector<std::int64_t>>;

/// All records of a day, and indexes with pointers to them. Moving a Trace keeps the pointers valid; copying
/// it would not.
struct Trace {
  std::vector<Record> records;  ///< in order of time
  std::map<std::string, ClientAttempt> attempts;  ///< by id
  std::map<std::int64_t, std::vector<std::string>> attempts_of_request;  ///< ids, in order of time
  std::map<std::string, std::vector<const Record*>> listings;  ///< by engine
  TimesByManager killed;
  TimesByManager shut_down;
  TimesByManager retries;  ///< attempts at engines after the first one
  std::vector<const Record*> crashes;  ///< of engines, by overload during slow start
  std::size_t engine_attempts = 0;
  std::map<std::string, std::map<std::string, std::size_t>> answers;  ///< count by class and kind

  [[nodiscard]] std::int64_t start_ns() const { return records.empty() ? 0 : records.front().time_ns; }
};

/// `records` may be in any order.
[[nodiscard]] Trace build_trace(std::vector<Record> records);

}  // namespace paddlestand::trace_checker

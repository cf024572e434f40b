/// Checks a day against seven rules. Uses only the logs of clients, test engines and the scenario runner, not
/// those of the managers under test.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace paddlestand::trace_checker {

/// One line of a log. Which members are set depends on `event`.
struct Record {
  std::int64_t time_ns = 0;  ///< on the clock that all logs share
  std::string event;  ///< a value of log_event (log_words.hpp)
  std::string attempt_id;  ///< of a client's attempt
  std::string class_name;
  std::string key;
  std::string manager;
  std::string engine;
  std::string kind;  ///< of an answer: a value of answer_kind
  std::string state;  ///< of an engine in the engine list: a value of listed_state
  std::int64_t request_number = 0;  ///< of the request that the attempt belongs to; 0: none
  double client_timeout_ms = 0;
  bool is_retry_safe = false;  ///< according to the answer
};

/// The properties of a query class that the rules depend on.
struct ClassParameters {
  bool idempotent = false;
  bool idempotent_with_key = false;  ///< if neither is set: not idempotent
  double idempotency_window_s = 0;
  bool ordered_by_key = false;
  std::vector<std::string> zones;  ///< empty: any
};

/// The properties of the checked day that the rules depend on.
struct DayParameters {
  std::map<std::string, ClassParameters> classes;  ///< by name
  std::map<std::string, std::string> engine_zones;  ///< by engine
  double drain_grace_s = 0.25;
  double list_poll_s = 0.05;
  double slack_s = 0.1;  ///< tolerated lateness of answers and drains
  double max_observation_skew_s = 0.05;  ///< between the observations of one connection by two processes
  double budget_floor = 0;
  double budget_share = 0;
  double budget_window_s = 0;  ///< 0: no retry budget
};

/// A violation of a rule, with the events that led to it.
struct RuleViolation {
  int rule = 0;  ///< 1 to 7
  std::string description;  ///< one line of text
  std::vector<std::string>
      history;  ///< of the attempt, one event per line; empty if the rule concerns no attempt
};

/// The result of a check: the violations and the number of checked requests and attempts.
struct Verdict {
  std::vector<RuleViolation> violations;  ///< the first violations of each rule
  std::map<int, std::size_t> by_rule;  ///< number of violations by rule; empty: no violation
  std::size_t requests = 0;
  std::size_t client_attempts = 0;  ///< from clients to managers
  std::size_t engine_attempts = 0;  ///< from managers to engines
  std::map<std::string, std::map<std::string, std::size_t>> answers;  ///< count by class and kind
};

/// `records` may be in any order.
[[nodiscard]] Verdict check(const DayParameters& parameters, std::vector<Record> records);

/// Reads all *.jsonl files of a folder. Skips malformed lines and appends a message with the file and line
/// number of each to `problems`.
[[nodiscard]] std::vector<Record> read_logs(const std::string& folder, std::vector<std::string>& problems);

/// Returns a summary in one line.
[[nodiscard]] std::string summary(const Verdict& verdict);
/// Returns the verdict as a JSON object.
[[nodiscard]] std::string report_json(const Verdict& verdict);

}  // namespace paddlestand::trace_checker

/// Checks the seven rules for a day from what its clients saw and its engines logged, never from a manager's
/// own account.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace paddlestand::trace_checker {

/// One line of a log. Which members are set depends on `what`.
struct Record {
  std::int64_t t = 0;  ///< nanoseconds, of one clock for all logs
  std::string what;  ///< the event, as in log_event (log_words.hpp)
  std::string id;  ///< of a client's attempt
  std::string class_name;
  std::string key;
  std::string manager;
  std::string engine;
  std::string kind;  ///< of an answer, as in answer_kind
  std::string state;  ///< of an engine in the list, as in listed_state
  std::int64_t request = 0;  ///< the number of the request that the attempt belongs to; zero: none
  double client_timeout_ms = 0;
  bool is_retry_safe = false;  ///< as the answer said
};

/// What the rules depend on, of one class of requests.
struct ClassParameters {
  bool idempotent = false;
  bool idempotent_with_key = false;  ///< neither: not idempotent
  double idempotency_window_s = 0;
  bool ordered_by_key = false;
  std::vector<std::string> zones;  ///< empty: any
};

/// What the rules depend on, of the day that is checked.
struct DayParameters {
  std::map<std::string, ClassParameters> classes;  ///< by name
  std::map<std::string, std::string> engine_zones;  ///< by engine
  double drain_grace_s = 0.25;
  double list_poll_s = 0.05;
  double slack_s = 0.1;  ///< that answers and drains may be late
  double max_observation_skew_s = 0.05;  ///< between what two processes see of one connection
  double budget_floor = 0;
  double budget_share = 0;
  double budget_window_s = 0;  ///< zero: there is no retry budget
};

/// One violation, with what is needed to understand it.
struct RuleViolation {
  int rule = 0;  ///< 1 to 7
  std::string what;  ///< one line for a reader
  std::vector<std::string>
      history;  ///< of the attempt, one event a line; empty: the rule concerns no attempt
};

/// The result of a check: what was violated, and how much was looked at.
struct Verdict {
  std::vector<RuleViolation> violations;  ///< the first ones of each rule
  std::map<int, std::size_t> by_rule;  ///< how many of each rule; empty: none
  std::size_t requests = 0;
  std::size_t client_attempts = 0;  ///< by clients at managers
  std::size_t engine_attempts = 0;  ///< by managers at engines
  std::map<std::string, std::map<std::string, std::size_t>> answers;  ///< by class and kind
};

/// `records` may be in any order.
[[nodiscard]] Verdict check(const DayParameters& parameters, std::vector<Record> records);

/// Reads all *.jsonl files of a folder. Lines that can't be read are reported in `problems` by file and
/// number, and skipped.
[[nodiscard]] std::vector<Record> read_logs(const std::string& folder, std::vector<std::string>& problems);

/// One line for the console.
[[nodiscard]] std::string summary(const Verdict& verdict);
/// The whole verdict as a JSON object.
[[nodiscard]] std::string report_json(const Verdict& verdict);

}  // namespace paddlestand::trace_checker

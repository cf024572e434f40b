// The judge of the seven rules, from what clients saw and what engines logged, never from a manager's own
// account.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace paddlestand::trace_checker {

struct Record {  // a line of a log
  std::int64_t t = 0;  // ns, one clock for all logs
  std::string what, id, class_name, key, manager, engine, kind, state;
  std::int64_t request = 0;
  double client_timeout_ms = 0;
  bool harmless = false;
};

struct ClassFigures {
  bool safe = false, keyed = false;  // neither: unsafe
  double key_window_s = 0;
  bool ordered_by_key = false;
  std::vector<std::string> zones;  // empty: any
};

struct Figures {  // of the day that is judged
  std::map<std::string, ClassFigures> classes;
  std::map<std::string, std::string> zones;  // of engines
  double drain_grace_s = 0.25, list_poll_s = 0.05, slack_s = 0.1;
  double seen_apart_s = 0.05;  // two processes see the ends of one connection so far apart
  double budget_floor = 0, budget_share = 0, budget_window_s = 0;  // window zero: no such rule
};

struct RuleViolation {
  int rule = 0;  // 1 to 7, as the README of the rules counts them
  std::string what;
  std::vector<std::string> history;  // of the query
};

struct Verdict {
  std::vector<RuleViolation> violations;
  std::map<int, std::size_t> by_rule;
  std::size_t requests = 0, tries = 0, attempts = 0;
  std::map<std::string, std::map<std::string, std::size_t>> answers;  // by class and kind
};

// Logs in any order. Histories are kept for the first breaches of each rule.
Verdict judge(const Figures& figures, std::vector<Record> records);

// Reads all *.jsonl of a folder. What is wrong with a line is told by file and line; others count.
std::vector<Record> read_logs(const std::string& folder, std::vector<std::string>& problems);

std::string summary(const Verdict& verdict);
std::string report_json(const Verdict& verdict);

}  // namespace paddlestand::trace_checker

// What a request is, from what a client told of it: tags first, then the rules of the configuration, then the
// class of what nothing speaks of. Free of I/O and of any protocol; the same for every front door.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "types.hpp"

namespace paddlestand::core {

// All that is given must match; the first rule that does decides.
struct ClassRule {
  std::string user, database, application;  // empty: any
  std::string statement;  // a regular expression sought in the statement's first part; empty: any
  std::string class_name;  // empty: this rule names none
  std::string tenant;
};

struct ClassifierSettings {
  std::vector<ClassRule> rules;
  std::string class_otherwise;
  std::string tenant_otherwise;  // empty: none
  Duration max_client_timeout = std::chrono::hours(1);
  Duration most_cost = std::chrono::hours(24);
  double most_memory_mb = 16.0 * 1024 * 1024;
  bool refuse_unknown_tags = false;
};

struct RequestFacts {
  std::string_view user, database, application, statement;
  std::vector<std::pair<std::string, std::string>> tags;
  std::optional<Duration> timeout;  // the session's own
};

struct Problem {
  std::string text;
};

class Classifier {
 public:
  // What is wrong with the rules, if anything, is in problem(); it classes nothing then.
  Classifier(ClassifierSettings settings, const Settings& module);
  ~Classifier();
  Classifier(Classifier&&) noexcept;
  Classifier& operator=(Classifier&&) noexcept;

  [[nodiscard]] const std::string& problem() const { return problem_; }

  // All but the session's and the query's ids, or what the client got wrong.
  [[nodiscard]] std::variant<QueryArrived, Problem> classify(const RequestFacts& facts) const;

 private:
  struct Rule;

  ClassifierSettings settings_;
  std::vector<std::string> classes_, tenants_;
  std::vector<Duration> deadlines_;
  std::vector<Rule> rules_;
  std::string problem_;
};

// Order keys and table groups are told as text and go on as numbers; a key is never zero.
std::uint64_t key_of(std::string_view text);

}  // namespace paddlestand::core

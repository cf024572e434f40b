/// Classifies requests by what a client sent with them: first its tags, then the rules of the configuration,
/// then the default class and tenant. No I/O and no protocol: the same for every front end.
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

/// A rule matches where all of its conditions do; the first rule that matches decides.
struct ClassRule {
  std::string user, database, application;  ///< empty: any
  std::string statement;  ///< a regular expression searched for in the statement's first part; empty: any
  std::string class_name;  ///< empty: the rule sets none
  std::string tenant;  ///< empty: the rule sets none
};

struct ClassifierSettings {
  std::vector<ClassRule> rules;
  std::string class_otherwise;  ///< of requests that neither tags nor rules classify
  std::string tenant_otherwise;  ///< likewise; empty: none
  Duration max_client_timeout = std::chrono::hours(1);
  Duration max_cost = std::chrono::hours(24);
  double max_memory_mb = 16.0 * 1024 * 1024;
  bool refuse_unknown_tags = false;
};

/// What is known of a request before it is classified.
struct RequestFacts {
  std::string_view user, database, application, statement;
  std::vector<std::pair<std::string, std::string>> tags;
  std::optional<Duration> timeout;  ///< of the session
};

/// What the client got wrong, in a text for it.
struct Problem {
  std::string text;
};

/// Why a classifier can't be used: its settings name a class or tenant that does not exist, or hold a pattern
/// that is no regular expression.
struct ClassifierError {
  enum class Kind : std::uint8_t {
    unknown_default_class,
    unknown_default_tenant,
    unknown_rule_class,
    unknown_rule_tenant,
    invalid_pattern,
  };

  Kind kind{};
  std::string value;  ///< the name or pattern at fault
  std::vector<std::string> known_names;  ///< classes or tenants that exist; empty for a pattern
  std::string pattern_error;  ///< what the regular expression's compiler reports; empty for a name

  /// The error in a sentence for operators.
  [[nodiscard]] std::string text() const;
};

class Classifier {
 public:
  /// Errors in the settings are reported by error(); such a classifier must not be used.
  Classifier(ClassifierSettings settings, const Settings& module);
  ~Classifier();
  Classifier(Classifier&&) noexcept;
  Classifier& operator=(Classifier&&) noexcept;

  /// The first error in the settings, if any.
  [[nodiscard]] const std::optional<ClassifierError>& error() const { return error_; }

  /// The request without the ids of its session and query, or what the client got wrong.
  [[nodiscard]] std::variant<QueryArrived, Problem> classify(const RequestFacts& facts) const;

 private:
  struct Rule;
  class TagParser;

  void add_rule(const ClassRule& settings);
  /// Keeps the first error.
  void report(ClassifierError error);
  /// Sets what the tags left open from the first rule that matches.
  void apply_rules(const RequestFacts& facts, TagParser& tags) const;

  ClassifierSettings settings_;
  std::vector<std::string> classes_, tenants_;
  std::vector<Duration> deadlines_;  // by class
  std::vector<Rule> rules_;
  std::optional<ClassifierError> error_;
};

/// The number of an ordering key or table group that is given as text; never zero. Stable over builds and
/// machines.
[[nodiscard]] std::uint64_t key_of(std::string_view text);

}  // namespace paddlestand::core

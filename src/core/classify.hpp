/// Assigns a class and a tenant to each request: from its tags, else from the first matching rule of the
/// configuration, else the defaults. Independent of I/O and of the protocol, and shared by all front ends.
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

/// A rule matches if all of its conditions match. The first matching rule applies.
struct ClassRule {
  std::string user, database, application;  ///< empty: any
  std::string statement;  ///< regular expression, searched for in the first 4096 bytes; empty: any
  std::string class_name;  ///< empty: the rule sets no class
  std::string tenant;  ///< empty: the rule sets no tenant
};

struct ClassifierSettings {
  std::vector<ClassRule> rules;
  std::string default_class;  ///< for requests that neither tags nor rules classify
  std::string default_tenant;  ///< for requests that neither tags nor rules assign to a tenant; empty: none
  Duration max_client_timeout = std::chrono::hours(1);
  Duration max_cost = std::chrono::hours(24);
  double max_memory_mb = 16.0 * 1024 * 1024;
  bool reject_unknown_tags = false;
};

/// The input of the classification of one request.
struct RequestFacts {
  std::string_view user, database, application, statement;
  std::vector<std::pair<std::string, std::string>> tags;
  std::optional<Duration> timeout;  ///< set for the session
};

/// An error in a request's tags, with a message for the client.
struct TagError {
  std::string text;
};

/// An error in the settings of a classifier: they name a class or tenant that does not exist, or contain an
/// invalid regular expression.
struct ClassifierError {
  enum class Kind : std::uint8_t {
    unknown_default_class,
    unknown_default_tenant,
    unknown_rule_class,
    unknown_rule_tenant,
    invalid_pattern,
  };

  Kind kind{};
  std::string value;  ///< the invalid name or pattern
  std::vector<std::string> known_names;  ///< existing classes or tenants; empty for a pattern
  std::string pattern_error;  ///< message of the regular expression compiler; empty for a name

  /// The error message for operators.
  [[nodiscard]] std::string text() const;
};

class Classifier {
 public:
  /// A classifier with invalid settings must not be used; see error().
  Classifier(ClassifierSettings settings, const Settings& module);
  ~Classifier();
  Classifier(Classifier&&) noexcept;
  Classifier& operator=(Classifier&&) noexcept;

  /// The first error in the settings, if any.
  [[nodiscard]] const std::optional<ClassifierError>& error() const { return error_; }

  /// Returns the request without the ids of its session and query, or an error in its tags.
  [[nodiscard]] std::variant<QueryArrived, TagError> classify(const RequestFacts& facts) const;

 private:
  struct Rule;
  class TagParser;

  void add_rule(const ClassRule& settings);
  /// Records the error if it is the first.
  void report(ClassifierError error);
  /// Sets the class and the tenant, where the tags do not, from the first matching rule.
  void apply_rules(const RequestFacts& facts, TagParser& tags) const;

  ClassifierSettings settings_;
  std::vector<std::string> classes_, tenants_;
  std::vector<Duration> deadlines_;  // indexed by class
  std::vector<Rule> rules_;
  std::optional<ClassifierError> error_;
};

/// Hashes the text of an ordering key or table group to a non-zero number (FNV-1a). The result is the same in
/// every build and on every machine.
[[nodiscard]] std::uint64_t key_of(std::string_view text);

}  // namespace paddlestand::core

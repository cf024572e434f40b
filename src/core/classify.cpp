#include "classify.hpp"

#include <algorithm>
#include <array>
#include <boost/regex.hpp>
#include <charconv>
#include <cmath>

namespace paddlestand::core {
namespace {

constexpr std::size_t max_searched_bytes = 4096;  // of a statement, searched by a rule's pattern
constexpr std::size_t max_quoted_tag_bytes = 64;  // of an unknown tag's name, in the message to the client
constexpr unsigned table_group_shift = 12;  // `tables` is a double, which represents 52-bit integers exactly
constexpr double nanoseconds_per_millisecond = 1e6;

std::optional<double> parse_number(std::string_view text) {
  double value = 0;
  const char* const text_end = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), text_end, value);
  if (error != std::errc{} || end != text_end || !std::isfinite(value)) return std::nullopt;
  return value;
}

std::optional<Duration> parse_milliseconds(std::string_view text, Duration max) {
  const auto value = parse_number(text);
  if (!value || *value < 0) return std::nullopt;
  const double nanoseconds = *value * nanoseconds_per_millisecond;
  if (nanoseconds > static_cast<double>(max.count())) return std::nullopt;
  return Duration{std::llround(nanoseconds)};
}

std::optional<std::uint32_t> index_of(const std::vector<std::string>& names, std::string_view name) {
  const auto found = std::find(names.begin(), names.end(), name);
  if (found == names.end()) return std::nullopt;
  return static_cast<std::uint32_t>(found - names.begin());
}

std::string joined(const std::vector<std::string>& names) {
  std::string out;
  for (const std::string& name : names) out += (out.empty() ? "" : ", ") + name;
  return out;
}

}  // namespace

std::uint64_t key_of(std::string_view text) {
  constexpr std::uint64_t fnv1a_offset_basis = 0xcbf29ce484222325U;
  constexpr std::uint64_t fnv1a_prime = 0x100000001b3U;
  std::uint64_t hash = fnv1a_offset_basis;
  for (const char byte : text) hash = (hash ^ static_cast<std::uint8_t>(byte)) * fnv1a_prime;
  return hash == 0 ? 1 : hash;
}

std::string ClassifierError::text() const {
  switch (kind) {
    case Kind::unknown_default_class:
      return "unknown default class '" + value + "'; expected one of: " + joined(known_names);
    case Kind::unknown_default_tenant:
      return "unknown default tenant '" + value + "'; expected one of: " + joined(known_names);
    case Kind::unknown_rule_class:
      return "a rule names class '" + value + "'; expected one of: " + joined(known_names);
    case Kind::unknown_rule_tenant:
      return "a rule names tenant '" + value + "'; expected one of: " + joined(known_names);
    case Kind::invalid_pattern: return "invalid regular expression '" + value + "': " + pattern_error;
  }
  return {};
}

// ---- Rules ----

struct Classifier::Rule {
  ClassRule settings;
  std::optional<std::uint32_t> class_index, tenant;
  std::optional<boost::regex> pattern;

  [[nodiscard]] bool matches(const RequestFacts& facts) const {
    if (!settings.user.empty() && settings.user != facts.user) return false;
    if (!settings.database.empty() && settings.database != facts.database) return false;
    if (!settings.application.empty() && settings.application != facts.application) return false;
    if (!pattern) return true;
    const std::string_view text = facts.statement.substr(0, max_searched_bytes);
    try {
      return boost::regex_search(text.begin(), text.end(), *pattern);
    } catch (const std::runtime_error&) {
      return false;  // the search exceeded the step limit of the regular expression library
    }
  }
};

Classifier::~Classifier() = default;
Classifier::Classifier(Classifier&&) noexcept = default;
Classifier& Classifier::operator=(Classifier&&) noexcept = default;

Classifier::Classifier(ClassifierSettings settings, const Settings& module) : settings_(std::move(settings)) {
  for (const ClassSettings& one : module.classes) {
    classes_.push_back(one.name);
    deadlines_.push_back(one.deadline);
  }
  for (const TenantSettings& one : module.tenants) tenants_.push_back(one.name);
  if (!index_of(classes_, settings_.default_class))
    report({ClassifierError::Kind::unknown_default_class, settings_.default_class, classes_, {}});
  if (!settings_.default_tenant.empty() && !index_of(tenants_, settings_.default_tenant))
    report({ClassifierError::Kind::unknown_default_tenant, settings_.default_tenant, tenants_, {}});
  for (const ClassRule& rule : settings_.rules) add_rule(rule);
}

void Classifier::add_rule(const ClassRule& settings) {
  Rule rule{settings, index_of(classes_, settings.class_name), index_of(tenants_, settings.tenant), {}};
  if (!settings.class_name.empty() && !rule.class_index)
    report({ClassifierError::Kind::unknown_rule_class, settings.class_name, classes_, {}});
  if (!settings.tenant.empty() && !rule.tenant)
    report({ClassifierError::Kind::unknown_rule_tenant, settings.tenant, tenants_, {}});
  if (!settings.statement.empty()) {
    try {
      rule.pattern.emplace(settings.statement, boost::regex::perl | boost::regex::icase);
    } catch (const boost::regex_error& error) {
      report({ClassifierError::Kind::invalid_pattern, settings.statement, {}, error.what()});
    }
  }
  rules_.push_back(std::move(rule));
}

void Classifier::report(ClassifierError error) {
  if (!error_) error_ = std::move(error);
}

// ---- Tags ----

/// Parses the tags of one request.
class Classifier::TagParser {
 public:
  explicit TagParser(const Classifier& classifier) : classifier_(classifier) {}

  /// Parses one tag. Returns an error, if any.
  std::optional<TagError> parse(const std::string& name, const std::string& value) {
    struct Tag {
      std::string_view name;
      std::optional<TagError> (TagParser::*parse)(const std::string& value);
    };
    static constexpr std::array<Tag, 8> tags{{{"class", &TagParser::parse_class},
                                              {"tenant", &TagParser::parse_tenant},
                                              {"cost_ms", &TagParser::parse_cost},
                                              {"deadline_ms", &TagParser::parse_deadline},
                                              {"memory_mb", &TagParser::parse_memory},
                                              {"key", &TagParser::parse_key},
                                              {"tables", &TagParser::parse_tables},
                                              {"repeat", &TagParser::parse_repeat}}};
    const auto* tag =
        std::find_if(tags.begin(), tags.end(), [&](const Tag& one) { return one.name == name; });
    if (tag != tags.end()) return (this->*tag->parse)(value);
    if (!classifier_.settings_.reject_unknown_tags) return std::nullopt;
    return TagError{
        "unknown tag '" + name.substr(0, max_quoted_tag_bytes) +
        "'; expected one of: class, tenant, cost_ms, deadline_ms, memory_mb, key, tables, repeat"};
  }

  QueryArrived query;  ///< without class, tenant and timeout
  std::optional<std::uint32_t> class_index, tenant;
  std::optional<Duration> client_timeout;

 private:
  std::optional<TagError> parse_class(const std::string& value) {
    class_index = index_of(classifier_.classes_, value);
    if (class_index) return std::nullopt;
    return TagError{"unknown class '" + value + "'; expected one of: " + joined(classifier_.classes_)};
  }
  std::optional<TagError> parse_tenant(const std::string& value) {
    tenant = index_of(classifier_.tenants_, value);
    if (tenant) return std::nullopt;
    return TagError{"unknown tenant '" + value + "'; expected one of: " + joined(classifier_.tenants_)};
  }
  std::optional<TagError> parse_cost(const std::string& value) {
    query.estimated_cost = parse_milliseconds(value, classifier_.settings_.max_cost);
    if (query.estimated_cost) return std::nullopt;
    return TagError{"cost_ms='" + value + "'; expected milliseconds from 0 to 24 h"};
  }
  std::optional<TagError> parse_deadline(const std::string& value) {
    client_timeout = parse_milliseconds(value, classifier_.settings_.max_client_timeout);
    if (client_timeout && client_timeout->count() > 0) return std::nullopt;
    return TagError{"deadline_ms='" + value + "'; expected milliseconds, more than 0 and at most 1 h"};
  }
  std::optional<TagError> parse_memory(const std::string& value) {
    const double max = classifier_.settings_.max_memory_mb;
    const auto megabytes = parse_number(value);
    if (!megabytes || *megabytes < 0 || *megabytes > max) {
      return TagError{"memory_mb='" + value + "'; expected megabytes from 0 to " +
                      std::to_string(static_cast<long>(max))};
    }
    query.estimated_memory_mb = *megabytes;
    return std::nullopt;
  }
  std::optional<TagError> parse_key(const std::string& value) {
    if (!value.empty()) query.ordering_key = key_of(value);
    return std::nullopt;
  }
  std::optional<TagError> parse_tables(const std::string& value) {
    query.tables = static_cast<double>(key_of(value) >> table_group_shift);
    return std::nullopt;
  }
  std::optional<TagError> parse_repeat(const std::string& value) {
    if (value != "0" && value != "1") return TagError{"repeat='" + value + "'; expected 0 or 1"};
    query.repeated = value == "1";
    return std::nullopt;
  }

  const Classifier& classifier_;
};

// ---- Requests ----

void Classifier::apply_rules(const RequestFacts& facts, TagParser& tags) const {
  const auto rule =
      std::find_if(rules_.begin(), rules_.end(), [&](const Rule& one) { return one.matches(facts); });
  if (rule == rules_.end()) return;
  if (!tags.class_index) tags.class_index = rule->class_index;
  if (!tags.tenant) tags.tenant = rule->tenant;
}

std::variant<QueryArrived, TagError> Classifier::classify(const RequestFacts& facts) const {
  TagParser tags(*this);
  for (const auto& [name, value] : facts.tags)
    if (auto problem = tags.parse(name, value)) return *problem;
  if (!tags.class_index || !tags.tenant) apply_rules(facts, tags);
  QueryArrived query = tags.query;
  query.class_index = tags.class_index.value_or(index_of(classes_, settings_.default_class).value_or(0));
  // The index after the last tenant means no tenant, and thus no quota.
  const auto no_tenant = static_cast<std::uint32_t>(tenants_.size());
  query.tenant = tags.tenant.value_or(index_of(tenants_, settings_.default_tenant).value_or(no_tenant));
  query.client_timeout = deadlines_[query.class_index];
  if (facts.timeout) query.client_timeout = std::min(*facts.timeout, settings_.max_client_timeout);
  if (tags.client_timeout) query.client_timeout = *tags.client_timeout;
  return query;
}

}  // namespace paddlestand::core

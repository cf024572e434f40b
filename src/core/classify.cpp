#include "classify.hpp"

#include <algorithm>
#include <boost/regex.hpp>
#include <charconv>
#include <cmath>

namespace paddlestand::core {
namespace {

constexpr std::size_t most_sought = 4096;  // bytes of a statement that patterns are sought in

std::optional<double> number(std::string_view text) {
  double value = 0;
  const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (problem != std::errc{} || end != text.data() + text.size() || !std::isfinite(value))
    return std::nullopt;
  return value;
}

std::optional<std::uint32_t> place_of(const std::vector<std::string>& names, std::string_view name) {
  const auto found = std::find(names.begin(), names.end(), name);
  if (found == names.end()) return std::nullopt;
  return static_cast<std::uint32_t>(found - names.begin());
}

std::string list(const std::vector<std::string>& names) {
  std::string out;
  for (const std::string& name : names) out += (out.empty() ? "" : ", ") + name;
  return out;
}

}  // namespace

struct Classifier::Rule {
  ClassRule given;
  std::optional<std::uint32_t> class_index, tenant;
  std::optional<boost::regex> pattern;

  [[nodiscard]] bool matches(const RequestFacts& facts) const {
    if (!given.user.empty() && given.user != facts.user) return false;
    if (!given.database.empty() && given.database != facts.database) return false;
    if (!given.application.empty() && given.application != facts.application) return false;
    if (!pattern) return true;
    const std::string_view text = facts.statement.substr(0, most_sought);
    try {
      return boost::regex_search(text.begin(), text.end(), *pattern);
    } catch (const std::runtime_error&) {
      return false;  // the pattern took too many steps on this text: it says nothing of it
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
  const auto complain = [this](const std::string& text) {
    if (problem_.empty()) problem_ = text;
  };
  if (!place_of(classes_, settings_.class_otherwise))
    complain("the class of what no rule speaks of, '" + settings_.class_otherwise +
             "', is not among: " + list(classes_));
  if (!settings_.tenant_otherwise.empty() && !place_of(tenants_, settings_.tenant_otherwise))
    complain("tenant '" + settings_.tenant_otherwise + "' is not among: " + list(tenants_));
  for (const ClassRule& given : settings_.rules) {
    Rule rule{given, place_of(classes_, given.class_name), place_of(tenants_, given.tenant), {}};
    if (!given.class_name.empty() && !rule.class_index)
      complain("a rule names class '" + given.class_name + "'; wanted one of: " + list(classes_));
    if (!given.tenant.empty() && !rule.tenant)
      complain("a rule names tenant '" + given.tenant + "'; wanted one of: " + list(tenants_));
    if (!given.statement.empty()) {
      try {
        rule.pattern.emplace(given.statement, boost::regex::perl | boost::regex::icase);
      } catch (const boost::regex_error& error) {
        complain("the pattern '" + given.statement + "' is no regular expression: " + error.what());
      }
    }
    rules_.push_back(std::move(rule));
  }
}

std::uint64_t key_of(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325U;  // FNV-1a: stable over builds and machines
  for (const char c : text) hash = (hash ^ static_cast<std::uint8_t>(c)) * 0x100000001b3U;
  return hash == 0 ? 1 : hash;
}

std::variant<QueryArrived, Problem> Classifier::classify(const RequestFacts& facts) const {
  QueryArrived out;
  std::optional<std::uint32_t> class_index, tenant;
  std::optional<Duration> client_timeout;
  const auto milliseconds = [](std::string_view text, Duration most) -> std::optional<Duration> {
    const auto value = number(text);
    if (!value || *value < 0 || *value * 1e6 > static_cast<double>(most.count())) return std::nullopt;
    return Duration{std::llround(*value * 1e6)};
  };
  for (const auto& [name, value] : facts.tags) {
    if (name == "class") {
      class_index = place_of(classes_, value);
      if (!class_index) return Problem{"unknown class '" + value + "'; wanted one of: " + list(classes_)};
    } else if (name == "tenant") {
      tenant = place_of(tenants_, value);
      if (!tenant) return Problem{"unknown tenant '" + value + "'; wanted one of: " + list(tenants_)};
    } else if (name == "cost_ms") {
      out.estimated_cost = milliseconds(value, settings_.most_cost);
      if (!out.estimated_cost)
        return Problem{"cost_ms='" + value + "'; wanted: milliseconds from 0 to a day's"};
    } else if (name == "deadline_ms") {
      client_timeout = milliseconds(value, settings_.max_client_timeout);
      if (!client_timeout || client_timeout->count() == 0)
        return Problem{"deadline_ms='" + value + "'; wanted: milliseconds, more than 0, an hour's at most"};
    } else if (name == "memory_mb") {
      const auto mb = number(value);
      if (!mb || *mb < 0 || *mb > settings_.most_memory_mb)
        return Problem{"memory_mb='" + value + "'; wanted: megabytes from 0 to " +
                       std::to_string(static_cast<long>(settings_.most_memory_mb))};
      out.estimated_memory_mb = *mb;
    } else if (name == "key") {
      if (!value.empty()) out.ordering_key = key_of(value);
    } else if (name == "tables") {
      // As many groups as a double tells apart.
      out.tables = static_cast<double>(key_of(value) >> 12U);
    } else if (name == "repeat") {
      if (value != "0" && value != "1") return Problem{"repeat='" + value + "'; wanted: 0 or 1"};
      out.repeated = value == "1";
    } else if (settings_.refuse_unknown_tags) {
      return Problem{"unknown tag '" + name.substr(0, 64) +
                     "'; wanted: class, tenant, cost_ms, deadline_ms, memory_mb, key, tables, repeat"};
    }
  }
  for (const Rule& rule : rules_) {
    if (class_index && tenant) break;
    if (!rule.matches(facts)) continue;
    if (!class_index) class_index = rule.class_index;
    if (!tenant) tenant = rule.tenant;
    break;
  }
  if (!class_index) class_index = place_of(classes_, settings_.class_otherwise);
  if (!tenant) tenant = place_of(tenants_, settings_.tenant_otherwise);
  out.class_index = class_index.value_or(0);
  // Beyond the last tenant: none, so no quota of any.
  out.tenant = tenant.value_or(static_cast<std::uint32_t>(tenants_.size()));
  out.client_timeout = deadlines_[out.class_index];
  if (facts.timeout) out.client_timeout = std::min(*facts.timeout, settings_.max_client_timeout);
  if (client_timeout) out.client_timeout = *client_timeout;
  return out;
}

}  // namespace paddlestand::core

#include "config/settings_parser.hpp"

#include <charconv>
#include <cmath>
#include <limits>
#include <map>

namespace paddlestand::config {
namespace {

using ErrorKind = SettingsError::Kind;

constexpr std::size_t max_items = 4096;  // of classes, kinds or tenants; more means a damaged text
constexpr double max_index = 65535;  // of a zone or kind
constexpr std::size_t max_quoted_bytes = 80;  // of a value in an error text

/// Reads values from lines of path=value. Keeps the first error.
class SettingsReader {
 public:
  explicit SettingsReader(std::string_view text) {
    while (!text.empty()) {
      const auto end = text.find('\n');
      std::string_view line = text.substr(0, end);
      text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
      if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
      if (line.empty()) continue;
      const auto equals = line.find('=');
      if (equals == std::string_view::npos) {
        report({ErrorKind::missing_equals_sign, {}, std::string(line), {}});
        continue;
      }
      values_.insert_or_assign(std::string(line.substr(0, equals)), std::string(line.substr(equals + 1)));
    }
  }

  [[nodiscard]] bool has(const std::string& key) const { return values_.contains(key); }
  [[nodiscard]] const std::optional<SettingsError>& error() const { return error_; }

  std::string text(const std::string& key) const {
    const auto found = values_.find(key);
    return found == values_.end() ? std::string{} : found->second;
  }

  template <typename T>
  T number(const std::string& key, T fallback = T{}) {
    const auto found = values_.find(key);
    return found == values_.end() ? fallback : parse<T>(key, found->second, fallback);
  }

  template <typename T>
  T integer(const std::string& key, T fallback = T{}) {
    const auto value = number<double>(key, static_cast<double>(fallback));
    constexpr auto max = static_cast<double>(std::numeric_limits<T>::max());
    if (!std::isfinite(value) || value < 0 || value >= max) {
      report({ErrorKind::out_of_range, key, text(key), max});
      return fallback;
    }
    return static_cast<T>(value);
  }

  Duration time(const std::string& key) { return Duration{integer<std::int64_t>(key)}; }

  bool flag(const std::string& key, bool fallback = false) {
    const auto found = values_.find(key);
    return found == values_.end() ? fallback : parse_flag(key, found->second);
  }

  std::vector<std::string> list(const std::string& key) const {
    std::vector<std::string> items;
    std::string_view remaining =
        text(key).empty() ? std::string_view{} : std::string_view(values_.find(key)->second);
    while (!remaining.empty()) {
      const auto comma = remaining.find(',');
      items.emplace_back(remaining.substr(0, comma));
      remaining = comma == std::string_view::npos ? std::string_view{} : remaining.substr(comma + 1);
    }
    return items;
  }

  std::vector<double> numbers(const std::string& key) {
    std::vector<double> items;
    for (const auto& item : list(key)) items.push_back(parse<double>(key, item, 0.0));
    return items;
  }

  std::vector<bool> flags(const std::string& key) {
    std::vector<bool> items;
    for (const auto& item : list(key)) items.push_back(parse_flag(key, item));
    return items;
  }

  template <typename T>
  T choice(const std::string& key, const std::map<std::string, T>& choices, T fallback) {
    if (!has(key)) return fallback;
    const auto found = choices.find(text(key));
    if (found != choices.end()) return found->second;
    report({ErrorKind::unknown_choice, key, text(key), {}});
    return fallback;
  }

  std::optional<std::vector<std::uint32_t>> indices(const std::string& key) {
    if (!has(key)) return std::nullopt;
    std::vector<std::uint32_t> items;
    for (const double item : numbers(key)) {
      if (item < 0 || item > max_index) {
        report({ErrorKind::out_of_range, key, text(key), max_index});
      } else {
        items.push_back(static_cast<std::uint32_t>(item));
      }
    }
    return items;
  }

  std::size_t count(const std::string& key) {
    const std::string count_key = key + ".count";
    const auto items = integer<std::size_t>(count_key);
    if (items <= max_items) return items;
    report({ErrorKind::count_too_large, key, text(count_key), static_cast<double>(max_items)});
    return 0;
  }

  void report(SettingsError error) {
    if (!error_) error_ = std::move(error);
  }

 private:
  template <typename T>
  T parse(const std::string& key, const std::string& value, T fallback) {
    T result{};
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), result);
    if (error == std::errc{} && end == value.data() + value.size()) return result;
    report({ErrorKind::not_a_number, key, value, {}});
    return fallback;
  }

  bool parse_flag(const std::string& key, const std::string& value) {
    if (value == "true" || value == "1") return true;
    if (value != "false" && value != "0") report({ErrorKind::not_a_flag, key, value, {}});
    return false;
  }

  std::map<std::string, std::string> values_;
  std::optional<SettingsError> error_;
};

template <typename T>
T item_or(const std::vector<T>& items, std::size_t index, T fallback) {
  return index < items.size() ? items[index] : fallback;
}

ClassSettings read_class(SettingsReader& reader, std::size_t index) {
  const std::string prefix = "classes." + std::to_string(index) + ".";
  ClassSettings out;
  out.name = reader.text(prefix + "name");
  out.latency_objective = reader.time(prefix + "aim_ns");
  out.objective_per_run_time = reader.number<double>(prefix + "aim_stretch");
  out.deadline = reader.time(prefix + "deadline_ns");
  out.priority_weight = reader.number<double>(prefix + "gain");
  out.late_answer_weight = reader.number<double>(prefix + "late_value");
  // A missing or unknown value counts as the strictest one.
  out.idempotency = reader.choice<Idempotency>(prefix + "repeat",
                                               {{"pure", Idempotency::idempotent},
                                                {"token", Idempotency::idempotent_with_key},
                                                {"side_effect", Idempotency::non_idempotent}},
                                               Idempotency::non_idempotent);
  out.idempotency_scope = reader.choice<IdempotencyScope>(
      prefix + "key_scope",
      {{"all", IdempotencyScope::all}, {"zone", IdempotencyScope::zone}, {"cell", IdempotencyScope::cell}},
      IdempotencyScope::cell);
  out.idempotency_window = reader.time(prefix + "key_ttl_ns");
  out.ordered_by_key = reader.flag(prefix + "in_turn");
  out.streamed = reader.flag(prefix + "stream");
  out.allowed_zones = reader.indices(prefix + "areas_allowed");
  out.allowed_kinds = reader.indices(prefix + "flavors_only");
  return out;
}

void read_classes(SettingsReader& reader, Settings& out) {
  const auto threads = reader.numbers("family_info.class_threads");
  const auto writes = reader.flags("family_info.writes_tables");
  const auto waits = reader.flags("family_info.class_waits");
  const std::size_t count = reader.count("classes");
  for (std::size_t i = 0; i < count; ++i) {
    ClassSettings item = read_class(reader, i);
    item.threads = item_or(threads, i, 1.0);
    item.writes_tables = item_or<bool>(writes, i, false);
    item.waits_for_writers = item_or<bool>(waits, i, false);
    out.classes.push_back(std::move(item));
  }
}

void read_kinds(SettingsReader& reader, Settings& out) {
  const auto cores = reader.numbers("family_info.kind_cores");
  const auto memory = reader.numbers("family_info.size_mb");
  for (std::size_t i = 0; i < std::max(cores.size(), memory.size()); ++i)
    out.kinds.push_back({item_or(cores, i, 0.0), item_or(memory, i, 0.0)});
}

void read_tenants(SettingsReader& reader, Settings& out) {
  const std::size_t count = reader.count("tenants");
  for (std::size_t i = 0; i < count; ++i) {
    const std::string prefix = "tenants." + std::to_string(i) + ".";
    out.tenants.push_back({reader.text(prefix + "name"), reader.number<double>(prefix + "quota_per_s")});
  }
}

/// The capabilities of engines and what they report.
void read_engine_family(SettingsReader& reader, Settings& out) {
  out.engines_honor_grants = reader.flag("family_info.grants");
  out.engines_honor_priorities = reader.flag("family_info.takes_priority");
  out.answers_report_cost = reader.flag("family_info.tells_cost");
  out.max_grant_share = reader.number<double>("family_info.max_grant_share");
  out.memory_shortage = reader.choice<MemoryShortage>("family_info.on_shortage",
                                                      {{"line_up", MemoryShortage::queue},
                                                       {"cut", MemoryShortage::reduce_grant},
                                                       {"overcommit", MemoryShortage::overcommit}},
                                                      MemoryShortage::queue);
  out.progress_report_period = reader.time("family_info.note_period_ns");
}

/// The actions that a manager may take, and their prices.
void read_permissions(SettingsReader& reader, Settings& out) {
  out.may_cancel = reader.flag("permissions.cancel");
  out.may_probe = reader.flag("permissions.probes");
  out.may_advise_retry = reader.flag("permissions.retry_after");
  out.may_hedge = reader.flag("permissions.parallel_tries");
  out.may_gossip = reader.flag("permissions.may_tell");
  out.cross_zone_price = reader.number<double>("prices.cross_zone");
  out.gossip_entry_bytes = gossip_entry_bytes;
  out.gossip_price = reader.number<double>("prices.peer");
  out.max_attempts = reader.integer<std::uint32_t>("permissions.max_attempts");
  out.max_retry_after = reader.time("permissions.max_retry_after_ns");
}

void read_rules(SettingsReader& reader, Settings& out) {
  out.answer_slack = reader.time("rules.answer_slack_ns");
  out.drain_grace = reader.time("rules.drain_grace_ns");
  out.slow_start_capacity_share = reader.number<double>("rules.cold_from");
  out.slow_start_duration = reader.time("rules.cold_ns");
  out.overload_multiple = reader.number<double>("rules.tip_multiple");
  out.overload_window = reader.time("rules.fall_ns");
  out.ordering_settle_time = reader.time("rules.order_settle_ns");
  if (!reader.has("rules.extra_floor") && !reader.has("rules.repeat_ratio") &&
      !reader.has("rules.look_back_ns"))
    return;
  out.retry_budget =
      RetryBudgetSettings{reader.number<double>("rules.extra_floor"),
                          reader.number<double>("rules.repeat_ratio"), reader.time("rules.look_back_ns")};
}

}  // namespace

std::string SettingsError::text() const {
  const std::string quoted = value.substr(0, max_quoted_bytes);
  switch (kind) {
    case Kind::missing_equals_sign: return "settings line '" + quoted + "': expected path=value";
    case Kind::not_a_number: return "setting " + key + "=" + quoted + ": expected a number";
    case Kind::not_a_flag: return "setting " + key + "=" + quoted + ": expected true or false";
    case Kind::unknown_choice: return "setting " + key + "=" + quoted + ": unknown value";
    case Kind::out_of_range: return "setting " + key + ": value out of range";
    case Kind::count_too_large: return "setting " + key + ": count too large";
  }
  return {};
}

std::variant<ParsedSettings, SettingsError> parse_settings(std::string_view text) {
  SettingsReader reader(text);
  ParsedSettings parsed;
  Settings& out = parsed.settings;
  out.instances = reader.integer<std::uint32_t>("balancers");
  out.instance_index = reader.integer<std::uint32_t>("position");
  out.zone = reader.integer<std::uint32_t>("az");
  out.clock_step = reader.time("granularity_ns");
  read_classes(reader, out);
  read_kinds(reader, out);
  read_tenants(reader, out);
  out.endpoints_on_subscription = reader.text("membership_mode") == "ask";
  read_engine_family(reader, out);
  read_permissions(reader, out);
  read_rules(reader, out);
  parsed.report_names = reader.list("report.names");
  if (const auto& error = reader.error()) return *error;
  return parsed;
}

}  // namespace paddlestand::config

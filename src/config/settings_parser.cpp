#include "config/settings_parser.hpp"

#include <charconv>
#include <cmath>
#include <limits>
#include <map>

namespace paddlestand::config {
namespace {

using ErrorKind = SettingsError::Kind;

constexpr std::size_t max_items = 4096;  // more classes, kinds or tenants are damage
constexpr double max_index = 65535;  // of a zone or kind
constexpr std::size_t max_quoted_bytes = 80;  // of a value, in an error's text

/// The lines path=value of the settings. Keeps the first error that it met.
class Reader {
 public:
  explicit Reader(std::string_view text) {
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
  T number(const std::string& key, T otherwise = T{}) {
    const auto found = values_.find(key);
    return found == values_.end() ? otherwise : parse<T>(key, found->second, otherwise);
  }

  template <typename T>
  T integer(const std::string& key, T otherwise = T{}) {
    const auto value = number<double>(key, static_cast<double>(otherwise));
    constexpr auto max = static_cast<double>(std::numeric_limits<T>::max());
    if (!std::isfinite(value) || value < 0 || value >= max) {
      report({ErrorKind::out_of_range, key, text(key), max});
      return otherwise;
    }
    return static_cast<T>(value);
  }

  Duration time(const std::string& key) { return Duration{integer<std::int64_t>(key)}; }

  bool flag(const std::string& key, bool otherwise = false) {
    const auto found = values_.find(key);
    return found == values_.end() ? otherwise : parse_flag(key, found->second);
  }

  std::vector<std::string> list(const std::string& key) const {
    std::vector<std::string> items;
    std::string_view rest =
        text(key).empty() ? std::string_view{} : std::string_view(values_.find(key)->second);
    while (!rest.empty()) {
      const auto comma = rest.find(',');
      items.emplace_back(rest.substr(0, comma));
      rest = comma == std::string_view::npos ? std::string_view{} : rest.substr(comma + 1);
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
  T choice(const std::string& key, const std::map<std::string, T>& words, T otherwise) {
    if (!has(key)) return otherwise;
    const auto found = words.find(text(key));
    if (found != words.end()) return found->second;
    report({ErrorKind::unknown_choice, key, text(key), {}});
    return otherwise;
  }

  std::optional<std::vector<std::uint32_t>> places(const std::string& key) {
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
  T parse(const std::string& key, const std::string& value, T otherwise) {
    T result{};
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), result);
    if (error == std::errc{} && end == value.data() + value.size()) return result;
    report({ErrorKind::not_a_number, key, value, {}});
    return otherwise;
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
T item_or(const std::vector<T>& items, std::size_t index, T otherwise) {
  return index < items.size() ? items[index] : otherwise;
}

ClassSettings read_class(Reader& in, std::size_t index) {
  const std::string at = "classes." + std::to_string(index) + ".";
  ClassSettings out;
  out.name = in.text(at + "name");
  out.latency_objective = in.time(at + "aim_ns");
  out.objective_per_run_time = in.number<double>(at + "aim_stretch");
  out.deadline = in.time(at + "deadline_ns");
  out.priority_weight = in.number<double>(at + "gain");
  out.late_answer_weight = in.number<double>(at + "late_value");
  // A word that is not known counts as the strictest kind.
  out.idempotency = in.choice<Idempotency>(at + "repeat",
                                           {{"pure", Idempotency::idempotent},
                                            {"token", Idempotency::idempotent_with_key},
                                            {"side_effect", Idempotency::non_idempotent}},
                                           Idempotency::non_idempotent);
  out.idempotency_scope = in.choice<IdempotencyScope>(
      at + "key_scope",
      {{"all", IdempotencyScope::all}, {"zone", IdempotencyScope::zone}, {"cell", IdempotencyScope::cell}},
      IdempotencyScope::cell);
  out.idempotency_window = in.time(at + "key_ttl_ns");
  out.ordered_by_key = in.flag(at + "in_turn");
  out.streamed = in.flag(at + "stream");
  out.allowed_zones = in.places(at + "areas_allowed");
  out.allowed_kinds = in.places(at + "flavors_only");
  return out;
}

void read_classes(Reader& in, Settings& out) {
  const auto threads = in.numbers("family_info.class_threads");
  const auto writes = in.flags("family_info.writes_tables");
  const auto waits = in.flags("family_info.class_waits");
  const std::size_t count = in.count("classes");
  for (std::size_t i = 0; i < count; ++i) {
    ClassSettings item = read_class(in, i);
    item.threads = item_or(threads, i, 1.0);
    item.writes_tables = item_or<bool>(writes, i, false);
    item.waits_for_writers = item_or<bool>(waits, i, false);
    out.classes.push_back(std::move(item));
  }
}

void read_kinds(Reader& in, Settings& out) {
  const auto cores = in.numbers("family_info.kind_cores");
  const auto memory = in.numbers("family_info.size_mb");
  for (std::size_t i = 0; i < std::max(cores.size(), memory.size()); ++i)
    out.kinds.push_back({item_or(cores, i, 0.0), item_or(memory, i, 0.0)});
}

void read_tenants(Reader& in, Settings& out) {
  const std::size_t count = in.count("tenants");
  for (std::size_t i = 0; i < count; ++i) {
    const std::string at = "tenants." + std::to_string(i) + ".";
    out.tenants.push_back({in.text(at + "name"), in.number<double>(at + "quota_per_s")});
  }
}

/// What engines can do and what they report.
void read_engine_family(Reader& in, Settings& out) {
  out.engines_honor_grants = in.flag("family_info.grants");
  out.engines_honor_priorities = in.flag("family_info.takes_priority");
  out.answers_report_cost = in.flag("family_info.tells_cost");
  out.max_grant_share = in.number<double>("family_info.max_grant_share");
  out.memory_shortage = in.choice<MemoryShortage>("family_info.on_shortage",
                                                  {{"line_up", MemoryShortage::queue},
                                                   {"cut", MemoryShortage::reduce_grant},
                                                   {"overcommit", MemoryShortage::overcommit}},
                                                  MemoryShortage::queue);
  out.progress_report_period = in.time("family_info.note_period_ns");
}

/// What a manager may do, and what that costs.
void read_permissions(Reader& in, Settings& out) {
  out.may_cancel = in.flag("permissions.cancel");
  out.may_probe = in.flag("permissions.probes");
  out.may_advise_retry = in.flag("permissions.retry_after");
  out.may_hedge = in.flag("permissions.parallel_tries");
  out.may_gossip = in.flag("permissions.may_tell");
  out.cross_zone_price = in.number<double>("prices.cross_zone");
  out.gossip_entry_bytes = gossip_entry_bytes;
  out.gossip_price = in.number<double>("prices.peer");
  out.max_attempts = in.integer<std::uint32_t>("permissions.max_attempts");
  out.max_retry_after = in.time("permissions.max_retry_after_ns");
}

void read_rules(Reader& in, Settings& out) {
  out.answer_slack = in.time("rules.answer_slack_ns");
  out.drain_grace = in.time("rules.drain_grace_ns");
  out.slow_start_capacity_share = in.number<double>("rules.cold_from");
  out.slow_start_duration = in.time("rules.cold_ns");
  out.overload_multiple = in.number<double>("rules.tip_multiple");
  out.overload_window = in.time("rules.fall_ns");
  out.ordering_settle_time = in.time("rules.order_settle_ns");
  if (!in.has("rules.extra_floor") && !in.has("rules.repeat_ratio") && !in.has("rules.look_back_ns")) return;
  out.retry_budget =
      RetryBudgetSettings{in.number<double>("rules.extra_floor"), in.number<double>("rules.repeat_ratio"),
                          in.time("rules.look_back_ns")};
}

}  // namespace

std::string SettingsError::text() const {
  const std::string quoted = value.substr(0, max_quoted_bytes);
  switch (kind) {
    case Kind::missing_equals_sign: return "settings line without '=': " + quoted;
    case Kind::not_a_number: return "settings value is no number: " + key + "=" + quoted;
    case Kind::not_a_flag: return "settings value is neither true nor false: " + key + "=" + quoted;
    case Kind::unknown_choice: return "settings value not understood: " + key + "=" + quoted;
    case Kind::out_of_range: return "settings value out of range: " + key;
    case Kind::count_too_large: return "settings count too large: " + key;
  }
  return {};
}

std::variant<ParsedSettings, SettingsError> parse_settings(std::string_view text) {
  Reader in(text);
  ParsedSettings parsed;
  Settings& out = parsed.settings;
  out.instances = in.integer<std::uint32_t>("balancers");
  out.instance_index = in.integer<std::uint32_t>("position");
  out.zone = in.integer<std::uint32_t>("az");
  out.clock_step = in.time("granularity_ns");
  read_classes(in, out);
  read_kinds(in, out);
  read_tenants(in, out);
  out.endpoints_on_subscription = in.text("membership_mode") == "ask";
  read_engine_family(in, out);
  read_permissions(in, out);
  read_rules(in, out);
  parsed.report_names = in.list("report.names");
  if (const auto& error = in.error()) return *error;
  return parsed;
}

}  // namespace paddlestand::config

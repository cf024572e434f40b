#include "manager_config.hpp"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <optional>

namespace paddlestand::config {
namespace {

using IndexByName = std::map<std::string, std::uint32_t>;

constexpr auto min_engines_poll = std::chrono::milliseconds(10);
constexpr std::uint32_t max_attempts_limit = 100;

/// Resolves a path relative to the folder of the settings file. An empty path stays empty.
std::string resolve_path(const std::string& config_path, const std::string& path) {
  if (path.empty()) return {};
  return std::filesystem::absolute(std::filesystem::path(config_path).parent_path() / path).string();
}

std::string join_names(const IndexByName& indices) {
  std::string out;
  for (const auto& [name, index] : indices) out += (out.empty() ? "" : ", ") + name;
  return out;
}

/// Thrown while a file is read. The functions of the header catch it and return the error.
struct ReadAborted {
  ConfigError error;
};

/// Reads the elements of one file. Throws ReadAborted at the first error.
class ConfigReader {
 public:
  explicit ConfigReader(std::string file) : file_(std::move(file)) {}

  [[noreturn]] void fail(const Element& element, std::string message) const {
    throw ReadAborted{{file_, element.line(), std::move(message)}};
  }

  /// Returns the index of `name`. The error for an unknown name calls it a `subject`.
  std::uint32_t index_of(const Element& element, const IndexByName& indices, const std::string& name,
                         const char* subject) const {
    const auto found = indices.find(name);
    if (found == indices.end()) {
      fail(element,
           std::string("unknown ") + subject + " '" + name + "'; expected one of: " + join_names(indices));
    }
    return found->second;
  }

  std::vector<ListedEngine> read_engine_elements(const Element& root, const IndexByName& zones,
                                                 const IndexByName& kinds) const {
    std::vector<ListedEngine> out;
    for (const Element& element : root.children("engine")) {
      ListedEngine engine;
      engine.entry.engine = element.count("id");
      engine.entry.state = element.text("state") == "draining" ? EngineState::draining : EngineState::ready;
      engine.entry.kind = index_of(element, kinds, element.text("kind"), "kind");
      if (element.has("zone")) engine.entry.zone = index_of(element, zones, element.text("zone"), "zone");
      engine.entry.cell = element.count("cell");
      engine.entry.weight = element.number("weight");
      engine.entry.started = Duration{std::llround(element.number("started") * 1e9)};
      engine.endpoint = {element.text("name"), element.text("address"),
                         static_cast<std::uint16_t>(element.count("port"))};
      if (engine.endpoint.port == 0) fail(element, "port 0; expected 1 to 65535");
      out.push_back(std::move(engine));
    }
    return out;
  }

  ClassSettings read_class(const Element& element, const IndexByName& zones, const IndexByName& kinds) const {
    ClassSettings out;
    out.name = element.text("name");
    out.latency_objective = element.time("aim");
    out.objective_per_run_time = element.number("aim-stretch");
    out.deadline = element.time("deadline");
    out.priority_weight = element.number("worth");
    out.late_answer_weight = element.number("late-worth");
    out.threads = element.number("threads");
    const std::string repeat = element.text("repeat"), scope = element.text("key-scope");
    out.idempotency = repeat == "safe"    ? Idempotency::idempotent
                      : repeat == "keyed" ? Idempotency::idempotent_with_key
                                          : Idempotency::non_idempotent;
    out.idempotency_scope = scope == "all"    ? IdempotencyScope::all
                            : scope == "zone" ? IdempotencyScope::zone
                                              : IdempotencyScope::cell;
    out.idempotency_window = element.time("key-window");
    out.ordered_by_key = element.flag("in-turn");
    out.writes_tables = element.flag("writes-tables");
    out.waits_for_writers = element.flag("waits-for-writers");
    const auto read_indices = [&](const char* attribute, const IndexByName& indices, const char* subject) {
      std::optional<std::vector<std::uint32_t>> found;
      if (!element.has(attribute)) return found;
      found.emplace();
      for (const std::string& name : element.words(attribute))
        found->push_back(index_of(element, indices, name, subject));
      return found;
    };
    out.allowed_zones = read_indices("zones", zones, "zone");
    out.allowed_kinds = read_indices("kinds", kinds, "kind");
    if (out.deadline.count() <= 0)
      fail(element, "deadline of class '" + out.name + "': expected more than 0");
    if (out.latency_objective > out.deadline)
      fail(element, "aim of class '" + out.name + "' exceeds its deadline; expected aim <= deadline");
    if (out.idempotency == Idempotency::idempotent_with_key && out.idempotency_window.count() == 0)
      fail(element, "class '" + out.name + "' is keyed; expected a key-window of more than 0");
    return out;
  }

  void read_decisions(const Element& element, Settings& out) const {
    out.instances = element.count("instances");
    out.instance_index = element.count("position");
    if (out.instance_index >= out.instances) {
      fail(element, "position " + std::to_string(out.instance_index) + " of " +
                        std::to_string(out.instances) + " instances; expected 0 to one less than instances");
    }
    out.seed = element.integer("seed");
    out.clock_step = element.time("clock-step");
    if (out.clock_step < std::chrono::milliseconds(1) || out.clock_step > std::chrono::seconds(1))
      fail(element, "clock-step: expected 1ms to 1s");
    out.max_attempts = element.count("most-attempts");
    if (out.max_attempts > max_attempts_limit) fail(element, "most-attempts: expected 1 to 100");
    out.engines_honor_grants = element.flag("grants-heeded");
    out.engines_honor_priorities = element.flag("priorities-heeded");
    out.answers_report_cost = element.flag("answers-tell-cost");
    out.max_grant_share = element.number("largest-grant-share");
    const std::string shortage = element.text("memory-shortage");
    out.memory_shortage = shortage == "wait"  ? MemoryShortage::queue
                          : shortage == "cut" ? MemoryShortage::reduce_grant
                                              : MemoryShortage::overcommit;
    out.progress_report_period = element.time("note-period");
    out.may_cancel = element.flag("may-cancel");
    out.may_probe = element.flag("may-probe");
    out.may_advise_retry = element.flag("may-advise-retry");
    out.max_retry_after = element.time("longest-retry-advice");
    out.cross_zone_price = element.number("zone-price");
    out.drain_grace = element.time("drain-grace");
    out.slow_start_capacity_share = element.number("cold-share");
    out.slow_start_duration = element.time("cold-time");
    out.overload_multiple = element.number("fall-multiple");
    out.overload_window = element.time("fall-window");
    out.ordering_settle_time = element.time("order-settle");
    const int budget = (element.has("budget-floor") ? 1 : 0) + (element.has("budget-share") ? 1 : 0) +
                       (element.has("budget-window") ? 1 : 0);
    if (budget != 0 && budget != 3)
      fail(element, "budget-floor, budget-share and budget-window must be set together");
    if (budget == 3) {
      out.retry_budget = RetryBudgetSettings{element.number("budget-floor"), element.number("budget-share"),
                                             element.time("budget-window")};
    }
  }

  ManagerConfig read_manager(const Element& root) const {
    if (root.name() != "manager") fail(root, "element '" + root.name() + "'; expected 'manager'");
    ManagerConfig out;
    out.name = root.text("name");
    read_listen(*root.child("listen"), out.listen);
    read_zones(root, out);
    read_kinds(*root.child("kinds"), out);
    read_classes(*root.child("classes"), out);
    read_tenants(root, out);
    read_decisions(*root.child("decisions"), out.core.module);
    read_rules(root, out);
    read_engine_channels(root, out);
    read_buffers(root, out.core);
    read_engines(*root.child("engines"), out);
    read_log(root, out.log);
    if (const auto leave = root.child("leave")) out.shutdown_grace_period = leave->time("grace");
    return out;
  }

 private:
  using ClassRule = core::ClassRule;

  void read_listen(const Element& listen, ListenConfig& out) const {
    out.address = listen.text("address");
    out.port = static_cast<std::uint16_t>(listen.count("port"));
    out.scram = listen.text("authentication") == "scram";
    out.users_file = resolve_path(file_, listen.text("users"));
    out.max_sessions = listen.count("most-sessions");
    out.login_time = listen.time("login-time");
    out.write_stall = listen.time("write-stall");
    out.max_message = listen.bytes("most-message");
    const bool loopback = out.address.starts_with("127.") || out.address == "::1";
    if (!out.scram && !loopback) {
      fail(listen, "authentication 'trust' on address " + out.address +
                       "; expected scram, or an address in 127.0.0.0/8 or ::1");
    }
    if (out.scram && !listen.has("users")) fail(listen, "authentication 'scram': expected a users file");
  }

  void read_zones(const Element& root, ManagerConfig& out) const {
    const auto zones = root.child("zones");
    if (!zones) return;
    for (const std::string& name : zones->words("names")) {
      if (!out.zones.emplace(name, out.zones.size()).second)
        fail(*zones, "zone '" + name + "' is listed twice");
    }
    out.core.module.zone = index_of(*zones, out.zones, zones->text("own"), "zone");
  }

  static void read_kinds(const Element& kinds, ManagerConfig& out) {
    for (const Element& kind : kinds.children("kind")) {
      out.kinds.emplace(kind.text("name"), out.kinds.size());
      out.core.module.kinds.push_back({kind.number("cores"), kind.number("memory-mb")});
    }
  }

  void read_classes(const Element& classes, ManagerConfig& out) const {
    for (const Element& element : classes.children("class"))
      out.core.module.classes.push_back(read_class(element, out.zones, out.kinds));
    out.classifier.default_class = classes.text("otherwise");
  }

  static void read_tenants(const Element& root, ManagerConfig& out) {
    const auto tenants = root.child("tenants");
    if (!tenants) return;
    for (const Element& tenant : tenants->children("tenant"))
      out.core.module.tenants.push_back({tenant.text("name"), tenant.number("quota-per-s")});
    out.classifier.default_tenant = tenants->text("otherwise");
  }

  /// Reads the classification rules. Validates each one alone first, to report an error with its line.
  void read_rules(const Element& root, ManagerConfig& out) const {
    const Settings& module = out.core.module;
    Element rules_element = *root.child("classes");
    if (const auto rules = root.child("rules")) {
      rules_element = *rules;
      out.classifier.reject_unknown_tags = rules->text("unknown-tags") == "refuse";
      for (const Element& element : rules->children("rule")) {
        const ClassRule rule{element.text("user"),      element.text("database"), element.text("application"),
                             element.text("statement"), element.text("class"),    element.text("tenant")};
        out.classifier.rules.push_back(rule);
        core::ClassifierSettings single_rule;
        single_rule.default_class = module.classes.front().name;
        single_rule.rules = {rule};
        const core::Classifier classifier(single_rule, module);
        if (const auto& error = classifier.error()) fail(element, error->text());
      }
    }
    const core::Classifier classifier(out.classifier, module);
    if (const auto& error = classifier.error()) fail(rules_element, error->text());
  }

  void read_engine_channels(const Element& root, ManagerConfig& out) const {
    using namespace std::chrono_literals;
    const auto channels = root.child("engine-links");
    if (!channels) {
      out.login = {"paddlestand", "paddlestand", {}};
      out.core.idle_channel_lifetime = 60s;
      out.core.connect_timeout = 250ms;
      out.core.probe_timeout = 250ms;
      out.core.cancel_grace = 500ms;
      return;
    }
    out.login = {channels->text("user"), channels->text("database"),
                 resolve_path(file_, channels->text("password-file"))};
    out.core.channels_per_engine = channels->count("most-per-engine");
    out.core.idle_channels_per_engine = channels->count("idle-per-engine");
    out.core.idle_channel_lifetime = channels->time("idle-life");
    out.core.connect_timeout = channels->time("connect-time");
    out.core.probe_timeout = channels->time("probe-time");
    out.core.cancel_grace = channels->time("cancel-grace");
  }

  static void read_buffers(const Element& root, core::CoreSettings& out) {
    const auto buffers = root.child("buffers");
    if (!buffers) return;
    out.answer_buffer = buffers->bytes("answer");
    out.client_window = buffers->bytes("client");
    out.buffers_in_total = buffers->bytes("total");
  }

  void read_engines(const Element& element, ManagerConfig& out) const {
    out.engines = read_engine_elements(element, out.zones, out.kinds);
    out.engines_file = resolve_path(file_, element.text("file"));
    out.engines_poll = element.time("poll");
    if (out.engines_poll < min_engines_poll) fail(element, "poll: expected 10ms or more");
    if (!out.engines_file.empty() && !out.engines.empty())
      fail(element, "engines are listed both here and in a file; expected only one of them");
  }

  void read_log(const Element& root, observe::LogConfig& out) const {
    const auto log = root.child("log");
    if (!log) return;
    out = {log->text("level"),       log->text("file"),   log->text("format"),
           log->bytes("most-bytes"), log->count("files"), log->flag("answers")};
    if (out.file != "-") out.file = resolve_path(file_, out.file);
  }

  std::string file_;
};

std::variant<ManagerConfig, ConfigError> to_manager_config(std::variant<Document, ConfigError> document,
                                                           const std::string& name) {
  if (auto* error = std::get_if<ConfigError>(&document)) return std::move(*error);
  try {
    return ConfigReader(name).read_manager(std::get<Document>(document).root());
  } catch (ReadAborted& aborted) { return std::move(aborted.error); }
}

}  // namespace

std::variant<ManagerConfig, ConfigError> read_manager_config(const std::string& path) {
  return to_manager_config(Document::read(path, manager_schema), path);
}

std::variant<ManagerConfig, ConfigError> parse_manager_config(std::string_view text,
                                                              const std::string& name) {
  return to_manager_config(Document::parse(text, name, manager_schema), name);
}

std::variant<std::vector<ListedEngine>, ConfigError> read_engine_list(const std::string& path,
                                                                      const ManagerConfig& config) {
  auto document = Document::read(path, manager_schema);
  if (auto* error = std::get_if<ConfigError>(&document)) return std::move(*error);
  try {
    const Element root = std::get<Document>(document).root();
    const ConfigReader reader(path);
    if (root.name() != "engines") reader.fail(root, "element '" + root.name() + "'; expected 'engines'");
    return reader.read_engine_elements(root, config.zones, config.kinds);
  } catch (ReadAborted& aborted) { return std::move(aborted.error); }
}

// ---- Comparison for a reload ----
namespace {

using Part = FixedSetting::Part;

std::optional<FixedSetting> find_fixed_class_change(const Settings& current, const Settings& updated) {
  if (current.classes.size() != updated.classes.size()) return FixedSetting{Part::classes, {}};
  for (std::size_t i = 0; i < current.classes.size(); ++i) {
    const ClassSettings &old_class = current.classes[i], &new_class = updated.classes[i];
    if (old_class.name != new_class.name || old_class.latency_objective != new_class.latency_objective ||
        old_class.deadline != new_class.deadline || old_class.priority_weight != new_class.priority_weight ||
        old_class.idempotency != new_class.idempotency ||
        old_class.ordered_by_key != new_class.ordered_by_key ||
        old_class.idempotency_window != new_class.idempotency_window)
      return FixedSetting{Part::one_class, old_class.name};
  }
  return std::nullopt;
}

bool have_same_tenants(const Settings& current, const Settings& updated) {
  return std::equal(current.tenants.begin(), current.tenants.end(), updated.tenants.begin(),
                    updated.tenants.end(), [](const TenantSettings& left, const TenantSettings& right) {
                      return left.name == right.name && left.quota_per_s == right.quota_per_s;
                    });
}

bool have_same_decisions(const Settings& current, const Settings& updated) {
  return current.instances == updated.instances && current.instance_index == updated.instance_index &&
         current.seed == updated.seed && current.clock_step == updated.clock_step &&
         current.max_attempts == updated.max_attempts && current.drain_grace == updated.drain_grace;
}

bool have_same_limits(const core::CoreSettings& current, const core::CoreSettings& updated) {
  return current.channels_per_engine == updated.channels_per_engine &&
         current.connect_timeout == updated.connect_timeout &&
         current.answer_buffer == updated.answer_buffer &&
         current.buffers_in_total == updated.buffers_in_total;
}

}  // namespace

std::string FixedSetting::text() const {
  switch (part) {
    case Part::manager_name: return "the manager's name";
    case Part::listen: return "listen";
    case Part::engine_login: return "engine-links";
    case Part::zones: return "zones";
    case Part::kinds: return "kinds";
    case Part::classes: return "classes";
    case Part::one_class: return "class '" + class_name + "'";
    case Part::tenants: return "tenants";
    case Part::decisions: return "decisions";
    case Part::channel_or_buffer_limits: return "engine-links or buffers";
    case Part::engines_file_name: return "the name of the engines' file";
  }
  return {};
}

std::optional<FixedSetting> find_fixed_change(const ManagerConfig& current, const ManagerConfig& updated) {
  if (current.name != updated.name) return FixedSetting{Part::manager_name, {}};
  if (!(current.listen == updated.listen)) return FixedSetting{Part::listen, {}};
  if (!(current.login == updated.login)) return FixedSetting{Part::engine_login, {}};
  if (current.zones != updated.zones) return FixedSetting{Part::zones, {}};
  if (current.kinds != updated.kinds) return FixedSetting{Part::kinds, {}};
  const Settings &current_module = current.core.module, &updated_module = updated.core.module;
  if (auto changed = find_fixed_class_change(current_module, updated_module)) return changed;
  if (!have_same_tenants(current_module, updated_module)) return FixedSetting{Part::tenants, {}};
  if (!have_same_decisions(current_module, updated_module)) return FixedSetting{Part::decisions, {}};
  if (!have_same_limits(current.core, updated.core)) return FixedSetting{Part::channel_or_buffer_limits, {}};
  if (current.engines_file != updated.engines_file) return FixedSetting{Part::engines_file_name, {}};
  return std::nullopt;
}

}  // namespace paddlestand::config

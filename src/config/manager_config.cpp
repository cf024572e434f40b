#include "manager_config.hpp"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <optional>

namespace paddlestand::config {
namespace {

using Names = std::map<std::string, std::uint32_t>;

constexpr auto min_engines_poll = std::chrono::milliseconds(10);
constexpr std::uint32_t max_attempts_setting = 100;

std::string beside(const std::string& config, const std::string& path) {
  if (path.empty()) return {};
  return std::filesystem::absolute(std::filesystem::path(config).parent_path() / path).string();
}

std::string list(const Names& names) {
  std::string out;
  for (const auto& [name, place] : names) out += (out.empty() ? "" : ", ") + name;
  return out;
}

// Thrown while a file is read, caught where reading began.
struct Stop {
  Fault fault;
};

class Reading {
 public:
  explicit Reading(std::string file) : file_(std::move(file)) {}

  [[noreturn]] void fail(const Element& at, std::string what) const {
    throw Stop{{file_, at.line(), std::move(what)}};
  }

  std::uint32_t place(const Element& at, const Names& names, const std::string& name,
                      const char* what) const {
    const auto found = names.find(name);
    if (found == names.end())
      fail(at, std::string("unknown ") + what + " '" + name + "'; wanted one of: " + list(names));
    return found->second;
  }

  std::vector<ListedEngine> engines(const Element& root, const Names& zones, const Names& kinds) const {
    std::vector<ListedEngine> out;
    for (const Element& one : root.children("engine")) {
      ListedEngine engine;
      engine.entry.engine = one.count("id");
      engine.entry.state = one.text("state") == "draining" ? EngineState::draining : EngineState::ready;
      engine.entry.kind = place(one, kinds, one.text("kind"), "kind");
      if (one.has("zone")) engine.entry.zone = place(one, zones, one.text("zone"), "zone");
      engine.entry.cell = one.count("cell");
      engine.entry.weight = one.number("weight");
      engine.entry.started = Duration{std::llround(one.number("started") * 1e9)};
      engine.at = {one.text("name"), one.text("address"), static_cast<std::uint16_t>(one.count("port"))};
      if (engine.at.port == 0) fail(one, "port 0; wanted: 1 to 65535");
      out.push_back(std::move(engine));
    }
    return out;
  }

  ClassSettings read_class(const Element& one, const Names& zones, const Names& kinds) const {
    ClassSettings out;
    out.name = one.text("name");
    out.latency_objective = one.time("aim");
    out.objective_per_run_time = one.number("aim-stretch");
    out.deadline = one.time("deadline");
    out.priority_weight = one.number("worth");
    out.late_answer_weight = one.number("late-worth");
    out.threads = one.number("threads");
    const std::string repeat = one.text("repeat"), scope = one.text("key-scope");
    out.idempotency = repeat == "safe"    ? Idempotency::idempotent
                      : repeat == "keyed" ? Idempotency::idempotent_with_key
                                          : Idempotency::non_idempotent;
    out.idempotency_scope = scope == "all"    ? IdempotencyScope::all
                            : scope == "zone" ? IdempotencyScope::zone
                                              : IdempotencyScope::cell;
    out.idempotency_window = one.time("key-window");
    out.ordered_by_key = one.flag("in-turn");
    out.writes_tables = one.flag("writes-tables");
    out.waits_for_writers = one.flag("waits-for-writers");
    const auto places = [&](const char* attribute, const Names& names, const char* what) {
      std::optional<std::vector<std::uint32_t>> found;
      if (!one.has(attribute)) return found;
      found.emplace();
      for (const std::string& name : one.words(attribute)) found->push_back(place(one, names, name, what));
      return found;
    };
    out.allowed_zones = places("zones", zones, "zone");
    out.allowed_kinds = places("kinds", kinds, "kind");
    if (out.deadline.count() <= 0) fail(one, "deadline of class '" + out.name + "'; wanted: more than 0");
    if (out.latency_objective > out.deadline)
      fail(one, "aim of class '" + out.name + "' lies behind its deadline; wanted: aim <= deadline");
    if (out.idempotency == Idempotency::idempotent_with_key && out.idempotency_window.count() == 0)
      fail(one, "class '" + out.name + "' is keyed; wanted: a key-window of more than 0");
    return out;
  }

  void decisions(const Element& at, Settings& out) const {
    out.instances = at.count("instances");
    out.instance_index = at.count("position");
    if (out.instance_index >= out.instances) {
      fail(at, "position " + std::to_string(out.instance_index) + " of " + std::to_string(out.instances) +
                   " instances; wanted: 0 to one less than instances");
    }
    out.seed = at.integer("seed");
    out.clock_step = at.time("clock-step");
    if (out.clock_step < std::chrono::milliseconds(1) || out.clock_step > std::chrono::seconds(1))
      fail(at, "clock-step; wanted: 1ms to 1s");
    out.max_attempts = at.count("most-attempts");
    if (out.max_attempts > max_attempts_setting) fail(at, "most-attempts; wanted: 1 to 100");
    out.engines_honor_grants = at.flag("grants-heeded");
    out.engines_honor_priorities = at.flag("priorities-heeded");
    out.answers_report_cost = at.flag("answers-tell-cost");
    out.max_grant_share = at.number("largest-grant-share");
    const std::string shortage = at.text("memory-shortage");
    out.memory_shortage = shortage == "wait"  ? MemoryShortage::queue
                          : shortage == "cut" ? MemoryShortage::reduce_grant
                                              : MemoryShortage::overcommit;
    out.progress_report_period = at.time("note-period");
    out.may_cancel = at.flag("may-cancel");
    out.may_probe = at.flag("may-probe");
    out.may_advise_retry = at.flag("may-advise-retry");
    out.max_retry_after = at.time("longest-retry-advice");
    out.cross_zone_price = at.number("zone-price");
    out.drain_grace = at.time("drain-grace");
    out.slow_start_capacity_share = at.number("cold-share");
    out.slow_start_duration = at.time("cold-time");
    out.overload_multiple = at.number("fall-multiple");
    out.overload_window = at.time("fall-window");
    out.ordering_settle_time = at.time("order-settle");
    const int budget = (at.has("budget-floor") ? 1 : 0) + (at.has("budget-share") ? 1 : 0) +
                       (at.has("budget-window") ? 1 : 0);
    if (budget != 0 && budget != 3) fail(at, "budget-floor, budget-share and budget-window come together");
    if (budget == 3) {
      out.retry_budget =
          RetryBudgetSettings{at.number("budget-floor"), at.number("budget-share"), at.time("budget-window")};
    }
  }

  ManagerConfig manager(const Element& root) const {
    if (root.name() != "manager") fail(root, "element '" + root.name() + "'; wanted: manager");
    ManagerConfig out;
    out.name = root.text("name");
    read_listen(*root.child("listen"), out.listen);
    read_zones(root, out);
    read_kinds(*root.child("kinds"), out);
    read_classes(*root.child("classes"), out);
    read_tenants(root, out);
    decisions(*root.child("decisions"), out.core.module);
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
    out.users_file = beside(file_, listen.text("users"));
    out.max_sessions = listen.count("most-sessions");
    out.login_time = listen.time("login-time");
    out.write_stall = listen.time("write-stall");
    out.max_message = listen.bytes("most-message");
    const bool loopback = out.address.starts_with("127.") || out.address == "::1";
    if (!out.scram && !loopback) {
      fail(listen, "authentication 'trust' on address " + out.address +
                       "; wanted: scram, or an address of 127.0.0.0/8 or ::1");
    }
    if (out.scram && !listen.has("users")) fail(listen, "authentication 'scram'; wanted: a users file");
  }

  void read_zones(const Element& root, ManagerConfig& out) const {
    const auto zones = root.child("zones");
    if (!zones) return;
    for (const std::string& name : zones->words("names")) {
      if (!out.zones.emplace(name, out.zones.size()).second) fail(*zones, "zone '" + name + "' comes twice");
    }
    out.core.module.zone = place(*zones, out.zones, zones->text("own"), "zone");
  }

  static void read_kinds(const Element& kinds, ManagerConfig& out) {
    for (const Element& kind : kinds.children("kind")) {
      out.kinds.emplace(kind.text("name"), out.kinds.size());
      out.core.module.kinds.push_back({kind.number("cores"), kind.number("memory-mb")});
    }
  }

  void read_classes(const Element& classes, ManagerConfig& out) const {
    for (const Element& one : classes.children("class"))
      out.core.module.classes.push_back(read_class(one, out.zones, out.kinds));
    out.classifier.default_class = classes.text("otherwise");
  }

  static void read_tenants(const Element& root, ManagerConfig& out) {
    const auto tenants = root.child("tenants");
    if (!tenants) return;
    for (const Element& tenant : tenants->children("tenant"))
      out.core.module.tenants.push_back({tenant.text("name"), tenant.number("quota-per-s")});
    out.classifier.default_tenant = tenants->text("otherwise");
  }

  /// The rules that put a query into a class. Each is tried alone first, so that a fault is reported at its
  /// line.
  void read_rules(const Element& root, ManagerConfig& out) const {
    const Settings& module = out.core.module;
    Element rules_at = *root.child("classes");
    if (const auto rules = root.child("rules")) {
      rules_at = *rules;
      out.classifier.reject_unknown_tags = rules->text("unknown-tags") == "refuse";
      for (const Element& one : rules->children("rule")) {
        const ClassRule rule{one.text("user"),      one.text("database"), one.text("application"),
                             one.text("statement"), one.text("class"),    one.text("tenant")};
        out.classifier.rules.push_back(rule);
        core::ClassifierSettings alone;
        alone.default_class = module.classes.front().name;
        alone.rules = {rule};
        const core::Classifier tried(alone, module);
        if (const auto& error = tried.error()) fail(one, error->text());
      }
    }
    const core::Classifier tried(out.classifier, module);
    if (const auto& error = tried.error()) fail(rules_at, error->text());
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
                 beside(file_, channels->text("password-file"))};
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

  void read_engines(const Element& at, ManagerConfig& out) const {
    out.engines = engines(at, out.zones, out.kinds);
    out.engines_file = beside(file_, at.text("file"));
    out.engines_poll = at.time("poll");
    if (out.engines_poll < min_engines_poll) fail(at, "poll; wanted: 10ms or more");
    if (!out.engines_file.empty() && !out.engines.empty())
      fail(at, "engines both here and in a file; wanted: one of the two");
  }

  void read_log(const Element& root, observe::LogConfig& out) const {
    const auto log = root.child("log");
    if (!log) return;
    out = {log->text("level"),       log->text("file"),   log->text("format"),
           log->bytes("most-bytes"), log->count("files"), log->flag("answers")};
    if (out.file != "-") out.file = beside(file_, out.file);
  }

  std::string file_;
};

std::variant<ManagerConfig, Fault> manager_of(std::variant<Document, Fault> read, const std::string& name) {
  if (auto* fault = std::get_if<Fault>(&read)) return std::move(*fault);
  try {
    return Reading(name).manager(std::get<Document>(read).root());
  } catch (Stop& stop) { return std::move(stop.fault); }
}

}  // namespace

std::variant<ManagerConfig, Fault> read_manager_config(const std::string& path) {
  return manager_of(Document::read(path, manager_schema), path);
}

std::variant<ManagerConfig, Fault> parse_manager_config(std::string_view text, const std::string& name) {
  return manager_of(Document::parse(text, name, manager_schema), name);
}

std::variant<std::vector<ListedEngine>, Fault> read_engine_list(const std::string& path,
                                                                const ManagerConfig& config) {
  auto read = Document::read(path, manager_schema);
  if (auto* fault = std::get_if<Fault>(&read)) return std::move(*fault);
  try {
    const Element root = std::get<Document>(read).root();
    const Reading reading(path);
    if (root.name() != "engines") reading.fail(root, "element '" + root.name() + "'; wanted: engines");
    return reading.engines(root, config.zones, config.kinds);
  } catch (Stop& stop) { return std::move(stop.fault); }
}

// ---- Reload ----

namespace {

using Part = FixedSetting::Part;

std::optional<FixedSetting> find_fixed_class_change(const Settings& current, const Settings& fresh) {
  if (current.classes.size() != fresh.classes.size()) return FixedSetting{Part::classes, {}};
  for (std::size_t i = 0; i < current.classes.size(); ++i) {
    const ClassSettings &old_class = current.classes[i], &new_class = fresh.classes[i];
    if (old_class.name != new_class.name || old_class.latency_objective != new_class.latency_objective ||
        old_class.deadline != new_class.deadline || old_class.priority_weight != new_class.priority_weight ||
        old_class.idempotency != new_class.idempotency ||
        old_class.ordered_by_key != new_class.ordered_by_key ||
        old_class.idempotency_window != new_class.idempotency_window)
      return FixedSetting{Part::one_class, old_class.name};
  }
  return std::nullopt;
}

bool have_same_tenants(const Settings& current, const Settings& fresh) {
  return std::equal(current.tenants.begin(), current.tenants.end(), fresh.tenants.begin(),
                    fresh.tenants.end(), [](const TenantSettings& left, const TenantSettings& right) {
                      return left.name == right.name && left.quota_per_s == right.quota_per_s;
                    });
}

bool have_same_decisions(const Settings& current, const Settings& fresh) {
  return current.instances == fresh.instances && current.instance_index == fresh.instance_index &&
         current.seed == fresh.seed && current.clock_step == fresh.clock_step &&
         current.max_attempts == fresh.max_attempts && current.drain_grace == fresh.drain_grace;
}

bool have_same_limits(const core::CoreSettings& current, const core::CoreSettings& fresh) {
  return current.channels_per_engine == fresh.channels_per_engine &&
         current.connect_timeout == fresh.connect_timeout && current.answer_buffer == fresh.answer_buffer &&
         current.buffers_in_total == fresh.buffers_in_total;
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

std::optional<FixedSetting> find_fixed_change(const ManagerConfig& current, const ManagerConfig& fresh) {
  if (current.name != fresh.name) return FixedSetting{Part::manager_name, {}};
  if (!(current.listen == fresh.listen)) return FixedSetting{Part::listen, {}};
  if (!(current.login == fresh.login)) return FixedSetting{Part::engine_login, {}};
  if (current.zones != fresh.zones) return FixedSetting{Part::zones, {}};
  if (current.kinds != fresh.kinds) return FixedSetting{Part::kinds, {}};
  const Settings &current_module = current.core.module, &fresh_module = fresh.core.module;
  if (auto changed = find_fixed_class_change(current_module, fresh_module)) return changed;
  if (!have_same_tenants(current_module, fresh_module)) return FixedSetting{Part::tenants, {}};
  if (!have_same_decisions(current_module, fresh_module)) return FixedSetting{Part::decisions, {}};
  if (!have_same_limits(current.core, fresh.core)) return FixedSetting{Part::channel_or_buffer_limits, {}};
  if (current.engines_file != fresh.engines_file) return FixedSetting{Part::engines_file_name, {}};
  return std::nullopt;
}

}  // namespace paddlestand::config

#include "config.hpp"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <charconv>
#include <cmath>
#include <cstring>

#include "config/read_file.hpp"
#include "config/settings_parser.hpp"

namespace paddlestand::platform {
namespace {

namespace json = boost::json;

constexpr std::size_t max_config_bytes = 64U << 20U;
constexpr std::size_t max_nesting = 32;  // depth of JSON values
constexpr std::uint32_t max_connections_per_engine = 16;  // far more streams than an engine has sessions
constexpr Duration min_connect_timeout = std::chrono::milliseconds(50);
constexpr Duration min_idle_lifetime = std::chrono::milliseconds(200);

/// Thrown, within this file only, for the first missing or invalid value.
struct ConfigError {
  std::string text;
};

// ---- Validated access to JSON values ----

std::string_view view_of(const json::string& text) { return {text.data(), text.size()}; }

const json::value& member(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr) throw ConfigError{std::string(name) + ": missing"};
  return *value;
}

const json::object& object_at(const json::object& object, std::string_view name) {
  const json::value& value = member(object, name);
  if (!value.is_object()) throw ConfigError{std::string(name) + ": expected an object"};
  return value.get_object();
}

std::string text_at(const json::object& object, std::string_view name) {
  const json::value& value = member(object, name);
  if (!value.is_string()) throw ConfigError{std::string(name) + ": expected a string"};
  return std::string(view_of(value.get_string()));
}

double number_at(const json::object& object, std::string_view name, double min, double max) {
  const json::value& value = member(object, name);
  json::error_code error;
  const auto number = value.is_number() ? value.to_number<double>(error) : std::nan("");
  if (error || !(number >= min && number <= max)) {
    throw ConfigError{std::string(name) + ": expected a number from " + std::to_string(min) + " to " +
                      std::to_string(max)};
  }
  return number;
}

std::uint64_t integer_at(const json::object& object, std::string_view name) {
  json::error_code error;
  const json::value& value = member(object, name);
  const auto number = value.is_number() ? value.to_number<std::uint64_t>(error) : 0;
  if (error || !value.is_number())
    throw ConfigError{std::string(name) + ": expected a non-negative whole number"};
  return number;
}

// ---- Conversion of the settings to the lines that config::parse_settings() reads ----

void append_scalar(std::string& out, const json::value& value) {
  if (value.is_string()) {
    std::string text(view_of(value.get_string()));
    std::replace_if(
        text.begin(), text.end(), [](char c) { return c == ' ' || c == ',' || c == '\n'; }, '_');
    out += text;
  } else if (value.is_bool()) {
    out += value.get_bool() ? "true" : "false";
  } else if (value.is_int64()) {
    out += std::to_string(value.get_int64());
  } else if (value.is_uint64()) {
    out += std::to_string(value.get_uint64());
  } else if (value.is_double()) {
    std::array<char, 32> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value.get_double()).ptr;
    out.append(digits.data(), end);
  }
}

bool is_compound(const json::value& value) { return value.is_object() || value.is_array(); }

void append_lines(std::string& out, const std::string& path, const json::value& value);

void append_lines(std::string& out, const std::string& path, const json::object& object) {
  const std::string prefix = path.empty() ? "" : path + ".";
  for (const auto& [key, item] : object) append_lines(out, prefix + std::string(key), item);
}

void append_lines(std::string& out, const std::string& path, const json::array& items) {
  if (std::any_of(items.begin(), items.end(), is_compound)) {
    out += path + ".count=" + std::to_string(items.size()) + "\n";
    for (std::size_t i = 0; i < items.size(); ++i)
      append_lines(out, path + "." + std::to_string(i), items[i]);
    return;
  }
  out += path + "=";
  for (std::size_t i = 0; i < items.size(); ++i) {
    if (i > 0) out += ",";
    append_scalar(out, items[i]);
  }
  out += "\n";
}

void append_lines(std::string& out, const std::string& path, const json::value& value) {
  if (value.is_null()) return;
  if (value.is_object()) {
    append_lines(out, path, value.get_object());
  } else if (value.is_array()) {
    append_lines(out, path, value.get_array());
  } else {
    out += path + "=";
    append_scalar(out, value);
    out += "\n";
  }
}

// append_scalar() replaces spaces and commas in names. Clients and engines use the names as they are in the
// JSON, so those are restored here.
void restore_names(auto& items, const json::object& settings, std::string_view list_name) {
  const json::value* const list = settings.if_contains(list_name);
  if (list == nullptr || !list->is_array()) return;
  const json::array& named = list->get_array();
  for (std::size_t i = 0; i < std::min(items.size(), named.size()); ++i)
    if (named[i].is_object()) items[i].name = text_at(named[i].get_object(), "name");
}

// ---- Known events ----

// Resolves an entry of one of the lists in the settings, given by index or by name.
std::uint32_t index_in(const json::object& settings, std::string_view list, const json::value& named) {
  if (named.is_int64() && named.get_int64() >= 0) return static_cast<std::uint32_t>(named.get_int64());
  const json::value& names = member(settings, list);
  if (names.is_array() && named.is_string()) {
    const json::array& all = names.get_array();
    const auto found = std::find(all.begin(), all.end(), named);
    if (found != all.end()) return static_cast<std::uint32_t>(found - all.begin());
  }
  throw ConfigError{"engine refers to an unknown entry of the settings' " + std::string(list)};
}

EngineId read_engine_id(const json::object& instance) {
  const std::string text = text_at(instance, "instanceId");
  const char* const end = text.data() + text.size();
  EngineId id{};
  if (!text.starts_with("s-") || text.size() != 10 ||
      std::from_chars(text.data() + 2, end, id, 16).ptr != end)
    throw ConfigError{"instanceId: expected s- and 8 hex digits"};
  return id;
}

EngineState read_engine_state(const json::object& instance) {
  const std::string text = text_at(instance, "lifecycle");
  if (text == "active") return EngineState::ready;
  if (text == "leaving") return EngineState::draining;
  if (text == "left") return EngineState::removed;
  throw ConfigError{"lifecycle: expected active, leaving or left"};
}

discovery::Record read_instance(const json::object& instance, const json::object& settings) {
  discovery::Record record;
  record.entry.engine = read_engine_id(instance);
  const auto address = parse_address(text_at(instance, "hostPort"));
  if (const auto* problem = std::get_if<Problem>(&address)) throw ConfigError{"hostPort: " + problem->text};
  record.address = std::get<Address>(address).host;
  record.port = std::get<Address>(address).port;
  record.entry.zone = index_in(settings, "areas", member(instance, "zone"));
  record.entry.kind = index_in(settings, "flavors", member(instance, "machineType"));
  record.entry.cell = static_cast<std::uint32_t>(number_at(instance, "cell", 0, 65535));
  record.entry.state = read_engine_state(instance);
  record.entry.weight = number_at(instance, "weight", 0, 1e9);
  record.entry.started =
      std::chrono::milliseconds{static_cast<std::int64_t>(number_at(instance, "startedAtMs", 0, 9e15))};
  return record;
}

discovery::Event read_event(const json::value& value, const json::object& settings) {
  if (!value.is_object()) throw ConfigError{"cmds: expected objects"};
  discovery::Event event;
  event.number = integer_at(value.get_object(), "cursor");
  const json::object& nodes = object_at(value.get_object(), "nodes");
  const json::value& reset = member(nodes, "reset");
  event.is_full_list = reset.is_bool() && reset.get_bool();
  const json::value& instances = member(nodes, "instances");
  if (!instances.is_array()) throw ConfigError{"instances: expected an array"};
  for (const json::value& instance : instances.get_array()) {
    if (!instance.is_object()) throw ConfigError{"instances: expected objects"};
    event.records.push_back(read_instance(instance.get_object(), settings));
  }
  return event;
}

Address address_at(const json::object& object, std::string_view name) {
  const auto address = parse_address(text_at(object, name));
  if (const auto* problem = std::get_if<Problem>(&address))
    throw ConfigError{std::string(name) + ": " + problem->text};
  return std::get<Address>(address);
}

Duration duration_at(const json::object& object, std::string_view name) {
  return Duration{static_cast<std::int64_t>(number_at(object, name, 0, 9e18))};
}

// ---- Sections of the file ----

json::value parse_json(std::string_view text) {
  json::parse_options options;
  options.max_depth = max_nesting;
  json::error_code error;
  json::value parsed = json::parse(text, error, {}, options);
  if (error) throw ConfigError{"invalid JSON: " + error.message()};
  if (!parsed.is_object()) throw ConfigError{"expected an object"};
  return parsed;
}

Limits read_limits(const json::object& top) {
  Limits limits;
  const json::value* const value = top.if_contains("limits");
  if (value == nullptr || !value->is_object()) return limits;
  const json::object& object = value->get_object();
  if (object.contains("memory_mb")) limits.memory_mb = number_at(object, "memory_mb", 0, 1e9);
  if (object.contains("sockets"))
    limits.descriptors = static_cast<std::uint32_t>(number_at(object, "sockets", 0, 1e7));
  return limits;
}

void read_settings(PlatformConfig& config, const json::object& settings) {
  std::string lines;
  append_lines(lines, "", settings);
  auto read = config::parse_settings(lines);
  if (const auto* error = std::get_if<config::SettingsError>(&read))
    throw ConfigError{"settings: " + error->text()};
  auto& parsed = std::get<config::ParsedSettings>(read);
  if (parsed.settings.classes.empty()) throw ConfigError{"settings: classes: expected one or more"};
  config.core.module = std::move(parsed.settings);
  restore_names(config.core.module.classes, settings, "classes");
  restore_names(config.core.module.tenants, settings, "tenants");
  config.report_names = std::move(parsed.report_names);
}

void read_seed(PlatformConfig& config, const json::object& top) {
  const std::string text = text_at(top, "seed");
  const char* const end = text.data() + text.size();
  if (text.empty() || std::from_chars(text.data(), end, config.core.module.seed, 16).ptr != end)
    throw ConfigError{"seed: expected hex digits"};
}

void read_permissions(PlatformConfig& config, const json::object& permissions) {
  config.streams_per_connection = static_cast<std::uint32_t>(number_at(permissions, "multiplex", 1, 1e6));
  config.core.channels_per_engine = max_connections_per_engine * config.streams_per_connection;
  // A channel is a stream that ends with its answer, so there are no idle channels; the connection stays
  // open.
  config.core.idle_channels_per_engine = 0;
  config.core.idle_channel_lifetime = std::max(min_idle_lifetime, duration_at(permissions, "conn_idle_ns"));
  config.core.connect_timeout = std::max(min_connect_timeout, duration_at(permissions, "dial_timeout_ns"));
  config.core.probe_timeout = config.core.connect_timeout;
  config.core.cancel_grace = config.core.connect_timeout;
}

void read_known_events(PlatformConfig& config, const json::object& known, const json::object& settings) {
  config.cursor = integer_at(known, "cursor");
  const json::value& events = member(known, "cmds");
  if (!events.is_array()) throw ConfigError{"cmds: expected an array"};
  for (const json::value& event : events.get_array()) config.known.push_back(read_event(event, settings));
}

PlatformConfig parse(std::string_view text) {
  const json::value parsed = parse_json(text);
  const json::object& top = parsed.get_object();
  PlatformConfig config;
  config.name = text_at(top, "name");
  config.listen = address_at(top, "listen");
  config.discovery_endpoint = address_at(top, "channel");
  config.limits = read_limits(top);
  const json::object& settings = object_at(top, "settings");
  read_settings(config, settings);
  read_seed(config, top);
  read_permissions(config, object_at(settings, "permissions"));
  read_known_events(config, object_at(top, "known"), settings);
  return config;
}

}  // namespace

std::variant<Address, Problem> parse_address(std::string_view text) {
  Address address;
  const char* position = text.data();
  const char* const end = position + text.size();
  // Reads a number and the separator after it. The last number, with separator '\0', must end the text.
  const auto next_number = [&](std::uint32_t max, char separator) -> std::optional<std::uint32_t> {
    std::uint32_t value = 0;
    const auto [next, error] = std::from_chars(position, end, value);
    if (error != std::errc{} || value > max) return std::nullopt;
    const bool is_last = separator == '\0';
    if (is_last ? next != end : next == end || *next != separator) return std::nullopt;
    position = is_last ? next : next + 1;
    return value;
  };
  const Problem invalid{"'" + std::string(text.substr(0, 64)) + "': expected an address like 10.0.0.4:4100"};
  for (int i = 0; i < 4; ++i) {
    const auto octet = next_number(255, i < 3 ? '.' : ':');
    if (!octet) return invalid;
    address.host = address.host << 8U | *octet;
  }
  const auto port = next_number(65535, '\0');
  if (!port || *port == 0) return invalid;
  address.port = static_cast<std::uint16_t>(*port);
  return address;
}

std::string text_of(const Address& address) {
  std::string out;
  for (int shift = 24; shift >= 0; shift -= 8)
    out += std::to_string(address.host >> static_cast<unsigned>(shift) & 255U) + (shift > 0 ? "." : ":");
  return out + std::to_string(address.port);
}

std::variant<PlatformConfig, Problem> parse_config(std::string_view text) {
  try {
    return parse(text);
  } catch (const ConfigError& error) { return Problem{error.text}; }
}

std::variant<PlatformConfig, Problem> read_config(const std::string& path) {
  const auto text = config::read_file(path, max_config_bytes);
  if (const auto* error = std::get_if<config::FileError>(&text)) {
    if (error->error_number == EFBIG) return Problem{path + ": larger than 64 MiB"};
    return Problem{path + ": cannot be read: " + std::strerror(error->error_number), error->transient};
  }
  auto config = parse_config(std::get<std::string>(text));
  if (auto* problem = std::get_if<Problem>(&config)) problem->text = path + ": " + problem->text;
  return config;
}

}  // namespace paddlestand::platform

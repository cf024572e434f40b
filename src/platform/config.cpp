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

constexpr std::size_t most_config_bytes = 64U << 20U;
constexpr std::size_t most_depth = 32;
constexpr std::uint32_t links_a_connection =
    16;  // channels full of streams, an engine: far beyond its sessions
constexpr Duration least_connect_time = std::chrono::milliseconds(50);
constexpr Duration least_idle_life = std::chrono::milliseconds(200);

struct Fault {
  std::string text;
};

std::string_view view(const json::string& text) { return {text.data(), text.size()}; }

const json::value& member(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr) throw Fault{std::string(name) + ": is missing"};
  return *value;
}
const json::object& object_in(const json::object& object, std::string_view name) {
  const json::value& value = member(object, name);
  if (!value.is_object()) throw Fault{std::string(name) + "; wanted: an object"};
  return value.get_object();
}
std::string text_in(const json::object& object, std::string_view name) {
  const json::value& value = member(object, name);
  if (!value.is_string()) throw Fault{std::string(name) + "; wanted: text"};
  return std::string(view(value.get_string()));
}
double number_in(const json::object& object, std::string_view name, double least, double most) {
  const json::value& value = member(object, name);
  json::error_code error;
  const auto number = value.is_number() ? value.to_number<double>(error) : std::nan("");
  if (error || !(number >= least && number <= most))
    throw Fault{std::string(name) + "; wanted: a number from " + std::to_string(least) + " to " +
                std::to_string(most)};
  return number;
}
std::uint64_t whole_in(const json::object& object, std::string_view name) {
  json::error_code error;
  const json::value& value = member(object, name);
  const auto number = value.is_number() ? value.to_number<std::uint64_t>(error) : 0;
  if (error || !value.is_number()) throw Fault{std::string(name) + "; wanted: a whole number, not negative"};
  return number;
}

// ---- The settings, as the lines that the simulator's first message has ----

void put_scalar(std::string& out, const json::value& value) {
  if (value.is_string()) {
    std::string text(view(value.get_string()));
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

void flatten(std::string& out, const std::string& path, const json::value& value) {
  if (value.is_null()) return;
  if (value.is_object()) {
    for (const auto& [key, item] : value.get_object())
      flatten(out, path.empty() ? std::string(key) : path + "." + std::string(key), item);
    return;
  }
  if (value.is_array()) {
    const json::array& items = value.get_array();
    const bool plain = std::none_of(items.begin(), items.end(),
                                    [](const json::value& i) { return i.is_object() || i.is_array(); });
    if (!plain) {
      out += path + ".count=" + std::to_string(items.size()) + "\n";
      for (std::size_t i = 0; i < items.size(); ++i) flatten(out, path + "." + std::to_string(i), items[i]);
      return;
    }
    out += path + "=";
    for (std::size_t i = 0; i < items.size(); ++i) {
      if (i > 0) out += ",";
      put_scalar(out, items[i]);
    }
    out += "\n";
    return;
  }
  out += path + "=";
  put_scalar(out, value);
  out += "\n";
}

void take_names(auto& items, const json::object& settings, std::string_view list) {
  const json::value* all = settings.if_contains(list);
  for (std::size_t i = 0; i < items.size() && all != nullptr && all->is_array(); ++i)
    if (i < all->get_array().size() && all->get_array()[i].is_object())
      items[i].name = text_in(all->get_array()[i].get_object(), "name");
}

// ---- Known events ----

std::uint32_t place_in(const json::object& settings, std::string_view list, const json::value& named) {
  if (named.is_int64() && named.get_int64() >= 0) return static_cast<std::uint32_t>(named.get_int64());
  const json::value& names = member(settings, list);
  if (names.is_array() && named.is_string()) {
    const json::array& all = names.get_array();
    const auto found = std::find(all.begin(), all.end(), named);
    if (found != all.end()) return static_cast<std::uint32_t>(found - all.begin());
  }
  throw Fault{"an engine's place is none of the settings' " + std::string(list)};
}

discovery::Record read_instance(const json::object& instance, const json::object& settings) {
  discovery::Record record;
  const std::string id = text_in(instance, "instanceId");
  const char* const end = id.data() + id.size();
  if (!id.starts_with("s-") || id.size() != 10 ||
      std::from_chars(id.data() + 2, end, record.entry.engine, 16).ptr != end)
    throw Fault{"instanceId; wanted: s- and 8 hex digits"};
  const auto address = parse_address(text_in(instance, "hostPort"));
  if (const auto* problem = std::get_if<Problem>(&address)) throw Fault{"hostPort: " + problem->text};
  record.address = std::get<Address>(address).host;
  record.port = std::get<Address>(address).port;
  record.entry.zone = place_in(settings, "areas", member(instance, "zone"));
  record.entry.kind = place_in(settings, "flavors", member(instance, "machineType"));
  record.entry.cell = static_cast<std::uint32_t>(number_in(instance, "cell", 0, 65535));
  const std::string state = text_in(instance, "lifecycle");
  if (state != "active" && state != "leaving" && state != "left")
    throw Fault{"lifecycle; wanted: active, leaving or left"};
  record.entry.state = state == "active"    ? EngineState::ready
                       : state == "leaving" ? EngineState::draining
                                            : EngineState::removed;
  record.entry.weight = number_in(instance, "weight", 0, 1e9);
  record.entry.started =
      std::chrono::milliseconds{static_cast<std::int64_t>(number_in(instance, "startedAtMs", 0, 9e15))};
  return record;
}

discovery::Event read_event(const json::value& value, const json::object& settings) {
  if (!value.is_object()) throw Fault{"cmds; wanted: objects"};
  discovery::Event event;
  event.number = whole_in(value.get_object(), "cursor");
  const json::object& nodes = object_in(value.get_object(), "nodes");
  const json::value& reset = member(nodes, "reset");
  event.whole = reset.is_bool() && reset.get_bool();
  const json::value& instances = member(nodes, "instances");
  if (!instances.is_array()) throw Fault{"instances; wanted: a list"};
  for (const json::value& one : instances.get_array()) {
    if (!one.is_object()) throw Fault{"instances; wanted: objects"};
    event.records.push_back(read_instance(one.get_object(), settings));
  }
  return event;
}

Address address_in(const json::object& object, std::string_view name) {
  const auto address = parse_address(text_in(object, name));
  if (const auto* problem = std::get_if<Problem>(&address))
    throw Fault{std::string(name) + ": " + problem->text};
  return std::get<Address>(address);
}

Duration time_in(const json::object& object, std::string_view name) {
  return Duration{static_cast<std::int64_t>(number_in(object, name, 0, 9e18))};
}

PlatformConfig parse(std::string_view text) {
  json::parse_options options;
  options.max_depth = most_depth;
  json::error_code error;
  const json::value parsed = json::parse(text, error, {}, options);
  if (error) throw Fault{"no JSON: " + error.message()};
  if (!parsed.is_object()) throw Fault{"wanted: one object"};
  const json::object& top = parsed.get_object();
  PlatformConfig config;
  config.name = text_in(top, "name");
  config.listen = address_in(top, "listen");
  config.discovery_endpoint = address_in(top, "channel");
  if (const json::value* limits = top.if_contains("limits"); limits != nullptr && limits->is_object()) {
    const json::object& all = limits->get_object();
    if (all.contains("memory_mb")) config.limits.memory_mb = number_in(all, "memory_mb", 0, 1e9);
    if (all.contains("sockets"))
      config.limits.descriptors = static_cast<std::uint32_t>(number_in(all, "sockets", 0, 1e7));
  }

  const json::object& settings = object_in(top, "settings");
  std::string lines;
  flatten(lines, "", settings);
  auto read = config::parse_settings(lines);
  if (const auto* problem = std::get_if<std::string>(&read)) throw Fault{"settings: " + *problem};
  auto& known = std::get<config::ParsedSettings>(read);
  if (known.settings.classes.empty()) throw Fault{"settings: classes; wanted: one or more"};
  config.core.module = std::move(known.settings);
  // Clients and engines use the names as they are told here; the lines keep no spaces and no commas.
  take_names(config.core.module.classes, settings, "classes");
  take_names(config.core.module.tenants, settings, "tenants");
  config.report_names = std::move(known.report_names);

  const std::string seed = text_in(top, "seed");
  const char* const end = seed.data() + seed.size();
  if (seed.empty() || std::from_chars(seed.data(), end, config.core.module.seed, 16).ptr != end)
    throw Fault{"seed; wanted: hex digits"};

  const json::object& may = object_in(settings, "permissions");
  config.streams_per_connection = static_cast<std::uint32_t>(number_in(may, "multiplex", 1, 1e6));
  config.core.channels_per_engine = links_a_connection * config.streams_per_connection;
  // A channel is a stream, which ends with its answer; what stays open is the channel below it.
  config.core.idle_channels_per_engine = 0;
  config.core.idle_channel_lifetime = std::max(least_idle_life, time_in(may, "conn_idle_ns"));
  config.core.connect_timeout = std::max(least_connect_time, time_in(may, "dial_timeout_ns"));
  config.core.probe_timeout = config.core.connect_timeout;
  config.core.cancel_grace = config.core.connect_timeout;

  const json::object& events = object_in(top, "known");
  config.cursor = whole_in(events, "cursor");
  const json::value& all = member(events, "cmds");
  if (!all.is_array()) throw Fault{"cmds; wanted: a list"};
  for (const json::value& one : all.get_array()) config.known.push_back(read_event(one, settings));
  return config;
}

}  // namespace

std::variant<Address, Problem> parse_address(std::string_view text) {
  Address address;
  const char* at = text.data();
  const char* const end = at + text.size();
  const auto number = [&](std::uint32_t most, char behind) -> std::optional<std::uint32_t> {
    std::uint32_t value = 0;
    const auto [next, error] = std::from_chars(at, end, value);
    if (error != std::errc{} || value > most) return std::nullopt;
    if (behind == '\0' ? next != end : next == end || *next != behind) return std::nullopt;
    at = next + (behind == '\0' ? 0 : 1);
    return value;
  };
  const Problem wanted{"'" + std::string(text.substr(0, 64)) + "'; wanted: an address like 10.0.0.4:4100"};
  for (int i = 0; i < 4; ++i) {
    const auto part = number(255, i < 3 ? '.' : ':');
    if (!part) return wanted;
    address.host = address.host << 8U | *part;
  }
  const auto port = number(65535, '\0');
  if (!port || *port == 0) return wanted;
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
  } catch (const Fault& fault) { return Problem{fault.text}; }
}

std::variant<PlatformConfig, Problem> read_config(const std::string& path) {
  const auto text = config::read_file(path, most_config_bytes);
  if (const auto* error = std::get_if<config::FileError>(&text)) {
    if (error->error_number == EFBIG) return Problem{path + ": is larger than 64 MiB"};
    return Problem{path + ": can't be read: " + std::strerror(error->error_number), error->transient};
  }
  auto config = parse_config(std::get<std::string>(text));
  if (auto* problem = std::get_if<Problem>(&config)) problem->text = path + ": " + problem->text;
  return config;
}

}  // namespace paddlestand::platform

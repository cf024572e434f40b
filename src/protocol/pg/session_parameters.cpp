#include "session_parameters.hpp"

#include <array>
#include <utility>
#include <variant>

#include "sqlstate.hpp"
#include "text.hpp"

namespace paddlestand::pg {
namespace {

constexpr std::size_t max_value_bytes = 256;

std::string key_of(const Parameter& parameter) { return to_lower(parameter.name); }

Fields unknown_parameter(const std::string& name) {
  return error("42704", "parameter \"" + name + "\" is unknown to this workload manager");
}

Fields unsettable_parameter(const std::string& name) {
  return error("0A000", "parameter \"" + name + "\" can't be set through this workload manager");
}

/// The only allowed value of a parameter; nothing if it may have others.
std::optional<std::string_view> fixed_value(std::string_view key) {
  if (key == "standard_conforming_strings" || key == "integer_datetimes") return "on";
  if (key == "default_transaction_read_only" || key == "transaction_read_only") return "off";
  if (key.ends_with("_isolation")) return "read committed";
  return std::nullopt;
}

bool is_read_only(std::string_view key) {
  return key == "server_version" || key == "server_encoding" || key == "is_superuser" ||
         key == "session_authorization";
}

bool is_utf8_encoding(std::string_view value) {
  return value == "utf8" || value == "UTF8" || value == "utf-8" || value == "UTF-8" || value == "unicode";
}

/// Returns an error if the parameter is read-only or the value is not allowed.
std::optional<Fields> check_value(const std::string& key, const std::string& value) {
  if (is_read_only(key)) return error("55P02", "parameter \"" + key + "\" cannot be changed");
  if (key.ends_with("_timeout") && !read_milliseconds(value)) {
    return error("22023", "invalid value for parameter \"" + key + "\": \"" + value +
                              "\"; expected a time such as 500ms");
  }
  if (value.size() > max_value_bytes) return error("22023", "value of parameter \"" + key + "\" is too long");
  return std::nullopt;
}

/// Removes the quotes that the scanner preserves in a token.
std::string unquoted(std::string token) {
  if (token.starts_with('\'')) token.erase(0, 1);
  if (token.size() > 1 && token.starts_with('"')) token = token.substr(1, token.size() - 2);
  return token;
}

/// Joins the tokens of a value with spaces, except before a comma and after a plus or minus sign.
std::string join_value(const std::vector<std::string>& tokens, std::size_t first) {
  std::string value;
  for (std::size_t i = first; i < tokens.size(); ++i) {
    const bool is_adjacent =
        tokens[i] == "," || value.empty() || value.ends_with('-') || value.ends_with('+');
    if (!is_adjacent) value += " ";
    value += unquoted(tokens[i]);
  }
  return value;
}

bool is_transaction_scoped(std::string_view token) {
  return token == "local" || token == "transaction" || token == "characteristics" || token == "constraints" ||
         token == "role" || token == "authorization";
}

/// The subject of a SET, SHOW or RESET statement.
struct Command {
  std::string name;  // the parameter's name, or "all"
  std::size_t value_at = 0;  // index of the value's first token
};

std::variant<Command, Fields> parse_command(const std::vector<std::string>& tokens) {
  const std::string& verb = tokens[0];
  std::size_t at = 1;
  if (verb == "set" && tokens.size() > at && tokens[at] == "session") ++at;
  if (tokens.size() <= at) return error("42601", "missing parameter name");
  if (verb != "show" && is_transaction_scoped(tokens[at]))
    return error("0A000", "SET " + tokens[at] + " is not supported by this workload manager");
  const std::string name = unquoted(tokens[at]);
  ++at;
  if (name == "time" && tokens.size() > at && tokens[at] == "zone") return Command{"timezone", at + 1};
  if (name == "transaction" && tokens.size() > at + 1 && tokens[at] == "isolation")
    return Command{"transaction_isolation", at + 2};
  if (name == "names") return Command{"client_encoding", at};
  if (verb != "set") return Command{name, at};
  if (tokens.size() <= at || (tokens[at] != "=" && tokens[at] != "to"))
    return error("42601", "expected SET name = value");
  return Command{name, at + 1};
}

}  // namespace

std::string SessionParameters::value_of(const std::string& key) const {
  if (key == "session_authorization") return user_;
  if (const auto found = values_.find(key); found != values_.end()) return found->second;
  const Parameter* parameter = find_parameter(key);
  return parameter == nullptr ? std::string{} : std::string(parameter->default_value);
}

std::optional<Fields> SessionParameters::set(const std::string& name, const std::string& value,
                                             std::string& out) {
  const Parameter* parameter = find_parameter(name);
  if (parameter == nullptr) return unsettable_parameter(name);
  const std::string key = key_of(*parameter);
  if (key == "client_encoding") {
    if (!is_utf8_encoding(value))
      return error("0A000", "client_encoding can only be UTF8 in this workload manager");
    return std::nullopt;
  }
  if (const auto fixed = fixed_value(key)) {
    if (to_lower(value) == *fixed) return std::nullopt;
    return error("0A000", "parameter \"" + key + "\" can only be " + std::string(*fixed) +
                              " in this workload manager");
  }
  if (auto problem = check_value(key, value)) return problem;
  values_[key] = value;
  if (parameter->is_reported) put_parameter(out, parameter->name, value);
  return std::nullopt;
}

std::optional<Fields> SessionParameters::execute(const std::vector<std::string>& tokens,
                                                 RowDescription row_description, std::string& out) {
  const auto parsed = parse_command(tokens);
  if (const auto* problem = std::get_if<Fields>(&parsed)) return *problem;
  const auto& [name, value_at] = std::get<Command>(parsed);
  if (tokens[0] == "show") return show(name, row_description, out);
  if (tokens[0] == "reset") return reset(name, out);

  if (tokens.size() <= value_at) return error("42601", "expected SET name = value");
  const std::string value = join_value(tokens, value_at);
  const bool is_default = value == "default" && tokens[value_at] == "default";
  auto problem = is_default ? reset_to_default(name) : set(name, value, out);
  if (problem) return problem;
  put_complete(out, "SET");
  return std::nullopt;
}

std::optional<Fields> SessionParameters::show(const std::string& name, RowDescription row_description,
                                              std::string& out) const {
  const Parameter* parameter = find_parameter(name);
  if (parameter == nullptr) return unknown_parameter(name);
  const std::string value = value_of(key_of(*parameter));
  const Column column{name, text_type_oid, -1};
  const std::string_view cell = value;
  if (row_description == RowDescription::include) put_row_description(out, {&column, 1});
  put_row(out, {&cell, 1});
  put_complete(out, "SHOW");
  return std::nullopt;
}

std::optional<Fields> SessionParameters::reset(const std::string& name, std::string& out) {
  const Parameter* parameter = find_parameter(name);
  const bool resets_all = name == "all";
  if (!resets_all && parameter == nullptr) return unknown_parameter(name);
  const auto earlier = values_;
  if (resets_all) {
    values_ = startup_values_;
  } else {
    restore_startup_value(key_of(*parameter));
  }
  for (const Parameter& reported : reported_parameters()) {
    const std::string key = key_of(reported);
    if (earlier.contains(key) && (resets_all || parameter->name == reported.name))
      put_parameter(out, reported.name, value_of(key));
  }
  put_complete(out, "RESET");
  return std::nullopt;
}

std::optional<Fields> SessionParameters::reset_to_default(const std::string& name) {
  const Parameter* parameter = find_parameter(name);
  if (parameter == nullptr) return unsettable_parameter(name);
  restore_startup_value(key_of(*parameter));
  return std::nullopt;
}

void SessionParameters::restore_startup_value(const std::string& key) {
  const auto found = startup_values_.find(key);
  if (found == startup_values_.end()) {
    values_.erase(key);
  } else {
    values_[key] = found->second;
  }
}

void SessionParameters::report_all(std::string& out) const {
  for (const Parameter& parameter : reported_parameters())
    put_parameter(out, parameter.name, value_of(key_of(parameter)));
}

std::map<std::string, std::string> SessionParameters::engine_settings() const {
  std::map<std::string, std::string> settings;
  for (const auto& [key, value] : values_) {
    const Parameter* parameter = find_parameter(key);
    if (parameter != nullptr && parameter->is_forwarded && value != parameter->default_value)
      settings[key] = value;
  }
  return settings;
}

std::optional<Duration> SessionParameters::statement_timeout() const {
  const auto found = values_.find("statement_timeout");
  if (found == values_.end()) return std::nullopt;
  const auto milliseconds = read_milliseconds(found->second);
  if (!milliseconds || *milliseconds <= 0) return std::nullopt;
  return std::chrono::milliseconds(*milliseconds);
}

}  // namespace paddlestand::pg

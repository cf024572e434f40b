#include "statements.hpp"

#include <algorithm>
#include <array>
#include <charconv>

#include "sqlstate.hpp"
#include "text.hpp"

namespace paddlestand::pg {
namespace {

// Name, default, forwarded to engines, reported to clients.
constexpr std::array parameters{
    Parameter{"application_name", "", false, true},
    Parameter{"client_encoding", "UTF8", false, true},
    Parameter{"client_min_messages", "notice", false, false},
    Parameter{"default_transaction_isolation", "read committed", false, false},
    Parameter{"default_transaction_read_only", "off", false, false},
    Parameter{"idle_in_transaction_session_timeout", "0", false, false},
    Parameter{"integer_datetimes", "on", false, true},
    Parameter{"is_superuser", "off", false, true},
    Parameter{"lock_timeout", "0", false, false},
    Parameter{"server_encoding", "UTF8", false, true},
    Parameter{"server_version", "15.0 (paddlestand)", false, true},
    Parameter{"session_authorization", "", false, true},
    Parameter{"standard_conforming_strings", "on", false, true},
    Parameter{"statement_timeout", "0", false, false},
    Parameter{"transaction_isolation", "read committed", false, false},
    Parameter{"transaction_read_only", "off", false, false},
    Parameter{"DateStyle", "ISO, MDY", true, true},
    Parameter{"IntervalStyle", "postgres", true, true},
    Parameter{"TimeZone", "UTC", true, true},
    Parameter{"bytea_output", "hex", true, false},
    Parameter{"extra_float_digits", "1", true, false},
};

constexpr double max_milliseconds = 2147483647;  // PostgreSQL's limit

using Tokens = std::vector<std::string>;

bool is_any_of(std::string_view token, std::initializer_list<std::string_view> candidates) {
  return std::find(candidates.begin(), candidates.end(), token) != candidates.end();
}

bool is_temporary(std::string_view token) { return is_any_of(token, {"temp", "temporary"}); }

bool is_setting(const Tokens& tokens) {
  return !tokens.empty() && is_any_of(tokens[0], {"set", "show", "reset"});
}

bool creates_temporary_table(const Tokens& tokens) {
  if (tokens[0] == "create" && tokens.size() > 1) {
    if (is_any_of(tokens[1], {"temp", "temporary", "local", "global"})) return true;
    return tokens.size() > 4 && tokens[1] == "or" && is_temporary(tokens[3]);
  }
  return tokens[0] == "select" && std::find(tokens.begin(), tokens.end(), "into") != tokens.end() &&
         std::any_of(tokens.begin(), tokens.end(), is_temporary);
}

/// The kind of an unsupported statement, for the error message; nothing for a supported one.
std::optional<std::string_view> unsupported_kind(const Tokens& tokens) {
  if (tokens.empty()) return std::nullopt;
  const std::string& verb = tokens[0];
  if (is_any_of(verb, {"begin", "start", "commit", "end", "rollback", "abort", "savepoint", "release"}))
    return "an explicit transaction";
  if (verb == "copy") return "COPY";
  if (is_any_of(verb, {"listen", "notify", "unlisten"})) return "LISTEN/NOTIFY";
  if (is_any_of(verb, {"prepare", "execute", "deallocate"})) return "an SQL-level prepared statement";
  if (is_any_of(verb, {"declare", "fetch", "move", "close"})) return "an SQL-level cursor";
  if (is_any_of(verb, {"discard", "lock", "load"})) return "session state";
  if (creates_temporary_table(tokens)) return "a temporary table";
  return std::nullopt;
}

/// The number of milliseconds in a unit; nothing for an unknown unit.
std::optional<double> milliseconds_per(std::string_view unit) {
  if (unit.empty() || unit == "ms") return 1;
  if (unit == "s") return 1000;
  if (unit == "min") return 60'000;
  if (unit == "h") return 3'600'000;
  return std::nullopt;
}

}  // namespace

std::optional<Fields> find_unsupported(const sql::Scanned& scanned) {
  if (scanned.has_too_many_statements)
    return error("54000", "more than " + std::to_string(sql::max_statements) + " statements in one query");
  for (const sql::Statement& statement : scanned.statements) {
    if (const auto kind = unsupported_kind(statement.tokens))
      return error("0A000", std::string(*kind) + " is not supported by this workload manager");
  }
  return std::nullopt;
}

bool are_all_settings(const sql::Scanned& scanned) {
  return !scanned.statements.empty() &&
         std::all_of(scanned.statements.begin(), scanned.statements.end(),
                     [](const sql::Statement& statement) { return is_setting(statement.tokens); });
}

bool has_setting(const sql::Scanned& scanned) {
  return std::any_of(scanned.statements.begin(), scanned.statements.end(),
                     [](const sql::Statement& statement) { return is_setting(statement.tokens); });
}

Fields mixed_statements_error() {
  return error("0A000", "SET, SHOW and RESET can't be combined with other statements in one request");
}

const Parameter* find_parameter(std::string_view name) {
  const std::string lower_name = to_lower(name);
  const auto found = std::find_if(parameters.begin(), parameters.end(), [&](const Parameter& parameter) {
    return to_lower(parameter.name) == lower_name;
  });
  return found == parameters.end() ? nullptr : &*found;
}

std::vector<Parameter> reported_parameters() {
  std::vector<Parameter> reported;
  std::copy_if(parameters.begin(), parameters.end(), std::back_inserter(reported),
               [](const Parameter& parameter) { return parameter.is_reported; });
  return reported;
}

std::optional<long> read_milliseconds(std::string_view text) {
  double value = 0;
  const char* const text_end = text.data() + text.size();
  const auto [end, problem] = std::from_chars(text.data(), text_end, value);
  if (problem != std::errc{} || !(value >= 0) || value > max_milliseconds) return std::nullopt;
  std::string unit = to_lower(std::string_view(end, static_cast<std::size_t>(text_end - end)));
  std::erase(unit, ' ');
  const auto factor = milliseconds_per(unit);
  if (!factor || value * *factor > max_milliseconds) return std::nullopt;
  return static_cast<long>(value * *factor);
}

}  // namespace paddlestand::pg

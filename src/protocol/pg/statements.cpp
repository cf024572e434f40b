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

constexpr double max_milliseconds = 2147483647;  // PostgreSQL's own bound

using Words = std::vector<std::string>;

bool is_any_of(std::string_view word, std::initializer_list<std::string_view> words) {
  return std::find(words.begin(), words.end(), word) != words.end();
}

bool is_temporary(std::string_view word) { return is_any_of(word, {"temp", "temporary"}); }

bool is_setting(const Words& words) {
  return !words.empty() && is_any_of(words[0], {"set", "show", "reset"});
}

bool creates_temporary_table(const Words& words) {
  if (words[0] == "create" && words.size() > 1) {
    if (is_any_of(words[1], {"temp", "temporary", "local", "global"})) return true;
    return words.size() > 4 && words[1] == "or" && is_temporary(words[3]);
  }
  return words[0] == "select" && std::find(words.begin(), words.end(), "into") != words.end() &&
         std::any_of(words.begin(), words.end(), is_temporary);
}

/// What an unsupported statement is called in its error; nothing for a supported one.
std::optional<std::string_view> unsupported_kind(const Words& words) {
  if (words.empty()) return std::nullopt;
  const std::string& verb = words[0];
  if (is_any_of(verb, {"begin", "start", "commit", "end", "rollback", "abort", "savepoint", "release"}))
    return "an explicit transaction";
  if (verb == "copy") return "COPY";
  if (is_any_of(verb, {"listen", "notify", "unlisten"})) return "LISTEN and NOTIFY";
  if (is_any_of(verb, {"prepare", "execute", "deallocate"})) return "a prepared statement by SQL";
  if (is_any_of(verb, {"declare", "fetch", "move", "close"})) return "a cursor by SQL";
  if (is_any_of(verb, {"discard", "lock", "load"})) return "session state";
  if (creates_temporary_table(words)) return "a temporary table";
  return std::nullopt;
}

/// The milliseconds in a unit; nothing for an unknown one.
std::optional<double> milliseconds_per(std::string_view unit) {
  if (unit.empty() || unit == "ms") return 1;
  if (unit == "s") return 1000;
  if (unit == "min") return 60'000;
  if (unit == "h") return 3'600'000;
  return std::nullopt;
}

}  // namespace

std::optional<Fields> find_unsupported(const sql::Scanned& scanned) {
  if (scanned.too_many)
    return error("54000", "more than " + std::to_string(sql::max_statements) + " statements in one query");
  for (const sql::Statement& statement : scanned.statements) {
    if (const auto kind = unsupported_kind(statement.words))
      return error("0A000", std::string(*kind) + " is not carried by this workload manager");
  }
  return std::nullopt;
}

bool are_all_settings(const sql::Scanned& scanned) {
  return !scanned.statements.empty() &&
         std::all_of(scanned.statements.begin(), scanned.statements.end(),
                     [](const sql::Statement& statement) { return is_setting(statement.words); });
}

bool has_setting(const sql::Scanned& scanned) {
  return std::any_of(scanned.statements.begin(), scanned.statements.end(),
                     [](const sql::Statement& statement) { return is_setting(statement.words); });
}

Fields mixed_statements_error() {
  return error("0A000", "SET, SHOW and RESET can't share a request with other statements here");
}

const Parameter* find_parameter(std::string_view name) {
  const std::string wanted = to_lower(name);
  const auto found = std::find_if(parameters.begin(), parameters.end(), [&](const Parameter& parameter) {
    return to_lower(parameter.name) == wanted;
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

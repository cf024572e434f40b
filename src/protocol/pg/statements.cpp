#include "statements.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace paddlestand::pg {
namespace {

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

std::string lower(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return out;
}

bool among(std::string_view word, std::initializer_list<std::string_view> words) {
  return std::find(words.begin(), words.end(), word) != words.end();
}

}  // namespace

StatementReading read_statement(const std::vector<std::string>& words) {
  if (words.empty()) return {};
  const std::string& first = words[0];
  const std::string_view second = words.size() > 1 ? std::string_view(words[1]) : std::string_view{};
  if (among(first, {"set", "show", "reset"})) return {StatementKind::setting, {}};
  if (among(first, {"begin", "start", "commit", "end", "rollback", "abort", "savepoint", "release"}))
    return {StatementKind::not_carried, "an explicit transaction"};
  if (first == "copy") return {StatementKind::not_carried, "COPY"};
  if (among(first, {"listen", "notify", "unlisten"}))
    return {StatementKind::not_carried, "LISTEN and NOTIFY"};
  if (among(first, {"prepare", "execute", "deallocate"}))
    return {StatementKind::not_carried, "a prepared statement by SQL"};
  if (among(first, {"declare", "fetch", "move", "close"}))
    return {StatementKind::not_carried, "a cursor by SQL"};
  if (among(first, {"discard", "lock", "load"})) return {StatementKind::not_carried, "session state"};
  if (first == "create" && (among(second, {"temp", "temporary", "local", "global"}) ||
                            (words.size() > 4 && second == "or" && among(words[3], {"temp", "temporary"}))))
    return {StatementKind::not_carried, "a temporary table"};
  if (first == "select" && std::find(words.begin(), words.end(), "into") != words.end() &&
      std::any_of(words.begin(), words.end(), [](const std::string& w) {
        return among(w, {"temp", "temporary"});
      }))
    return {StatementKind::not_carried, "a temporary table"};
  return {};
}

const Parameter* find_parameter(std::string_view name) {
  const std::string wanted = lower(name);
  for (const Parameter& parameter : parameters)
    if (lower(parameter.name) == wanted) return &parameter;
  return nullptr;
}

std::vector<Parameter> reported_parameters() {
  std::vector<Parameter> out;
  std::copy_if(parameters.begin(), parameters.end(), std::back_inserter(out),
               [](const Parameter& p) { return p.reported; });
  return out;
}

std::optional<long> read_milliseconds(std::string_view text) {
  double value = 0;
  const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (problem != std::errc{} || !(value >= 0) || value > 2147483647.0) return std::nullopt;
  std::string unit = lower(std::string_view(end, static_cast<std::size_t>(text.data() + text.size() - end)));
  std::erase(unit, ' ');
  const double times = unit.empty() || unit == "ms" ? 1
                       : unit == "s"                ? 1000
                       : unit == "min"              ? 60000
                       : unit == "h"                ? 3600000
                                                    : -1;
  if (times < 0 || value * times > 2147483647.0) return std::nullopt;
  return static_cast<long>(value * times);
}

}  // namespace paddlestand::pg

/// What the manager makes of a statement by its first words: forwarded to an engine, answered here, or
/// unsupported; and the run-time parameters that it knows.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "messages.hpp"
#include "protocol/sql/scan.hpp"

namespace paddlestand::pg {

/// The error of the first statement that the manager supports neither here nor at an engine, or of too many
/// statements in one text.
std::optional<Fields> find_unsupported(const sql::Scanned& scanned);

/// Whether there are statements, and all are SET, SHOW or RESET, which the manager answers itself.
[[nodiscard]] bool are_all_settings(const sql::Scanned& scanned);
/// Whether any of them is.
[[nodiscard]] bool has_setting(const sql::Scanned& scanned);
/// The error of a request where these are mixed with others.
Fields mixed_statements_error();

/// A parameter that sessions may set, or only read.
struct Parameter {
  std::string_view name;  ///< as it is written to clients
  std::string_view default_value;
  bool is_forwarded;  ///< changes answers: engines are given it with each query
  bool is_reported;  ///< by ParameterStatus
};
/// By its name in any case; null where it is not known.
const Parameter* find_parameter(std::string_view name);
std::vector<Parameter> reported_parameters();

/// A time such as "1500", "1500ms", "2s", "1min" or "1h" in milliseconds; nothing where it is malformed.
std::optional<long> read_milliseconds(std::string_view text);

}  // namespace paddlestand::pg

/// Decides by a statement's first tokens whether it is forwarded to an engine, answered by the manager or
/// unsupported; and defines the run-time parameters that the manager knows.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "messages.hpp"
#include "protocol/sql/scan.hpp"

namespace paddlestand::pg {

/// Returns the error for the first unsupported statement, or for too many statements in one text; nothing if
/// all can be handled.
std::optional<Fields> find_unsupported(const sql::Scanned& scanned);

/// Whether there is at least one statement and all are SET, SHOW or RESET, which the manager answers itself.
[[nodiscard]] bool are_all_settings(const sql::Scanned& scanned);
/// Whether any statement is SET, SHOW or RESET.
[[nodiscard]] bool has_setting(const sql::Scanned& scanned);
/// The error for a request that mixes SET, SHOW or RESET with other statements.
Fields mixed_statements_error();

/// A run-time parameter that the manager knows. Some can only be read.
struct Parameter {
  std::string_view name;  ///< as reported to clients
  std::string_view default_value;
  bool is_forwarded;  ///< affects answers, so it is set at an engine with each query
  bool is_reported;  ///< in ParameterStatus messages
};
/// Finds a parameter by its case-insensitive name; null if it is unknown.
const Parameter* find_parameter(std::string_view name);
std::vector<Parameter> reported_parameters();

/// A time such as "1500", "1500ms", "2s", "1min" or "1h" in milliseconds; nothing if it is malformed.
std::optional<long> read_milliseconds(std::string_view text);

}  // namespace paddlestand::pg

// What the manager makes of a statement by its first words: carried to an engine, answered here, or not
// carried.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace paddlestand::pg {

enum class StatementKind : unsigned char { carried, setting, not_carried };

struct StatementReading {
  StatementKind kind = StatementKind::carried;
  std::string what;  // not carried: what it is called
};

StatementReading read_statement(const std::vector<std::string>& words);

// A parameter that sessions may set. Carried ones change answers and are told to engines with each query.
struct Parameter {
  std::string_view name;  // as it is written to clients
  std::string_view usual;
  bool carried;
  bool reported;  // by ParameterStatus
};
// By its name in any case; nothing where it is not known.
const Parameter* find_parameter(std::string_view name);
std::vector<Parameter> reported_parameters();

// "1500", "1500ms", "2s", "1min", "1h" in milliseconds.
std::optional<long> read_milliseconds(std::string_view text);

}  // namespace paddlestand::pg

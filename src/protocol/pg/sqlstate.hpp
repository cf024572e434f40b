/// SQLSTATE codes (appendix A of PostgreSQL's manual): the classification of engines' errors for the core,
/// and the codes of the manager's own answers. The tables are documented in docs/engine-protocol.md and
/// docs/operators/answers.md.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "core/types.hpp"
#include "messages.hpp"

namespace paddlestand::pg {

/// How an answer with this error ended. An error that the statement itself causes (its syntax, data or
/// privileges) is a complete answer, because any engine would return it. `rows_before`: whether rows
/// preceded the error.
core::Ending ending_of_error(std::string_view sqlstate, bool rows_before);

/// Whether an error during the login, before any query, means that the engine has no capacity.
bool is_capacity_error(std::string_view sqlstate);

/// The error that a client receives for a final answer other than `served`.
Fields fields_of(const core::Answer& answer);

/// The retry advice in a hint such as "retry_after_ms=120; repeat=harmless": when to retry, and whether the
/// query had no effect. For clients and tests.
struct Advice {
  std::optional<std::chrono::milliseconds> retry_after;
  std::optional<bool> harmless;
};
/// Parses a hint. Missing and malformed parts are absent from the advice.
Advice read_advice(std::string_view hint);

/// The fields of an error with severity ERROR.
Fields error(std::string_view sqlstate, std::string message, std::string hint = {});

}  // namespace paddlestand::pg

/// SQLSTATE codes (appendix A of PostgreSQL's manual): what an engine's mean to the core, and those of the
/// manager's own answers. The tables are documented in docs/engine-protocol.md and docs/operators/answers.md.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "core/types.hpp"
#include "messages.hpp"

namespace paddlestand::pg {

/// How an answer with this error ended. An error that the statement itself causes (its syntax, data or
/// privileges) is a complete answer: it would be the same at any engine. `rows_before`: rows came before the
/// error.
core::Ending ending_of_error(std::string_view sqlstate, bool rows_before);

/// Whether an error during the login, before any query, says that the engine has no capacity.
bool startup_says_full(std::string_view sqlstate);

/// The error by which a client is sent a final answer other than `served`.
Fields fields_of(const core::Answer& answer);

/// The advice in a hint such as "retry_after_ms=120; repeat=harmless": when to retry, and whether the query
/// had no effect. For clients and tests.
struct Advice {
  std::optional<std::chrono::milliseconds> retry_after;
  std::optional<bool> harmless;
};
/// What is missing or malformed in the hint is absent in the advice.
Advice read_advice(std::string_view hint);

/// The fields of an error of severity ERROR.
Fields error(std::string_view sqlstate, std::string message, std::string hint = {});

}  // namespace paddlestand::pg

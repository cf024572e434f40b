// What an engine's SQLSTATE means in the words of the core, and what the manager's own answers are called.
// The tables stand in docs/engine-protocol.md and docs/operators/answers.md; this is where they are made
// true.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "core/types.hpp"
#include "messages.hpp"

namespace paddlestand::pg {

// How an answer that held this error ended. What a statement deserved (its syntax, its data, its rights) is a
// complete answer: it would end so at any engine.
core::Ending ending_of_error(std::string_view sqlstate, bool rows_before);

// An error at the start of a connection, before any query: the engine is full, or not to be used.
bool startup_says_full(std::string_view sqlstate);

// The error that carries a final answer other than `served`.
Fields fields_of(const core::Answer& answer);

// The advice in a hint: "retry_after_ms=120; repeat=harmless". For clients and tests.
struct Advice {
  std::optional<std::chrono::milliseconds> retry_after;
  std::optional<bool> harmless;
};
Advice read_advice(std::string_view hint);

Fields error(std::string_view sqlstate, std::string message, std::string hint = {});

}  // namespace paddlestand::pg

/// String constants of the logs of a day (*.jsonl). Clients, test engines and the scenario runner write them;
/// the trace checker reads them. The strings are a file format and must not change, because logs of earlier
/// versions must remain readable. The names of the constants follow the terms of the code.
#pragma once

#include <string_view>

namespace paddlestand::trace_checker {

/// Values of "what".
namespace log_event {

// Written by clients.
inline constexpr std::string_view request_sent = "asked";
inline constexpr std::string_view answer_received = "answer";
inline constexpr std::string_view surplus_message = "extra";  // after the final answer

// Written by test engines, about a query.
inline constexpr std::string_view query_received = "received";
inline constexpr std::string_view query_started = "started";
inline constexpr std::string_view query_applied = "applied";  // executed completely
inline constexpr std::string_view query_answered = "ended";
inline constexpr std::string_view query_cancelled = "cancelled";
inline constexpr std::string_view query_failed = "failed";
inline constexpr std::string_view query_rejected = "full";
inline constexpr std::string_view connection_closed = "link_closed";
inline constexpr std::string_view answer_truncated = "muted";
inline constexpr std::string_view answer_lost = "answer_lost";

// Written by test engines and the scenario runner, about an engine.
inline constexpr std::string_view engine_started = "up";
inline constexpr std::string_view engine_exited = "died";
inline constexpr std::string_view engine_crashed = "fell";  // overloaded during its slow start
inline constexpr std::string_view engine_listed = "listed";
inline constexpr std::string_view fault_injected = "trouble";

// Written by the scenario runner, about a manager.
inline constexpr std::string_view manager_killed = "manager_killed";
inline constexpr std::string_view manager_shut_down = "manager_down";

}  // namespace log_event

/// Values of "kind" of an answer.
namespace answer_kind {

inline constexpr std::string_view served = "served";
inline constexpr std::string_view rejected = "refused";
inline constexpr std::string_view failed = "failed";
inline constexpr std::string_view late = "late";
inline constexpr std::string_view cancelled = "cancelled";
inline constexpr std::string_view disconnected = "gone";  // the client closed the connection
inline constexpr std::string_view lost = "lost";
inline constexpr std::string_view unanswered = "unanswered";
inline constexpr std::string_view unreached = "unreached";

}  // namespace answer_kind

/// Values of "state" of an engine in the engine list.
namespace listed_state {

inline constexpr std::string_view ready = "ready";
inline constexpr std::string_view draining = "draining";
inline constexpr std::string_view removed = "gone";

}  // namespace listed_state

}  // namespace paddlestand::trace_checker

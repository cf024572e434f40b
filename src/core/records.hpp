/// The coordinator's records of sessions, queries, attempts and channels. They are plain data; the query
/// coordinator modifies them.
#pragma once

#include <algorithm>
#include <optional>
#include <vector>

#include "state_machines.hpp"
#include "timer_service.hpp"
#include "types.hpp"

namespace paddlestand::core {

/// One attempt of a query at an engine.
struct AttemptRecord {
  AttemptRecord(EngineId at, std::uint64_t query, TimePoint now)
      : engine(at), started_at(now), state("attempt of query", query, AttemptState::connecting) {}

  EngineId engine;
  TimePoint started_at;
  Machine<AttemptState> state;
  std::optional<ChannelId> channel;
  std::optional<TimerService::Handle> timeout;
  std::optional<AttemptResult> result;
  Duration duration{};  ///< valid once there is a result
  bool answer_discarded = false;  ///< part of its answer was discarded: it can no longer be served
  bool timed_out = false;  ///< it is being cancelled because of its timeout

  [[nodiscard]] bool is_active() const { return !state.is(AttemptState::finished); }
  /// The result if the attempt is ended by its cancel.
  [[nodiscard]] AttemptResult cancel_result() const {
    return timed_out ? AttemptResult::timed_out : AttemptResult::cancelled;
  }
  /// Whether the attempt has ended and certainly did not run on its engine.
  [[nodiscard]] bool had_no_effect() const {
    return result && (*result == AttemptResult::rejected || *result == AttemptResult::connect_failed ||
                      *result == AttemptResult::not_sent);
  }
};

/// A client's query with its attempts. It is removed once it has its final answer and no active attempt.
struct QueryRecord {
  QueryRecord(QueryId query, SessionId from, TimePoint now)
      : id(query), session(from), arrived(now), state("query", query, QueryState::open) {}

  QueryId id;
  SessionId session;
  TimePoint arrived;
  Duration client_timeout{};
  std::uint32_t class_index = 0;
  std::uint8_t priority = 0;
  double memory_mb = 0;
  Machine<QueryState> state;
  std::vector<AttemptRecord> attempts;  ///< bounded by the module's max_attempts

  [[nodiscard]] bool is_finished() const { return state.is(QueryState::finished); }
  [[nodiscard]] bool has_active_attempt() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const AttemptRecord& attempt) { return attempt.is_active(); });
  }
  /// Whether all attempts ended without having run, so that a retry is safe.
  [[nodiscard]] bool had_no_effect() const {
    return std::all_of(attempts.begin(), attempts.end(),
                       [](const AttemptRecord& attempt) { return attempt.had_no_effect(); });
  }
};

struct SessionRecord {
  explicit SessionRecord(SessionId session) : state("session", session, SessionState::idle) {}

  Machine<SessionState> state;
  QueryId query = 0;  ///< valid while active
  std::size_t undelivered_bytes = 0;  ///< emitted with Deliver, but not consumed by the client yet
};

struct ChannelRecord {
  ChannelRecord(ChannelId channel, EngineId to, ChannelUse what, TimePoint now)
      : engine(to), use(what), opened_at(now), state("channel", channel, ChannelState::opening) {}

  EngineId engine;
  ChannelUse use;
  TimePoint opened_at;
  Machine<ChannelState> state;
  std::optional<QueryId> query;  ///< whose attempt it carries, or will carry once it is open
  std::uint32_t attempt_index = 0;
  std::size_t buffered_bytes = 0;  ///< of an answer, held by the host
  bool paused = false;
  std::optional<TimerService::Handle> timer;  ///< connect, idle, cancel grace or probe, by state

  /// Whether its query, if any, has not been sent completely, so that it can't have run.
  [[nodiscard]] bool is_unsent() const {
    return state.is(ChannelState::opening) || state.is(ChannelState::sending);
  }
};

}  // namespace paddlestand::core

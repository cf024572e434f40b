// What is known of sessions, queries, their attempts, and channels. Values only; the query coordinator moves
// them.
#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "seeded_defects.hpp"
#include "state_machines.hpp"
#include "timer_queue.hpp"
#include "types.hpp"

namespace paddlestand::core {

struct AttemptRecord {
  AttemptRecord(EngineId at, std::uint64_t query, TimePoint now)
      : engine(at), began(now), state("attempt of query", query, AttemptState::connecting) {}

  EngineId engine;
  TimePoint began;
  Machine<AttemptState> state;
  std::optional<ChannelId> channel;
  std::optional<TimerQueue::Handle> timeout;
  std::optional<AttemptResult> result;
  Duration took{};
  bool spoiled = false;  // part of its answer was thrown away: its end can't be served any more
  bool timed_out = false;  // it is cancelled for that reason

  [[nodiscard]] bool out() const { return !state.is(AttemptState::finished); }
  // How it ended where its cancel was what ended it.
  [[nodiscard]] AttemptResult cancel_result() const {
    if (!timed_out) return AttemptResult::cancelled;
    return seeded(Defect::time_out_told_as_never_ran) ? AttemptResult::connect_failed
                                                      : AttemptResult::timed_out;
  }
  // What a result means for the effect, in the words of the module's interface.
  [[nodiscard]] bool never_ran() const {
    return result && (*result == AttemptResult::rejected || *result == AttemptResult::connect_failed ||
                      *result == AttemptResult::not_sent);
  }
};

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
  std::vector<AttemptRecord> attempts;  // bounded by the module's max_attempts

  [[nodiscard]] bool over() const { return state.is(QueryState::finished); }
  [[nodiscard]] bool any_out() const {
    for (const AttemptRecord& a : attempts)
      if (a.out()) return true;
    return false;
  }
};

struct SessionRecord {
  explicit SessionRecord(SessionId session) : state("session", session, SessionState::idle) {}

  Machine<SessionState> state;
  QueryId query = 0;  // valid while asking
  std::size_t undelivered_bytes = 0;  // delivered, not taken by the client yet
};

struct ChannelRecord {
  ChannelRecord(ChannelId channel, EngineId to, ChannelUse what, TimePoint now)
      : engine(to), use(what), opened(now), state("link", channel, ChannelState::opening) {}

  EngineId engine;
  ChannelUse use;
  TimePoint opened;
  Machine<ChannelState> state;
  std::optional<QueryId> query;  // whose attempt it carries, or will once it is up
  std::uint32_t attempt = 0;
  std::size_t kept = 0;  // bytes of an answer that the host keeps for it
  bool paused = false;
  std::optional<TimerQueue::Handle> timer;  // connect, idle, cancel grace or probe, by state
};

}  // namespace paddlestand::core

// What is known of sessions, queries, their attempts, and links. Values only; the conductor moves them.
#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "seeded.hpp"
#include "states.hpp"
#include "timer_queue.hpp"
#include "types.hpp"

namespace paddlestand::core {

struct AttemptRecord {
  AttemptRecord(EngineId at, std::uint64_t query, TimePoint now)
      : engine(at), began(now), state("attempt of query", query, AttemptState::connecting) {}

  EngineId engine;
  TimePoint began;
  Machine<AttemptState> state;
  std::optional<LinkId> link;
  std::optional<TimerQueue::Handle> time_out;
  std::optional<Result> result;
  Duration took{};
  bool spoiled = false;  // part of its answer was thrown away: its end can't be served any more
  bool timed_out = false;  // it is cancelled for that reason

  [[nodiscard]] bool out() const { return !state.is(AttemptState::over); }
  // How it ended where its cancel was what ended it.
  [[nodiscard]] Result cancel_result() const {
    if (!timed_out) return Result::cancelled;
    return seeded(Defect::time_out_told_as_never_ran) ? Result::connect_failed : Result::timed_out;
  }
  // What a result means for the effect, in the words of the module's interface.
  [[nodiscard]] bool never_ran() const {
    return result &&
           (*result == Result::full || *result == Result::connect_failed || *result == Result::moot);
  }
};

struct QueryRecord {
  QueryRecord(QueryId query, SessionId from, TimePoint now)
      : id(query), session(from), arrived(now), state("query", query, QueryState::open) {}

  QueryId id;
  SessionId session;
  TimePoint arrived;
  Duration patience{};
  std::uint32_t class_index = 0;
  std::uint8_t priority = 0;
  double memory_mb = 0;
  Machine<QueryState> state;
  std::vector<AttemptRecord> attempts;  // bounded by the module's most_attempts

  [[nodiscard]] bool over() const { return state.is(QueryState::over); }
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
  std::size_t untaken = 0;  // delivered, not taken by the client yet
};

struct LinkRecord {
  LinkRecord(LinkId link, EngineId to, LinkUse what, TimePoint now)
      : engine(to), use(what), opened(now), state("link", link, LinkState::opening) {}

  EngineId engine;
  LinkUse use;
  TimePoint opened;
  Machine<LinkState> state;
  std::optional<QueryId> query;  // whose attempt it carries, or will once it is up
  std::uint32_t attempt = 0;
  std::size_t kept = 0;  // bytes of an answer that the host keeps for it
  bool paused = false;
  std::optional<TimerQueue::Handle> timer;  // connect, idle, cancel grace or probe, by state
};

}  // namespace paddlestand::core

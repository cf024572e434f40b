/// The events of a fault run, sorted by what they are about: requests, managers, engines, connections.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "event_log.hpp"

namespace paddlestand::faults {

/// Everything that the processes of a run recorded about one request, each list by time.
struct RequestHistory {
  std::uint64_t trace = 0;
  std::optional<RunEvent> sent;
  std::optional<RunEvent> outcome;  // the last answer, its connection's end, or that there was no answer
  std::vector<RunEvent> answers;
  std::vector<RunEvent> attempts_started;
  std::vector<RunEvent> attempts_rejected;
  std::vector<RunEvent> attempts_ended;
  std::optional<std::int64_t> abandoned_at;  // ns; cancelled, or its client disconnected
};

/// Times in nanoseconds, ascending, by manager or engine.
using TimesBySubject = std::map<std::uint32_t, std::vector<std::int64_t>>;

struct RunHistory {
  std::map<std::uint64_t, RequestHistory> requests;  // by trace id
  TimesBySubject manager_crashes;
  TimesBySubject manager_kills;
  TimesBySubject engine_kills;
  TimesBySubject engine_read_stops;
  std::map<std::uint32_t, std::int64_t> engine_drains;  // the first of each engine
  std::set<std::pair<std::uint32_t, std::uint32_t>> broken_connections;  // manager and client's port
  std::vector<RunEvent> violations;  // events that should never happen, whatever else did
  // Number of requests sent and of answers by their kind.
  std::size_t requests_sent = 0;
  std::size_t served = 0;
  std::size_t rejected = 0;
  std::size_t failed = 0;
};

/// `events` by time.
RunHistory history_of(const std::vector<RunEvent>& events);

}  // namespace paddlestand::faults

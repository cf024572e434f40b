/// The events of a fault run, grouped by request, manager, engine and connection.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "event_log.hpp"

namespace paddlestand::faults {

/// All events of a run that concern one request. Each list is sorted by time.
struct RequestHistory {
  std::uint64_t trace = 0;
  std::optional<RunEvent> sent;
  std::optional<RunEvent> outcome;  // the last answer, or a connection_ended or unanswered event
  std::vector<RunEvent> answers;
  std::vector<RunEvent> attempts_started;
  std::vector<RunEvent> attempts_rejected;
  std::vector<RunEvent> attempts_ended;
  std::optional<std::int64_t> abandoned_at;  // ns; when the client cancelled or disconnected
};

/// Times in nanoseconds, in ascending order, by number of the manager or engine.
using TimesBySubject = std::map<std::uint32_t, std::vector<std::int64_t>>;

struct RunHistory {
  std::map<std::uint64_t, RequestHistory> requests;  // by trace id
  TimesBySubject manager_crashes;
  TimesBySubject manager_kills;
  TimesBySubject engine_kills;
  TimesBySubject engine_read_stops;
  std::map<std::uint32_t, std::int64_t> engine_drains;  // time of the first drain of each engine
  std::set<std::pair<std::uint32_t, std::uint32_t>> broken_connections;  // manager number and client port
  std::vector<RunEvent> violations;  // events that are always a violation
  // Number of requests sent, and number of answers by kind.
  std::size_t requests_sent = 0;
  std::size_t served = 0;
  std::size_t rejected = 0;
  std::size_t failed = 0;
};

/// `events` must be sorted by time.
RunHistory history_of(const std::vector<RunEvent>& events);

}  // namespace paddlestand::faults

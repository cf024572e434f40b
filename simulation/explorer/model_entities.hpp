/// The parts of a ModelState: clients, channels and engines at the other end of the managers' sockets, and
/// what the model has observed of each query. Plain values, copied with the state.
///
/// Engines hold only the state that an invariant depends on: whose bytes they have received, what they have
/// answered, and which cancels are in transit. They execute nothing and have no speed.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/event_dispatcher.hpp"
#include "scope.hpp"

namespace paddlestand::explorer {

using core::ChannelId;
using core::QueryId;

inline constexpr TimePoint start_of_time = std::chrono::hours(1);
inline constexpr Duration query_work = std::chrono::milliseconds(20);
inline constexpr std::size_t small_part_bytes = 300;
inline constexpr std::size_t large_part_bytes = 1500;
inline constexpr std::size_t last_part_bytes = 10;

/// One row of an answer. The model sends one row per part, numbered from zero within an attempt.
struct Row {
  QueryId query{};
  ChannelId channel{};
  std::uint8_t number = 0;
  friend bool operator==(const Row&, const Row&) = default;
};

/// How many of a query's bytes the engine has received.
enum class Transmission : std::uint8_t { none, partial, complete };

/// A channel between one manager's host and one engine.
struct EngineSideChannel {
  ChannelId id{};
  EngineId engine{};
  std::uint32_t engine_incarnation = 0;  ///< when the channel was opened
  bool is_probe = false;
  bool is_open = false;
  bool is_paused = false;  ///< the host reads nothing from it
  bool is_closed = false;  ///< by the manager; kept for messages that the engine sent before it saw the close
  Transmission transmission = Transmission::none;
  QueryId query{};  ///< the query that `transmission` refers to
  std::uint8_t small_parts = 0;
  std::uint8_t large_parts = 0;
  std::uint8_t progress_reports = 0;
  std::vector<Row> buffered_rows;  ///< in the host's answer buffer
  std::optional<QueryId> pending_cancel;  ///< target of a cancel that is in transit to the engine
  TimePoint closed_at{};

  [[nodiscard]] std::uint8_t parts() const { return static_cast<std::uint8_t>(small_parts + large_parts); }
  /// Whether a query (not a probe) has been at least partially sent on it and is not answered.
  [[nodiscard]] bool carries_query() const { return transmission != Transmission::none && !is_probe; }
  /// Buffers the row of the next answer part.
  void buffer_next_row() { buffered_rows.push_back({query, id, parts()}); }
};

struct Client {
  bool is_connected = true;
  bool is_reading = true;
  std::uint32_t queries_submitted = 0;
  std::uint32_t undelivered_bytes = 0;
  std::uint32_t sessions_before = 0;  ///< of earlier clients with the same index
  QueryId active_query{};  ///< or zero
  QueryId cancelled_query{};  ///< target of its last cancel
  bool is_broken = false;  ///< its connection is lost, and the manager has not detected that yet
  bool has_deferred_cancel = false;  ///< only with a seeded defect of the host
};

/// A query as observed at the host's boundary.
struct ObservedQuery {
  std::uint8_t client = 0;
  QueryClass query_class{};
  std::uint64_t ordering_key = 0;
  bool is_answered = false;
  bool had_reset = false;  ///< a channel that carried it was lost
  std::uint8_t attempts_sent = 0;
  std::uint8_t attempts_in_flight = 0;
  std::uint16_t overloaded_engines = 0;  ///< bit set, by id, of the engines that rejected it
  ChannelId rows_channel{};  ///< the channel whose rows were delivered, or zero
  std::uint8_t rows_delivered = 0;

  void finish_attempt() {
    if (attempts_in_flight > 0) --attempts_in_flight;
  }
};

/// A manager with its clients, channels and queries.
struct ManagerState {
  core::EventDispatcher dispatcher;
  std::vector<Client> clients;
  std::vector<EngineSideChannel> channels;
  std::map<QueryId, ObservedQuery> queries;
  bool is_shutting_down = false;

  /// Null if there is no channel with this id.
  [[nodiscard]] EngineSideChannel* find_channel(ChannelId id);
  [[nodiscard]] const EngineSideChannel* find_channel(ChannelId id) const;
  /// Marks the query's attempt in flight as ended, if the query is known.
  void finish_attempt(QueryId query);
  [[nodiscard]] core::SessionId session_of(std::uint32_t client) const;
};

/// The index of the session's client.
[[nodiscard]] std::size_t client_of(core::SessionId session);

struct ModelEngine {
  EngineState listed_state = EngineState::ready;
  std::uint32_t incarnation = 0;
  bool is_stalled = false;
  bool was_disrupted = false;  ///< has been drained, removed or restarted before
  TimePoint started{};
  TimePoint not_ready_since{};
};

}  // namespace paddlestand::explorer

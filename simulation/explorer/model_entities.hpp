/// The parts of a ModelState: clients, channels and engines as the model's side of the sockets sees them, and
/// what it has observed of each query. Plain values, copied with the state.
///
/// Engines here know only what an invariant depends on: whose bytes they have, what they answered, which
/// cancels are under way. They do no work and have no speed.
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

/// One row of an answer. The model sends one for each part, numbered from zero within an attempt.
struct Row {
  QueryId query{};
  ChannelId channel{};
  std::uint8_t number = 0;
  friend bool operator==(const Row&, const Row&) = default;
};

/// How much of a query's bytes the engine has.
enum class Transmission : std::uint8_t { none, partial, complete };

/// A channel between one manager's host and one engine.
struct EngineSideChannel {
  ChannelId id{};
  EngineId engine{};
  std::uint32_t engine_incarnation = 0;  ///< when the channel was opened
  bool is_probe = false;
  bool is_open = false;
  bool is_paused = false;  ///< the host reads nothing from it
  bool is_closed = false;  ///< by the manager; kept for what may have crossed with the close
  Transmission transmission = Transmission::none;
  QueryId query{};  ///< the one that `transmission` is about
  std::uint8_t small_parts = 0;
  std::uint8_t large_parts = 0;
  std::uint8_t progress_reports = 0;
  std::vector<Row> buffered_rows;  ///< by the host
  std::optional<QueryId> pending_cancel;  ///< under way to the engine: the query it is meant for
  TimePoint closed_at{};

  [[nodiscard]] std::uint8_t parts() const { return static_cast<std::uint8_t>(small_parts + large_parts); }
  /// Whether a query, not a probe, has been sent on it at least in part and is not answered.
  [[nodiscard]] bool carries_query() const { return transmission != Transmission::none && !is_probe; }
  /// Buffers the row of the part that is being answered.
  void buffer_next_row() { buffered_rows.push_back({query, id, parts()}); }
};

struct Client {
  bool is_connected = true;
  bool is_reading = true;
  std::uint32_t queries_submitted = 0;
  std::uint32_t undelivered_bytes = 0;
  std::uint32_t sessions_before = 0;  ///< by earlier clients of the same index
  QueryId active_query{};  ///< or zero
  QueryId cancelled_query{};  ///< what its last cancel was for
  bool is_broken = false;  ///< its connection, and the manager has not seen that yet
  bool has_deferred_cancel = false;  ///< by a seeded defect of the host
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
  std::uint16_t overloaded_engines = 0;  ///< those that rejected it, as bits
  ChannelId rows_channel{};  ///< the one whose rows were delivered, or zero
  std::uint8_t rows_delivered = 0;

  void finish_attempt() {
    if (attempts_in_flight > 0) --attempts_in_flight;
  }
};

/// A manager with what belongs to it alone.
struct ManagerState {
  core::EventDispatcher dispatcher;
  std::vector<Client> clients;
  std::vector<EngineSideChannel> channels;
  std::map<QueryId, ObservedQuery> queries;
  bool is_shutting_down = false;

  /// Null where there is no such channel.
  [[nodiscard]] EngineSideChannel* find_channel(ChannelId id);
  [[nodiscard]] const EngineSideChannel* find_channel(ChannelId id) const;
  /// Ends the attempt of `query` that is in flight, if the query is still known.
  void finish_attempt(QueryId query);
  [[nodiscard]] core::SessionId session_of(std::uint32_t client) const;
};

/// The index of the client whose session this is.
[[nodiscard]] std::size_t client_of(core::SessionId session);

struct ModelEngine {
  EngineState listed_state = EngineState::ready;
  std::uint32_t incarnation = 0;
  bool is_stalled = false;
  bool was_disrupted = false;  ///< drained, removed or restarted once already
  TimePoint started{};
  TimePoint not_ready_since{};
};

}  // namespace paddlestand::explorer

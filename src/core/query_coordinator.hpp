/// The query coordinator translates host events into events of the decision module, and the module's actions
/// into host actions. It owns one WorkloadManager, the records of sessions, queries, attempts and channels,
/// and the channel pools. Admission, routing, retries and rejections are decided by the module alone. The
/// coordinator ensures the invariants of their execution: one final answer for each query, no bytes after it,
/// no reuse of a channel that a cancel could still affect, and no query sent to an engine that started to
/// drain while its channel was opening.
///
/// A copy behaves like the original and shares no mutable state with it: the explorer branches by copying.
///
/// Not thread-safe: one host thread owns it. Events of channels that were closed are ignored, since
/// CloseChannel may be emitted while an event of the channel is pending. Every other event that does not fit
/// the state throws IllegalTransition.
///
/// The members are defined by concern: query_coordinator.cpp (entry points, sessions, the module's events),
/// coordinator_attempts.cpp, coordinator_channels.cpp, coordinator_endpoints.cpp, coordinator_answers.cpp,
/// coordinator_timers.cpp (timers and graceful shutdown), coordinator_state.cpp (counts, checks, state
/// visitor).
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <unordered_map>

#include "coordinator_parts.hpp"
#include "records.hpp"
#include "timer_service.hpp"
#include "types.hpp"

namespace paddlestand::core {

class StateWalk;

/// The numbers of records, timers and bytes that the coordinator holds.
struct Counts {
  std::size_t sessions = 0;
  std::size_t queries_open = 0;  ///< without a final answer
  std::size_t attempts_out = 0;
  std::size_t channels = 0;
  std::size_t channels_idle = 0;
  std::size_t channels_probing = 0;
  std::size_t bytes_buffered = 0;
  std::size_t timers = 0;
  std::size_t own_timers = 0;  ///< not including those of the module
};

class QueryCoordinator {
 public:
  explicit QueryCoordinator(CoreSettings settings);

  /// Processes one event and appends the resulting actions. `now` must never decrease.
  void handle(TimePoint now, const CoreEvent& event, std::vector<HostAction>& actions);

  /// When the next TimerExpired is due, if any.
  [[nodiscard]] std::optional<TimePoint> due() const { return timers_.next_due(); }

  /// The time of the last event.
  [[nodiscard]] TimePoint now() const { return now_; }
  [[nodiscard]] Counts counts() const;

  /// Throws IllegalTransition if the records contradict each other. For tests, the explorer and builds with
  /// assertions.
  void check() const;

  /// Visits all state that determines future behaviour, except the settings, as of the last event.
  void visit(StateVisitor& visitor);

 private:
  friend class SeededCoordinator;  // only in the test build with seeded defects

  /// While draining, new queries are rejected; when finished, no query is left.
  enum class Lifecycle : std::uint8_t { running, draining, finished };

  /// The fields of a final answer that do not follow from the query's record.
  struct Outcome {
    AnswerKind kind{};
    RetrySafety retry_safety = RetrySafety::unknown;
    Duration retry_after{};  ///< zero: no advice
    bool shutting_down = false;
  };

  // ---- Host events ----
  void on(const SessionOpened& event);
  void on(const SessionClosed& event);
  void on(const QueryArrived& event);
  void on(const ClientCancelled& event);
  void on(const ChannelOpened& event);
  void on(const ChannelLost& event);
  void on(const QuerySent& event);
  void on(const AnswerPart& event);
  void on(const AnswerEnd& event);
  void on(const EngineProgress& event);
  void on(const ClientConsumed& event);
  void on(const EndpointsUpdated& event);
  void on(const BeginShutdown& event);
  void on(const TimerExpired& event);

  // ---- The decision module ----
  void notify_module(const Event& event);
  void process_module_events();
  void apply(const Send& action);
  void apply(const Cancel& action);
  void apply(const Reject& action);
  void apply(const Fail& action);
  void apply(const SetTimer& action);
  void apply(const Probe& action);
  void apply(const SetResourceGrant& action);
  void apply(const SubscribeEndpoints& action);
  void apply(const SendGossip& action);
  void apply(const Log& action);

  // ---- Attempts ----
  void reuse_channel(QueryRecord& query, std::uint32_t attempt_index, parts::Pool& pool);
  void open_channel_for(QueryRecord& query, std::uint32_t attempt_index);
  void send_attempt(ChannelId id, ChannelRecord& channel, QueryRecord& query, std::uint32_t attempt_index);
  void cancel_attempt(QueryRecord& query, std::uint32_t attempt_index);
  void cancel_on_engine(AttemptRecord& attempt);
  void time_out_attempt(QueryRecord& query, std::uint32_t attempt_index);
  /// Ends an attempt that has not been sent completely.
  void end_unsent_attempt(QueryRecord& query, std::uint32_t attempt_index, AttemptResult result);
  /// Sets the result of an attempt, exactly once, and notifies the module. The caller closes its channel or
  /// returns it to the pool. `end` is the engine's report, if any. May remove the query's record.
  void end_attempt(QueryRecord& query, std::uint32_t attempt_index, AttemptResult result,
                   const AnswerEnd* end = nullptr);

  // ---- Channels ----
  ChannelId open_channel(EngineId engine, ChannelUse use, QueryId query = 0);
  void close_channel(ChannelId id);
  /// Returns a channel to its pool, or closes it if the pool is full or the engine is not ready.
  void return_to_pool(ChannelId id, ChannelRecord& channel);
  void mark_sent(ChannelRecord& channel);
  void end_probe(ChannelId id, AttemptResult result, const LoadReport& report = {});
  void resume_if_paused(ChannelId id, ChannelRecord& channel);
  void pause_if_full(ChannelId id, ChannelRecord& channel, const SessionRecord& session);

  // ---- Endpoints ----
  void update_pool(const EngineEntry& entry);
  void remove_missing_engines(const std::vector<EngineEntry>& entries);
  void close_channels_of(EngineId engine);

  // ---- Answers ----
  void receive_bytes(ChannelRecord& channel, std::size_t bytes);
  void deliver(ChannelId id, ChannelRecord& channel, QueryRecord& query);
  void discard(ChannelId id, ChannelRecord& channel);
  [[nodiscard]] AttemptResult result_of_end(const AnswerEnd& event, const QueryRecord& query,
                                            const AttemptRecord& attempt) const;
  /// Emits the final answer of a query; nothing else does. May remove the query's record.
  void finish_query(QueryRecord& query, const Outcome& outcome);
  [[nodiscard]] Answer make_answer(const QueryRecord& query, const Outcome& outcome) const;
  void discard_active_attempts(QueryRecord& query);
  void remove_query_if_done(QueryId id);

  // ---- Timers and graceful shutdown ----
  void on_timer(const ModuleTimer& timer);
  void on_timer(const Timer& timer);
  void end_shutdown_grace();
  void finish_shutdown_if_idle();

  // ---- Consistency checks ----
  void check_sessions() const;
  void check_queries() const;
  void check_attempt(const QueryRecord& query, std::size_t attempt_index) const;
  void check_channels() const;
  void check_channel(ChannelId id, const ChannelRecord& channel) const;
  void check_pools() const;
  void check_totals() const;

  // ---- State visitor ----
  void visit_channels(const StateWalk& fields);
  void visit_pools(const StateWalk& fields);
  void visit_sessions(const StateWalk& fields);
  void visit_queries(const StateWalk& fields);
  void visit_timers(const StateWalk& fields);

  QueryRecord* find_query(QueryId id);
  ChannelRecord* find_channel(ChannelId id);
  void emit(HostAction action) { host_actions_->push_back(std::move(action)); }

  std::shared_ptr<const CoreSettings> settings_;  // immutable, shared by copies
  parts::DecisionModule module_;
  TimePoint now_{};
  TimePoint module_notified_at_{};
  std::vector<HostAction>* host_actions_ = nullptr;  // valid during handle()

  std::deque<Event> module_events_;  // pending, in order; empty between host events
  bool processing_module_events_ = false;
  std::vector<Action> module_actions_;

  std::unordered_map<SessionId, SessionRecord> sessions_;
  std::unordered_map<QueryId, QueryRecord> queries_;
  std::unordered_map<ChannelId, ChannelRecord> channels_;
  std::map<EngineId, parts::Pool> pools_;
  TimerService timers_;
  parts::Buffers buffers_;
  ChannelId last_channel_ = 0;
  std::size_t unanswered_queries_ = 0;
  Lifecycle lifecycle_ = Lifecycle::running;
};

}  // namespace paddlestand::core

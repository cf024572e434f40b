/// The query coordinator: host events go in, become events of the decision module, and the module's actions
/// come out as host actions. It owns one WorkloadManager, the records of sessions, queries, attempts and
/// channels, and the channel pools. It never decides admission, routing, retries or rejections. It ensures
/// what must hold while decisions are executed: one final answer for each query, no bytes after it, no reuse
/// of a channel that a cancel could still strike, nothing sent to an engine that began to drain while its
/// channel opened.
///
/// A copy behaves the same from there on and shares nothing that changes: the explorer branches by copying.
///
/// Not thread-safe: one host thread owns it. Events of channels that were closed are ignored, since a host's
/// completions may cross with CloseChannel; every other event that makes no sense throws IllegalTransition.
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

/// The sizes of what the coordinator holds.
struct Counts {
  std::size_t sessions = 0;
  std::size_t queries_open = 0;  ///< without a final answer
  std::size_t attempts_out = 0;
  std::size_t channels = 0;
  std::size_t channels_idle = 0;
  std::size_t channels_probing = 0;
  std::size_t bytes_buffered = 0;
  std::size_t timers = 0;
  std::size_t own_timers = 0;  ///< without the module's
};

class QueryCoordinator {
 public:
  explicit QueryCoordinator(CoreSettings settings);

  /// Processes one event and appends the actions that follow from it. `now` must never go back.
  void handle(TimePoint now, const CoreEvent& event, std::vector<HostAction>& actions);

  /// When the next TimerExpired is due, if any.
  [[nodiscard]] std::optional<TimePoint> due() const { return timers_.next_due(); }

  /// The time of the last event.
  [[nodiscard]] TimePoint now() const { return now_; }
  [[nodiscard]] Counts counts() const;

  /// Throws IllegalTransition where the records contradict each other: for tests, the explorer and builds
  /// with assertions.
  void check() const;

  /// Visits everything that its future depends on, except its settings, as of its last event.
  void visit(StateVisitor& visitor);

 private:
  friend class SeededCoordinator;  // of the test build with seeded defects alone

  /// Its life. While draining it rejects new queries; when finished it holds none.
  enum class Lifecycle : std::uint8_t { running, draining, finished };

  /// What a final answer says, besides the account of the query.
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
  /// Ends an attempt that is not being answered: before it was sent, or while it is being sent.
  void end_unsent_attempt(QueryRecord& query, std::uint32_t attempt_index, AttemptResult result);
  /// Gives an attempt its one result and notifies the module once. The caller closes its channel or returns
  /// it to the pool. `end`: the engine's report, if any. May remove the query's record.
  void end_attempt(QueryRecord& query, std::uint32_t attempt_index, AttemptResult result,
                   const AnswerEnd* end = nullptr);

  // ---- Channels ----
  ChannelId open_channel(EngineId engine, ChannelUse use, QueryId query = 0);
  void close_channel(ChannelId id);
  /// Returns a channel to its pool, or closes it where the pool is full or its engine not ready.
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
  /// The one place where a query gets its final answer. May remove the query's record.
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

  std::shared_ptr<const CoreSettings> settings_;  // never changes: copies share it
  parts::DecisionModule module_;
  TimePoint now_{};
  TimePoint module_notified_at_{};
  std::vector<HostAction>* host_actions_ = nullptr;  // valid during handle()

  std::deque<Event> module_events_;  // in order; empty between two host events
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

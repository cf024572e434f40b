// The query coordinator: events to the decision module, its actions out as effects. It owns one
// WorkloadManager, the ledger of queries and attempts, and the pools of channels. It never decides admission,
// routing, repeats or refusals; it keeps what was decided true on the way: one final answer, no bytes behind
// it, no reuse of a channel that a cancel could still strike, nothing sent to an engine that was told to
// drain while its channel opened.
//
// A copy would do the same from there on, and shares nothing that changes: so the explorer branches.
//
// Not thread-safe: one host thread owns it. Events of channels that were closed are passed over, since a
// host's completions may cross with CloseChannel; every other event that makes no sense throws
// IllegalTransition.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

#include "channel_pool.hpp"
#include "records.hpp"
#include "timer_queue.hpp"
#include "types.hpp"

namespace paddlestand::core {

struct Counts {
  std::size_t sessions = 0, queries_open = 0, attempts_out = 0;
  std::size_t channels = 0, channels_idle = 0, channels_probing = 0;
  std::size_t bytes_buffered = 0;
  std::size_t timers = 0, own_timers = 0;  // all; those that are not the module's
};

class QueryCoordinator {
 public:
  explicit QueryCoordinator(CoreSettings settings);

  // Takes one event and appends what follows from it. `now` never goes back.
  void handle(TimePoint now, const CoreEvent& event, std::vector<HostAction>& actions);

  // When TimerExpired is wanted next, if at all.
  [[nodiscard]] std::optional<TimePoint> due() const;

  [[nodiscard]] TimePoint now() const { return now_; }  // of the last event
  [[nodiscard]] Counts counts() const;

  // Throws where the ledger contradicts itself: for tests, the explorer and builds with assertions.
  void check() const;

  // All that its future hangs on, but for its settings, as of its last event.
  void visit(StateVisitor& visitor);

 private:
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

  // The module's side.
  void notify_module(const Event& event);
  void drain();
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

  // Attempts.
  void start_on(ChannelId id, ChannelRecord& channel, QueryRecord& query, std::uint32_t attempt);
  void cancel(QueryRecord& query, std::uint32_t attempt);
  void timeout(QueryRecord& query, std::uint32_t attempt);
  void end(QueryRecord& query, std::uint32_t attempt, AttemptResult result, const AnswerEnd* told = nullptr);

  // Links.
  ChannelId open(EngineId engine, ChannelUse use, QueryId query = 0);
  void close(ChannelId id);
  void park(ChannelId id, ChannelRecord& channel);
  void mark_sent(ChannelRecord& channel);
  void discard(ChannelId id, ChannelRecord& channel);
  void end_probe(ChannelId id, AttemptResult result, const AnswerEnd* told);
  void engine_not_ready(EngineId engine);

  // Answers.
  void deliver(ChannelId id, ChannelRecord& channel, QueryRecord& query);
  void rest_if_full(ChannelId id, ChannelRecord& channel, const SessionRecord& session);
  void answer(QueryRecord& query, AnswerKind kind, RetrySafety retry_safety, Duration retry_after = {},
              bool leaving = false);
  void never_goes_out(ChannelId id);
  void forget_if_done(QueryId id);
  void leave_if_done();
  void on_timer(const Timer& timer);

  QueryRecord* find_query(QueryId id);
  ChannelRecord* find_channel(ChannelId id);
  void act(HostAction action) { out_->push_back(std::move(action)); }

  std::shared_ptr<const CoreSettings> settings_;  // never changed: copies have them together
  WorkloadManager module_;
  TimePoint now_{}, module_notified_at_{};  // the last event; the module's last
  std::vector<HostAction>* out_ = nullptr;

  std::deque<Event> module_events_;  // to the module, in order; empty between two events of the host
  bool draining_ = false;
  std::vector<Action> actions_;

  std::unordered_map<SessionId, SessionRecord> sessions_;
  std::unordered_map<QueryId, QueryRecord> queries_;
  std::unordered_map<ChannelId, ChannelRecord> channels_;
  std::map<EngineId, Pool> pools_;
  TimerQueue timers_;
  std::set<std::pair<TimePoint, std::uint32_t>> module_timers_;
  ChannelId last_channel_ = 0;
  std::size_t buffered_ = 0;  // kept for channels or not taken by clients
  std::size_t open_queries_ = 0;
  bool leaving_ = false, left_ = false;
};

}  // namespace paddlestand::core

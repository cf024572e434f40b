/// Checks the manager's invariants (docs/invariants.md) at the boundary between the query coordinator and its
/// host. It knows neither the coordinator's records nor the decision module: it derives its own state
/// from events and actions, so that an error in theirs can't hide a violation.
///
/// Runs in the service, which logs violations, and in the explorer, which stops at the first. No I/O, no
/// clock; not thread-safe.
///
/// The members are defined by concern: invariant_monitor.cpp (the monitor's own state), invariant_checks.cpp
/// (the checks of sends and answers), invariant_state.cpp (the state visitor).
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "invariant_records.hpp"
#include "invariants.hpp"
#include "types.hpp"

namespace paddlestand::core {

class InvariantMonitor {
 public:
  explicit InvariantMonitor(const CoreSettings& settings);

  /// Call before the query coordinator handles the event.
  void on_event(TimePoint now, const CoreEvent& event);
  /// Call before the host executes the action.
  void on_action(TimePoint now, const HostAction& action);

  /// The violations since the list was last cleared. Beyond `max_recorded_violations` they are only counted.
  [[nodiscard]] std::vector<InvariantViolation>& violations() { return violations_; }
  [[nodiscard]] std::uint64_t violation_count() const { return violation_count_; }

  void visit(StateVisitor& visitor);

  /// Whether the settle time of a key ends within (from, to] while an attempt of that key is active.
  [[nodiscard]] bool key_settles_while_active(TimePoint from, TimePoint to) const;

  static constexpr std::size_t max_recorded_violations = 16;

 private:
  // ---- Events ----
  void on(const SessionClosed& event);
  void on(const QueryArrived& event);
  void on(const ClientCancelled& event);
  void on(const ChannelOpened& event);
  void on(const ChannelLost& event);
  void on(const QuerySent& event);
  void on(const AnswerPart& event);
  void on(const AnswerEnd& event);
  void on(const EndpointsUpdated& event);
  void on(const TimerExpired& event);
  void on(const auto&) {}

  // ---- Actions ----
  void record(const OpenChannel& action);
  void record(const SendQuery& action);
  void record(const CancelOnEngine& action);
  void record(const CloseChannel& action);
  void record(const Deliver& action);
  void record(const Discard& action);
  void record(const Answer& action);
  void record(const auto&) {}

  void abandon_query_of(SessionId session);
  void mark_handed_over(const monitored::Channel& channel);
  /// Ends the attempt on this channel. If it may still run, the settle time of its ordering key starts.
  void end_attempt(monitored::Channel& channel, bool may_still_run);
  void update_engine(const EngineEntry& entry);
  void mark_not_ready(monitored::Engine& engine);
  void remove_unused_engines();
  void remove_query_if_done(QueryId id);
  void expire_retry_window();

  // ---- Checks ----
  void check_send(const SendQuery& action, const monitored::Query& query, const monitored::Channel& channel);
  void check_channel_reuse(const SendQuery& action, const monitored::Channel& channel);
  void check_attempts(const SendQuery& action, const monitored::Query& query);
  void check_drain(const SendQuery& action, const monitored::Engine& engine, EngineId id);
  void check_idempotency(const SendQuery& action, const monitored::Query& query,
                         const monitored::Engine& engine);
  void check_key_order(const SendQuery& action, const monitored::Query& query);
  void check_retry_budget(const SendQuery& action, const monitored::Query& query);
  void check_placement(const SendQuery& action, const monitored::Query& query,
                       const monitored::Engine& engine);
  void check_slow_start(const SendQuery& action, const monitored::Query& query, monitored::Engine& engine);
  void check_answer(const Answer& action, const monitored::Query& query);
  void check_served(const Answer& action, const monitored::Query& query);
  void check_retry_safety(const Answer& action, const monitored::Query& query);

  [[nodiscard]] const ClassSettings& class_of(const monitored::Query& query) const;
  [[nodiscard]] monitored::Query* find_query(QueryId id);
  [[nodiscard]] monitored::Channel* find_channel(ChannelId id);
  void violation(Invariant invariant, std::string what);

  std::shared_ptr<const CoreSettings> settings_;  // immutable, shared by copies
  TimePoint now_{};
  std::unordered_map<SessionId, QueryId> active_query_;
  std::unordered_map<QueryId, monitored::Query> queries_;
  std::unordered_map<ChannelId, monitored::Channel> channels_;
  std::map<EngineId, monitored::Engine> engines_;
  monitored::KeyOrder key_order_;
  monitored::RetryWindow retry_window_;
  std::set<std::pair<TimePoint, QueryId>> deadlines_;
  std::vector<InvariantViolation> violations_;
  std::uint64_t violation_count_ = 0;
};

}  // namespace paddlestand::core

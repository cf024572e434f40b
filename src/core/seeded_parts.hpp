/// Faulty variants of the coordinator's components, with the defects of seeded_defects.hpp. Only in the test
/// build with seeded defects (coordinator_parts.hpp).
#pragma once

#include <utility>

#include "buffer_account.hpp"
#include "channel_pool.hpp"
#include "coordinator_rules.hpp"
#include "seeded_defects.hpp"

namespace paddlestand::core {

/// A decision module whose settings, events or actions are altered.
class SeededModule {
 public:
  explicit SeededModule(Settings settings) : module_(altered(std::move(settings))) {}

  void handle(TimePoint now, const Event& event, std::vector<Action>& actions) {
    if (is_suppressed(event)) return;
    if (const auto* endpoints = std::get_if<EndpointsChanged>(&event)) {
      handle_endpoints(now, *endpoints, actions);
    } else if (const auto* ended = std::get_if<AttemptEnded>(&event)) {
      module_.handle(now, altered(*ended), actions);
    } else {
      module_.handle(now, event, actions);
    }
    for (Action& action : actions) alter(action);
  }

  void visit(StateVisitor& visitor) { module_.visit(visitor); }

 private:
  static Settings altered(Settings settings) {
    if (seeded(Defect::max_send_delay_ignored)) settings.max_send_delay = {};
    if (seeded(Defect::ordering_settle_time_ignored)) settings.ordering_settle_time = {};
    if (seeded(Defect::retry_budget_off_by_one) && settings.retry_budget) settings.retry_budget->floor += 1;
    if (seeded(Defect::allowed_zones_ignored))
      for (ClassSettings& one : settings.classes) one.allowed_zones.reset();
    return settings;
  }

  static bool is_suppressed(const Event& event) {
    if (seeded(Defect::streamed_query_retried)) return std::holds_alternative<AnswerStarted>(event);
    const auto* ended = std::get_if<AttemptEnded>(&event);
    return seeded(Defect::connect_failure_not_reported) && ended != nullptr &&
           ended->result == AttemptResult::connect_failed;
  }

  void handle_endpoints(TimePoint now, const EndpointsChanged& event, std::vector<Action>& actions) {
    std::vector<EngineEntry> entries(event.engines.begin(), event.engines.end());
    if (seeded(Defect::engine_start_time_dropped))
      for (EngineEntry& entry : entries) entry.started = {};
    module_.handle(now, EndpointsChanged{event.scope, entries}, actions);
  }

  static AttemptEnded altered(AttemptEnded event) {
    const bool never_ran =
        (seeded(Defect::reset_reported_as_not_run) && event.result == AttemptResult::reset) ||
        (seeded(Defect::timeout_reported_as_not_run) && event.result == AttemptResult::timed_out);
    if (never_ran) event.result = AttemptResult::connect_failed;
    return event;
  }

  static void alter(Action& action) {
    constexpr int advice_factor = 3;
    auto* reject = std::get_if<Reject>(&action);
    if (seeded(Defect::retry_advice_too_long) && reject != nullptr) reject->retry_after *= advice_factor;
    const auto* fail = std::get_if<Fail>(&action);
    if (seeded(Defect::failure_reported_as_rejection) && fail != nullptr) action = Reject{fail->request, {}};
  }

  WorkloadManager module_;
};

class SeededBufferAccount : public BufferAccount {
 public:
  using BufferAccount::BufferAccount;

  void on_discarded(std::size_t bytes) {
    if (!seeded(Defect::discarded_bytes_not_released)) BufferAccount::on_discarded(bytes);
  }
  void on_session_closed(std::size_t bytes) {
    if (!seeded(Defect::unconsumed_bytes_not_released)) BufferAccount::on_session_closed(bytes);
  }
  [[nodiscard]] bool may_resume(std::size_t undelivered_bytes) const {
    return !seeded(Defect::paused_channel_not_resumed) && BufferAccount::may_resume(undelivered_bytes);
  }
};

class SeededChannelPool : public ChannelPool {
 public:
  ChannelId pop_idle() {
    return seeded(Defect::idle_channel_assigned_twice) ? idle_.back() : ChannelPool::pop_idle();
  }
};

struct SeededRules : CoordinatorRules {
  [[nodiscard]] static bool may_send(const QueryRecord& query) {
    return seeded(Defect::streamed_query_retried) || CoordinatorRules::may_send(query);
  }
  [[nodiscard]] static bool truncates_answer(const QueryRecord& query, AttemptResult result) {
    return !seeded(Defect::streamed_query_retried) && CoordinatorRules::truncates_answer(query, result);
  }
  static void finish(AttemptRecord& attempt, TimerService& timers) {
    const auto timeout = attempt.timeout;
    if (seeded(Defect::attempt_timeout_not_disarmed)) attempt.timeout.reset();
    CoordinatorRules::finish(attempt, timers);
    attempt.timeout = seeded(Defect::attempt_timeout_not_disarmed) ? timeout : std::nullopt;
  }
  static void detach_attempt(ChannelRecord& channel, TimerService& timers) {
    CoordinatorRules::detach_attempt(channel, timers);
    if (seeded(Defect::detached_channel_without_timer)) timers.disarm(channel.timer);
  }
  [[nodiscard]] static bool is_reusable(const ChannelRecord& channel, AnswerEnd end) {
    if (seeded(Defect::unclean_channel_returned_to_pool)) end.reusable = true;
    return CoordinatorRules::is_reusable(channel, end);
  }
  static void mark_cancelling(ChannelRecord& channel) {
    if (!seeded(Defect::cancelled_channel_reused)) CoordinatorRules::mark_cancelling(channel);
  }
  [[nodiscard]] static bool closes_with_engine(const ChannelRecord& channel) {
    if (seeded(Defect::drain_keeps_opening_channels) && channel.state.is(ChannelState::opening)) return false;
    return CoordinatorRules::closes_with_engine(channel);
  }
  [[nodiscard]] static bool resumes_at_answer_end(const ChannelRecord& channel) {
    return !seeded(Defect::channel_left_paused_at_answer_end) &&
           CoordinatorRules::resumes_at_answer_end(channel);
  }
  [[nodiscard]] static AttemptResult result_of_loss(const ChannelRecord& channel,
                                                    const AttemptRecord& attempt, ChannelLossReason reason) {
    const AttemptResult result = CoordinatorRules::result_of_loss(channel, attempt, reason);
    const bool is_concealed = seeded(Defect::protocol_error_reported_as_engine_error) &&
                              result == AttemptResult::reset && reason == ChannelLossReason::protocol_error;
    return is_concealed ? AttemptResult::engine_error : result;
  }
  static void withdraw_sends(std::vector<HostAction>& actions, ChannelId channel) {
    if (!seeded(Defect::pending_send_not_withdrawn)) CoordinatorRules::withdraw_sends(actions, channel);
  }
  [[nodiscard]] static bool precedes_pending_events(WriteResult result) {
    return !seeded(Defect::query_sent_event_delayed) && CoordinatorRules::precedes_pending_events(result);
  }
};

}  // namespace paddlestand::core

/// Faulty replacements of the coordinator's parts, each with the defects of seeded_defects.hpp that concern
/// it. Only the build that shows that the explorer finds defects has them (coordinator_parts.hpp).
#pragma once

#include <utility>

#include "buffer_account.hpp"
#include "channel_pool.hpp"
#include "coordinator_rules.hpp"
#include "seeded_defects.hpp"

namespace paddlestand::core {

/// A decision module that gets wrong settings or events, or whose actions are altered.
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
    if (seeded(Defect::connect_time_forgotten)) settings.max_send_delay = {};
    if (seeded(Defect::key_rest_forgotten)) settings.ordering_settle_time = {};
    if (seeded(Defect::budget_off_by_one) && settings.retry_budget) settings.retry_budget->floor += 1;
    if (seeded(Defect::placement_lost))
      for (ClassSettings& one : settings.classes) one.allowed_zones.reset();
    return settings;
  }

  static bool is_suppressed(const Event& event) {
    if (seeded(Defect::streamed_query_is_repeated)) return std::holds_alternative<AnswerStarted>(event);
    const auto* ended = std::get_if<AttemptEnded>(&event);
    return seeded(Defect::outcome_not_told) && ended != nullptr &&
           ended->result == AttemptResult::connect_failed;
  }

  void handle_endpoints(TimePoint now, const EndpointsChanged& event, std::vector<Action>& actions) {
    std::vector<EngineEntry> entries(event.engines.begin(), event.engines.end());
    if (seeded(Defect::cold_start_not_told))
      for (EngineEntry& entry : entries) entry.started = {};
    module_.handle(now, EndpointsChanged{event.scope, entries}, actions);
  }

  static AttemptEnded altered(AttemptEnded event) {
    const bool never_ran =
        (seeded(Defect::reset_told_as_never_ran) && event.result == AttemptResult::reset) ||
        (seeded(Defect::time_out_told_as_never_ran) && event.result == AttemptResult::timed_out);
    if (never_ran) event.result = AttemptResult::connect_failed;
    return event;
  }

  static void alter(Action& action) {
    constexpr int advice_factor = 3;
    auto* reject = std::get_if<Reject>(&action);
    if (seeded(Defect::advice_too_long) && reject != nullptr) reject->retry_after *= advice_factor;
    const auto* fail = std::get_if<Fail>(&action);
    if (seeded(Defect::harmless_after_a_run) && fail != nullptr) action = Reject{fail->request, {}};
  }

  WorkloadManager module_;
};

class SeededBufferAccount : public BufferAccount {
 public:
  using BufferAccount::BufferAccount;

  void on_discarded(std::size_t bytes) {
    if (!seeded(Defect::kept_bytes_left)) BufferAccount::on_discarded(bytes);
  }
  void on_session_closed(std::size_t bytes) {
    if (!seeded(Defect::untaken_bytes_left)) BufferAccount::on_session_closed(bytes);
  }
  [[nodiscard]] bool may_resume(std::size_t undelivered_bytes) const {
    return !seeded(Defect::resume_forgotten) && BufferAccount::may_resume(undelivered_bytes);
  }
};

class SeededChannelPool : public ChannelPool {
 public:
  ChannelId pop_idle() {
    return seeded(Defect::idle_link_taken_twice) ? idle_.back() : ChannelPool::pop_idle();
  }
};

struct SeededRules : CoordinatorRules {
  [[nodiscard]] static bool may_send(const QueryRecord& query) {
    return seeded(Defect::streamed_query_is_repeated) || CoordinatorRules::may_send(query);
  }
  [[nodiscard]] static bool truncates_answer(const QueryRecord& query, AttemptResult result) {
    return !seeded(Defect::streamed_query_is_repeated) && CoordinatorRules::truncates_answer(query, result);
  }
  static void finish(AttemptRecord& attempt, TimerService& timers) {
    const auto timeout = attempt.timeout;
    if (seeded(Defect::time_out_left_armed)) attempt.timeout.reset();
    CoordinatorRules::finish(attempt, timers);
    attempt.timeout = seeded(Defect::time_out_left_armed) ? timeout : std::nullopt;
  }
  static void detach_attempt(ChannelRecord& channel, TimerService& timers) {
    CoordinatorRules::detach_attempt(channel, timers);
    if (seeded(Defect::link_left_open)) timers.disarm(channel.timer);
  }
  [[nodiscard]] static bool is_reusable(const ChannelRecord& channel, AnswerEnd end) {
    if (seeded(Defect::unclean_link_is_parked)) end.reusable = true;
    return CoordinatorRules::is_reusable(channel, end);
  }
  static void mark_cancelling(ChannelRecord& channel) {
    if (!seeded(Defect::cancelled_link_goes_on)) CoordinatorRules::mark_cancelling(channel);
  }
  [[nodiscard]] static bool closes_with_engine(const ChannelRecord& channel) {
    if (seeded(Defect::drain_spares_opening_links) && channel.state.is(ChannelState::opening)) return false;
    return CoordinatorRules::closes_with_engine(channel);
  }
  [[nodiscard]] static bool resumes_at_answer_end(const ChannelRecord& channel) {
    return !seeded(Defect::rest_left_behind) && CoordinatorRules::resumes_at_answer_end(channel);
  }
  [[nodiscard]] static AttemptResult result_of_loss(const ChannelRecord& channel,
                                                    const AttemptRecord& attempt, ChannelLossReason reason) {
    const AttemptResult result = CoordinatorRules::result_of_loss(channel, attempt, reason);
    const bool is_concealed = seeded(Defect::broken_link_told_as_ended) && result == AttemptResult::reset &&
                              reason == ChannelLossReason::protocol_error;
    return is_concealed ? AttemptResult::engine_error : result;
  }
  static void withdraw_sends(std::vector<HostAction>& actions, ChannelId channel) {
    if (!seeded(Defect::pending_send_goes_out)) CoordinatorRules::withdraw_sends(actions, channel);
  }
  [[nodiscard]] static bool precedes_pending_events(WriteResult result) {
    return !seeded(Defect::sent_told_behind_others) && CoordinatorRules::precedes_pending_events(result);
  }
};

}  // namespace paddlestand::core

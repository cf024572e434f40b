/// A query coordinator with those defects of seeded_defects.hpp that alter its events or actions. Only in the
/// test build with seeded defects.
#pragma once

#include <map>
#include <set>

#include "query_coordinator.hpp"
#include "seeded_defects.hpp"

namespace paddlestand::core {

class SeededCoordinator : public QueryCoordinator {
 public:
  explicit SeededCoordinator(const CoreSettings& settings)
      : QueryCoordinator(settings), clock_step_(settings.module.clock_step) {}

  void handle(TimePoint now, const CoreEvent& event, std::vector<HostAction>& actions) {
    const auto first_new = static_cast<std::ptrdiff_t>(actions.size());
    QueryCoordinator::handle(now, is_suppressed(event) ? CoreEvent{QuerySent{}} : event, actions);
    std::vector<HostAction> added(actions.begin() + first_new, actions.end());
    actions.erase(actions.begin() + first_new, actions.end());
    remember_sessions(event, added);
    if (seeded(Defect::next_attempt_before_cancel_confirmed)) end_cancelled_attempts(added);
    if (seeded(Defect::delivers_after_final_answer)) deliver_discarded(event, added);
    if (seeded(Defect::last_answer_part_discarded)) discard_last_part(event, added);
    for (HostAction& action : added) {
      auto* answer = std::get_if<Answer>(&action);
      if (answer != nullptr) alter(*answer);
      if (answer != nullptr && seeded(Defect::answers_twice) && answer->kind == AnswerKind::failed)
        actions.push_back(action);
      actions.push_back(std::move(action));
    }
  }

  [[nodiscard]] std::optional<TimePoint> due() const {
    constexpr int late_steps = 20;
    auto due = QueryCoordinator::due();
    if (due && seeded(Defect::timers_fire_late)) *due += late_steps * clock_step_;
    return due;
  }

 private:
  static bool is_suppressed(const CoreEvent& event) {
    const auto* endpoints = std::get_if<EndpointsUpdated>(&event);
    return seeded(Defect::drain_event_dropped) && endpoints != nullptr &&
           endpoints->scope == EndpointUpdate::delta && !endpoints->engines.empty() &&
           endpoints->engines[0].state == EngineState::draining;
  }

  static void alter(Answer& answer) {
    if (!seeded(Defect::shutdown_failure_reported_as_rejection)) return;
    if (answer.kind != AnswerKind::failed || !answer.shutting_down) return;
    answer.kind = AnswerKind::rejected;
    answer.retry_safety = RetrySafety::safe;
  }

  void remember_sessions(const CoreEvent& event, const std::vector<HostAction>& added) {
    if (!seeded(Defect::delivers_after_final_answer)) return;
    if (const auto* query = std::get_if<QueryArrived>(&event))
      session_of_query_[query->query] = query->session;
    if (const auto* closed = std::get_if<SessionClosed>(&event))
      std::erase_if(session_of_query_, [&](const auto& one) { return one.second == closed->session; });
    for (const HostAction& action : added)
      if (const auto* send = std::get_if<SendQuery>(&action)) query_on_channel_[send->channel] = send->query;
    for (const HostAction& action : added)
      if (const auto* answer = std::get_if<Answer>(&action)) answered_.insert(answer->query);
  }

  /// Ends each attempt that the module cancels at once, although its engine has not confirmed the cancel. The
  /// channel stays open without a query.
  void end_cancelled_attempts(std::vector<HostAction>& added) {
    std::vector<ChannelId> cancelled;
    for (const HostAction& action : added)
      if (const auto* cancel = std::get_if<CancelOnEngine>(&action)) cancelled.push_back(cancel->channel);
    host_actions_ = &added;
    for (const ChannelId id : cancelled) {
      const ChannelRecord* channel = find_channel(id);
      if (channel == nullptr || !channel->query) continue;
      QueryRecord& query = queries_.at(*channel->query);
      const std::uint32_t attempt_index = channel->attempt_index;
      if (query.attempts[attempt_index].timed_out) continue;  // the timeout cancels it, not the module
      end_attempt(query, attempt_index, AttemptResult::cancelled);
    }
    process_module_events();
  }

  /// Delivers answer parts that arrive after the final answer, instead of discarding them.
  void deliver_discarded(const CoreEvent& event, std::vector<HostAction>& added) const {
    const auto* part = std::get_if<AnswerPart>(&event);
    if (part == nullptr || !query_on_channel_.contains(part->channel)) return;
    const QueryId query = query_on_channel_.at(part->channel);
    const auto session = session_of_query_.find(query);
    if (!answered_.contains(query) || session == session_of_query_.end()) return;
    for (HostAction& action : added) {
      const auto* discard = std::get_if<Discard>(&action);
      if (discard == nullptr || discard->channel != part->channel) continue;
      action = Deliver{part->channel, session->second, part->bytes};
    }
  }

  /// Discards the bytes that arrive with the end of an answer and those buffered before.
  static void discard_last_part(const CoreEvent& event, std::vector<HostAction>& added) {
    const auto* end = std::get_if<AnswerEnd>(&event);
    if (end == nullptr) return;
    for (HostAction& action : added) {
      const auto* deliver = std::get_if<Deliver>(&action);
      if (deliver != nullptr && deliver->channel == end->channel) action = Discard{end->channel};
    }
  }

  Duration clock_step_;
  std::map<QueryId, SessionId> session_of_query_;
  std::map<ChannelId, QueryId> query_on_channel_;
  std::set<QueryId> answered_;
};

}  // namespace paddlestand::core

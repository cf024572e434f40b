// Timers of the query coordinator, and the graceful shutdown.
#include <algorithm>

#include "query_coordinator.hpp"

namespace paddlestand::core {

void QueryCoordinator::on(const TimerExpired&) {
  // Timers that are armed in this loop are left to a later call, so that the loop always ends.
  const std::size_t armed_timers = timers_.size();
  for (std::size_t i = 0; i < armed_timers; ++i) {
    const auto timer = timers_.pop_due(now_);
    if (!timer) break;
    std::visit([this](const auto& expired) { on_timer(expired); }, *timer);
    process_module_events();
  }
}

void QueryCoordinator::on_timer(const ModuleTimer& timer) { notify_module(TimerFired{timer.token}); }

void QueryCoordinator::on_timer(const Timer& timer) {
  switch (timer.use) {
    case TimerUse::attempt_timeout:
      if (QueryRecord* query = find_query(timer.subject)) time_out_attempt(*query, timer.attempt_index);
      break;
    case TimerUse::connect:
    case TimerUse::cancel_grace: on(ChannelLost{timer.subject, ChannelLossReason::timed_out}); break;
    case TimerUse::probe:
      channels_.at(timer.subject).timer.reset();
      end_probe(timer.subject, AttemptResult::timed_out);
      break;
    case TimerUse::idle_channel: close_channel(timer.subject); break;
    case TimerUse::shutdown: end_shutdown_grace(); break;
  }
}

// ---- Graceful shutdown ----

void QueryCoordinator::on(const BeginShutdown& event) {
  if (lifecycle_ != Lifecycle::running) return;
  lifecycle_ = Lifecycle::draining;
  timers_.arm(now_ + event.grace, {TimerUse::shutdown, 0, 0});
  finish_shutdown_if_idle();
}

void QueryCoordinator::end_shutdown_grace() {
  std::vector<QueryId> unanswered;
  for (const auto& [id, query] : queries_)
    if (!query.is_finished()) unanswered.push_back(id);
  std::sort(unanswered.begin(), unanswered.end());
  for (const QueryId id : unanswered) {
    QueryRecord& query = queries_.at(id);
    Outcome outcome{.kind = AnswerKind::failed, .shutting_down = true};
    if (query.had_no_effect()) {
      outcome.kind = AnswerKind::rejected;
      outcome.retry_safety = RetrySafety::safe;
    }
    finish_query(query, outcome);
    notify_module(RequestAbandoned{id});
    process_module_events();
  }
  finish_shutdown_if_idle();
}

void QueryCoordinator::finish_shutdown_if_idle() {
  if (lifecycle_ != Lifecycle::draining || !queries_.empty()) return;
  lifecycle_ = Lifecycle::finished;
  emit(ShutdownComplete{});
}

}  // namespace paddlestand::core

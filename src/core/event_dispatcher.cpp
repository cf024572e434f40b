#include "event_dispatcher.hpp"

#include "seeded_defects.hpp"

namespace paddlestand::core {

EventDispatcher::EventDispatcher(CoreSettings settings, bool watch) : coordinator_(settings) {
  if (watch) monitor_.emplace(settings);
}

void EventDispatcher::dispatch(CoreEvent event, HostInterface& host) {
  pending_events_.push_back(std::move(event));
  if (dispatching_ || stopped_) return;
  dispatching_ = true;
  while (!pending_events_.empty() && !stopped_) {
    const CoreEvent next = std::move(pending_events_.front());
    pending_events_.pop_front();
    take(next, host);
  }
  dispatching_ = false;
}

void EventDispatcher::take(const CoreEvent& event, HostInterface& host) {
  host.on_event(event);
  const TimePoint now = host.now();
  if (monitor_) monitor_->on_event(now, event);
  effects_.clear();
  coordinator_.handle(now, event, effects_);
  for (const HostAction& action : effects_) {
    if (monitor_) monitor_->on_action(now, action);
    if (const auto* query = std::get_if<SendQuery>(&action)) {
      sent(query->channel, host.send(*query), host);
    } else if (const auto* probe = std::get_if<SendProbe>(&action)) {
      sent(probe->channel, host.send(*probe), host);
    } else {
      std::visit(
          [&](const auto& one) {
            using One = std::decay_t<decltype(one)>;
            if constexpr (!std::is_same_v<One, SendQuery> && !std::is_same_v<One, SendProbe>)
              host.execute(one);
          },
          action);
    }
  }
  report(host);
}

void EventDispatcher::sent(ChannelId channel, WriteResult how, HostInterface& host) {
  if (how == WriteResult::partial) return;
  CoreEvent event = QuerySent{channel};
  const bool lost = how == WriteResult::failed || how == WriteResult::suppressed;
  if (lost)
    event = ChannelLost{channel,
                        how == WriteResult::failed ? ChannelLossReason::closed : ChannelLossReason::local};
  if (lost || seeded(Defect::sent_told_behind_others)) {
    pending_events_.push_back(std::move(event));
    return;
  }
  // Not only first in the line: before a further effect of the same turn, too, since it may tell something.
  if (monitor_) monitor_->on_event(host.now(), event);
  std::vector<HostAction> none;
  coordinator_.handle(host.now(), event, none);
}

void EventDispatcher::report(HostInterface& host) {
  if (!monitor_) return;
  for (const InvariantViolation& violation : monitor_->violations()) host.on_violation(violation);
  monitor_->violations().clear();
}

void EventDispatcher::visit(StateVisitor& visitor) {
  coordinator_.visit(visitor);
  if (monitor_) monitor_->visit(visitor);
}

}  // namespace paddlestand::core

#include "event_dispatcher.hpp"

namespace paddlestand::core {

namespace {

CoreEvent event_of(ChannelId channel, WriteResult result) {
  switch (result) {
    case WriteResult::failed: return ChannelLost{channel, ChannelLossReason::closed};
    case WriteResult::suppressed: return ChannelLost{channel, ChannelLossReason::local};
    default: return QuerySent{channel};
  }
}

}  // namespace

EventDispatcher::EventDispatcher(const CoreSettings& settings, bool watch) : coordinator_(settings) {
  if (watch) monitor_.emplace(settings);
}

void EventDispatcher::dispatch(CoreEvent event, HostInterface& host) {
  pending_events_.push_back(std::move(event));
  if (dispatching_ || stopped_) return;
  dispatching_ = true;
  while (!pending_events_.empty() && !stopped_) {
    const CoreEvent next = std::move(pending_events_.front());
    pending_events_.pop_front();
    process(next, host);
  }
  dispatching_ = false;
}

void EventDispatcher::process(const CoreEvent& event, HostInterface& host) {
  host.on_event(event);
  const TimePoint now = host.now();
  if (monitor_) monitor_->on_event(now, event);
  actions_.clear();
  coordinator_.handle(now, event, actions_);
  for (const HostAction& action : actions_) {
    if (monitor_) monitor_->on_action(now, action);
    execute(action, host);
  }
  report_violations(host);
}

void EventDispatcher::execute(const HostAction& action, HostInterface& host) {
  std::visit(
      [&](const auto& one) {
        using One = std::decay_t<decltype(one)>;
        if constexpr (std::is_same_v<One, SendQuery> || std::is_same_v<One, SendProbe>) {
          on_written(one.channel, host.send(one), host);
        } else {
          host.execute(one);
        }
      },
      action);
}

void EventDispatcher::on_written(ChannelId channel, WriteResult result, HostInterface& host) {
  if (result == WriteResult::partial) return;
  CoreEvent event = event_of(channel, result);
  if (!parts::Rules::precedes_pending_events(result)) {
    pending_events_.push_back(std::move(event));
    return;
  }
  if (monitor_) monitor_->on_event(host.now(), event);
  std::vector<HostAction> no_actions;
  coordinator_.handle(host.now(), event, no_actions);
}

void EventDispatcher::report_violations(HostInterface& host) {
  if (!monitor_) return;
  for (const InvariantViolation& violation : monitor_->violations()) host.on_violation(violation);
  monitor_->violations().clear();
}

void EventDispatcher::visit(StateVisitor& visitor) {
  coordinator_.visit(visitor);
  if (monitor_) monitor_->visit(visitor);
}

}  // namespace paddlestand::core

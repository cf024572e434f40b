#include "desk.hpp"

#include "seeded.hpp"

namespace paddlestand::core {

Desk::Desk(CoreSettings settings, bool watch) : conductor_(settings) {
  if (watch) promises_.emplace(settings);
}

void Desk::tell(CoreEvent event, Hands& hands) {
  told_.push_back(std::move(event));
  if (taking_ || stopped_) return;
  taking_ = true;
  while (!told_.empty() && !stopped_) {
    const CoreEvent next = std::move(told_.front());
    told_.pop_front();
    take(next, hands);
  }
  taking_ = false;
}

void Desk::take(const CoreEvent& event, Hands& hands) {
  hands.taking(event);
  const TimePoint now = hands.now();
  if (promises_) promises_->told(now, event);
  effects_.clear();
  conductor_.handle(now, event, effects_);
  for (const Effect& effect : effects_) {
    if (promises_) promises_->did(now, effect);
    if (const auto* query = std::get_if<SendQuery>(&effect)) {
      sent(query->link, hands.send(*query), hands);
    } else if (const auto* probe = std::get_if<SendProbe>(&effect)) {
      sent(probe->link, hands.send(*probe), hands);
    } else {
      std::visit(
          [&](const auto& one) {
            using One = std::decay_t<decltype(one)>;
            if constexpr (!std::is_same_v<One, SendQuery> && !std::is_same_v<One, SendProbe>)
              hands.carry_out(one);
          },
          effect);
    }
  }
  report(hands);
}

void Desk::sent(LinkId link, Written how, Hands& hands) {
  if (how == Written::partly) return;
  CoreEvent event = QuerySent{link};
  const bool lost = how == Written::failed || how == Written::withheld;
  if (lost) event = LinkLost{link, how == Written::failed ? LinkLoss::closed : LinkLoss::local};
  if (lost || seeded(Defect::sent_told_behind_others)) {
    told_.push_back(std::move(event));
    return;
  }
  // Not only first in the line: before a further effect of the same turn, too, since it may tell something.
  if (promises_) promises_->told(hands.now(), event);
  std::vector<Effect> none;
  conductor_.handle(hands.now(), event, none);
}

void Desk::report(Hands& hands) {
  if (!promises_) return;
  for (const Breach& breach : promises_->breaches()) hands.broken(breach);
  promises_->breaches().clear();
}

void Desk::visit(StateVisitor& visitor) {
  conductor_.visit(visitor);
  if (promises_) promises_->visit(visitor);
}

}  // namespace paddlestand::core

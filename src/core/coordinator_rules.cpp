#include "coordinator_rules.hpp"

namespace paddlestand::core {

AttemptResult CoordinatorRules::result_of_loss(const ChannelRecord& channel, const AttemptRecord& attempt,
                                               ChannelLossReason reason) {
  if (channel.is_unsent()) {
    // A shortage on this machine, such as of descriptors, is not counted against the engine.
    return reason == ChannelLossReason::local ? AttemptResult::not_sent : AttemptResult::connect_failed;
  }
  if (channel.state.is(ChannelState::cancelling)) return attempt.cancel_result();
  return AttemptResult::reset;  // the outcome is unknown: the query may still run
}

void CoordinatorRules::withdraw_sends(std::vector<HostAction>& actions, ChannelId channel) {
  std::erase_if(actions, [channel](const HostAction& action) {
    const auto* query = std::get_if<SendQuery>(&action);
    const auto* probe = std::get_if<SendProbe>(&action);
    return (query != nullptr && query->channel == channel) || (probe != nullptr && probe->channel == channel);
  });
}

}  // namespace paddlestand::core

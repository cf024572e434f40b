#include "engine_channels.hpp"

#include <utility>
#include <variant>

#include "engine_channel.hpp"

namespace paddlestand::service {

bool EngineChannels::set_endpoint(EngineId engine, const Endpoint& endpoint) {
  const auto [known, is_new] = endpoints_.try_emplace(engine, endpoint);
  const bool has_moved = !is_new && known->second != endpoint;
  known->second = endpoint;
  return has_moved;
}

void EngineChannels::forget_endpoints_except(const std::set<EngineId>& engines) {
  std::erase_if(endpoints_, [&](const auto& entry) { return !engines.contains(entry.first); });
}

void EngineChannels::open(PostgresServer& server, core::ChannelId id, EngineId engine) {
  const auto channel = std::make_shared<EngineChannel>(server, id, endpoints_.at(engine));
  channels_.emplace(id, channel);
  channel->start();
}

void EngineChannels::close(core::ChannelId id) {
  find(id)->close();
  channels_.erase(id);
}

std::shared_ptr<EngineChannel> EngineChannels::find(core::ChannelId id) const {
  const auto found = channels_.find(id);
  return found == channels_.end() ? nullptr : found->second;
}

void AnswerEnds::begin_event(const core::CoreEvent& event) {
  current_.reset();
  const auto* answer_end = std::get_if<core::AnswerEnd>(&event);
  if (answer_end == nullptr) return;
  auto pending = pending_.extract(answer_end->channel);
  if (pending) current_ = std::move(pending.mapped());
}

}  // namespace paddlestand::service

#include "stream_table.hpp"

#include <algorithm>

namespace paddlestand::core {

bool StreamTable::may_carry(StreamId id) const {
  return !exhausted() && !std::binary_search(used_.begin(), used_.end(), id);
}

bool StreamTable::reserve(StreamId id, ChannelId channel) {
  if (!may_carry(id)) return false;
  used_.insert(std::lower_bound(used_.begin(), used_.end(), id), id);
  live_.emplace(id, Stream{channel, false});
  return true;
}

bool StreamTable::open(StreamId id, ChannelId channel) {
  const auto found = live_.find(id);
  if (found == live_.end() || found->second.channel != channel || found->second.open) return false;
  found->second.open = true;
  return true;
}

void StreamTable::close(StreamId id) { live_.erase(id); }

void StreamTable::release(StreamId id) {
  if (live_.erase(id) == 0) return;
  const auto found = std::lower_bound(used_.begin(), used_.end(), id);
  if (found != used_.end() && *found == id) used_.erase(found);
}

std::optional<ChannelId> StreamTable::channel_of(StreamId id) const {
  const auto found = live_.find(id);
  if (found == live_.end() || !found->second.open) return std::nullopt;
  return found->second.channel;
}

}  // namespace paddlestand::core

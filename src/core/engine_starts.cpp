#include "engine_starts.hpp"

#include <algorithm>

namespace paddlestand::core {
namespace {

/// Start times are also kept for engines that were removed from the list, since they may be listed again with
/// the same start time. Beyond this number, only those of listed engines are kept.
constexpr std::size_t max_remembered = 16384;

/// Zero means "long ago" to the decision module.
TimePoint never_zero(TimePoint at) { return std::max(at, TimePoint{1}); }

}  // namespace

void EngineStarts::map(TimePoint now, std::span<EngineEntry> entries) {
  Duration newest{};
  for (const EngineEntry& entry : entries) newest = std::max(newest, entry.started);
  if (first_list_)
    for (const auto& [id, start] : starts_) newest = std::max(newest, start.since_1970);
  for (EngineEntry& entry : entries) {
    if (entry.started.count() <= 0) continue;
    const auto [place, is_new] = starts_.try_emplace(entry.engine);
    Start& start = place->second;
    if (is_new || start.since_1970 != entry.started) {
      start.since_1970 = entry.started;
      start.at = never_zero(first_list_ ? now - (newest - entry.started) : now);
    }
    start.last_listed = now;
    entry.started = start.at;
  }
  remove_unlisted(now);
}

void EngineStarts::remove_unlisted(TimePoint now) {
  if (starts_.size() <= max_remembered) return;
  std::erase_if(starts_, [now](const auto& one) { return one.second.last_listed < now; });
}

}  // namespace paddlestand::core

// The digest of a ModelState: the minimum over all permutations of the names of equal engines.
#include <algorithm>
#include <numeric>
#include <utility>

#include "core/state_walk.hpp"
#include "digest.hpp"
#include "model_state.hpp"

namespace paddlestand::explorer {
namespace {

using EngineNames = std::vector<std::uint8_t>;  // by engine id; id 0 is unused

/// All permutations of engines within their zones. The engines of one zone are interchangeable.
std::vector<EngineNames> permutations_within_zones(std::uint32_t engines, std::uint32_t zones) {
  std::vector<std::uint8_t> order(engines);
  std::iota(order.begin(), order.end(), std::uint8_t{1});
  std::vector<EngineNames> permutations;
  do {
    EngineNames names(engines + 1, 0);
    bool keeps_zones = true;
    for (std::uint32_t i = 0; i < engines; ++i) {
      names[i + 1] = order[i];
      keeps_zones = keeps_zones && i % zones == (order[i] - 1U) % zones;
    }
    if (keeps_zones) permutations.push_back(std::move(names));
  } while (std::next_permutation(order.begin(), order.end()));
  return permutations;
}

void visit_client(const core::StateWalk& walk, const Client& client) {
  walk.integers(client.is_connected, client.is_reading, client.is_broken, client.queries_submitted,
                client.undelivered_bytes, client.active_query, client.has_deferred_cancel,
                client.cancelled_query == client.active_query);
}

void visit_query(const core::StateWalk& walk, QueryId id, const ObservedQuery& observed) {
  walk.name(core::Name::query, id);
  walk.integers(observed.client, observed.is_answered, observed.attempts_in_flight, observed.rows_delivered,
                observed.rows_channel != 0);
  if (observed.rows_channel != 0) walk.name(core::Name::channel, observed.rows_channel);
}

void visit_channel(const core::StateWalk& walk, const EngineSideChannel& channel, bool has_running_process) {
  walk.name(core::Name::channel, channel.id);
  walk.name(core::Name::engine, channel.engine);
  walk.integers(has_running_process, channel.is_probe, channel.is_open, channel.is_paused, channel.is_closed,
                channel.transmission);
  walk.integers(channel.small_parts, channel.large_parts, channel.progress_reports,
                channel.pending_cancel.has_value());
  if (channel.transmission != Transmission::none) walk.name(core::Name::query, channel.query);
  if (channel.pending_cancel) walk.name(core::Name::query, *channel.pending_cancel);
  walk.list(channel.buffered_rows,
            [&](const Row& row) { walk.integers(row.query, row.number, row.channel == channel.id); });
}

void visit_engine(const core::StateWalk& walk, EngineId id, const ModelEngine& engine) {
  walk.name(core::Name::engine, id);
  walk.integers(engine.listed_state, engine.is_stalled, engine.was_disrupted);
  walk.since(engine.started);
  if (engine.listed_state != EngineState::ready) walk.since(engine.not_ready_since);
}

}  // namespace

std::uint64_t ModelState::digest() {
  static thread_local std::vector<EngineNames> permutations;
  static thread_local std::pair<std::uint32_t, std::uint32_t> permutations_of{0, 0};
  const std::pair engines_and_zones{scope_->engines, scope_->zones};
  if (permutations_of != engines_and_zones) {
    permutations_of = engines_and_zones;
    permutations = permutations_within_zones(scope_->engines, scope_->zones);
  }
  std::uint64_t least = ~std::uint64_t{0};
  for (const EngineNames& names : permutations) least = std::min(least, digest_with(names));
  return least;
}

std::uint64_t ModelState::digest_with(std::span<const std::uint8_t> engine_names) {
  Digest digest(engine_names);
  for (ManagerState& manager : managers_) {
    digest.set_lag(static_cast<double>((now_ - manager.dispatcher.coordinator().now()).count()) * 1e-9);
    manager.dispatcher.visit(digest);
    digest.set_lag(0);
    const core::StateWalk walk(digest, now_);
    walk.list(manager.clients, [&](const Client& client) { visit_client(walk, client); });
    walk.table(manager.queries,
               [&](QueryId id, const ObservedQuery& query) { visit_query(walk, id, query); });
    walk.set(manager.channels, [&](const EngineSideChannel& channel) {
      visit_channel(walk, channel, has_running_process(channel));
    });
    walk.integers(manager.is_shutting_down);
  }
  const core::StateWalk walk(digest, now_);
  walk.set(engines_, [&](const ModelEngine& engine) {
    visit_engine(walk, static_cast<EngineId>(&engine - engines_.data()) + 1, engine);
  });
  walk.integers(remaining_faults_, discovery_failed_, timer_delayed_);
  return digest.value();
}

}  // namespace paddlestand::explorer

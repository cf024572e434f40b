#include "decision/manager_state.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "decision/units.hpp"
#include "decision/visit_fields.hpp"

namespace paddlestand::decision {
namespace {

/// Limits memory use if the settings contain an absurd number of instances.
constexpr std::size_t max_peers = 65536;

Settings with_usable_threads(Settings settings) {
  for (ClassSettings& class_settings : settings.classes) {
    class_settings.threads = positive_or(class_settings.threads, 1.0);
  }
  return settings;
}

void visit_peer(StateVisitor& visitor, PeerReport& peer) {
  visitor.since(peer.received_at);
  visit_sequence(visitor, peer.in_flight, [&](GossipEntry& entry) {
    visit_id(visitor, StateVisitor::Name::engine, entry.engine);
    visit_numbers(visitor, entry.threads, entry.memory_share);
  });
}

}  // namespace

ManagerState::ManagerState(Settings given_settings)
    : shared_settings(std::make_shared<const Settings>(with_usable_threads(std::move(given_settings)))),
      settings(*shared_settings),
      classes(settings.classes.size()),
      retry_budget(settings),
      tenant_quota(settings) {
  random.seed(settings.seed);
  if (settings.may_gossip) gossip.peers.resize(std::min<std::size_t>(settings.instances, max_peers));
}

void ManagerState::visit(StateVisitor& visitor) {
  visitor.clock(now);
  visit_sequence(visitor, classes, [&](ClassState& class_state) { visit_class(visitor, class_state); });
  visit_engines(visitor, engines, schedule.origin);
  requests.visit(visitor);
  ordering_keys.visit(visitor);
  retry_budget.visit(visitor);
  cancellations.visit(visitor);
  tenant_quota.visit_tokens(visitor);
  visit_map(visitor, zone_load, [&](std::uint32_t& zone, double& load) {
    visit_integer(visitor, zone);
    visitor.number(load);
  });
  visit_sequence(visitor, gossip.peers, [&](PeerReport& peer) { visit_peer(visitor, peer); });
  visit_numbers(visitor, fleet.ready_engines, fleet.unhealthy_engines, unannounced_memory, fleet.memory_bound,
                gossip.tokens, fleet.thread_bound, mean_failure_rate);
  for (double& threads : threads_by_priority) visitor.number(threads);
  visitor.until(gossip.next_send_at);
  visitor.since(gossip.refilled_at);
  tenant_quota.visit_refill_time(visitor);
  visitor.until(schedule.next_control_period);
  visitor.until(schedule.next_check);
  visitor.until(schedule.resubscribe_at);
  visit_integer(visitor, schedule.is_started);
  visitor.generator(random);
}

}  // namespace paddlestand::decision

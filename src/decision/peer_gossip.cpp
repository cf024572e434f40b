#include "decision/peer_gossip.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "decision/units.hpp"

namespace paddlestand::decision {
namespace {

/// Highest price of announcing a request, as a share of the request's relative priority weight.
constexpr double max_price_share = 0.05;
/// Number of entries per peer that announcing one request is assumed to take.
constexpr double entries_per_request = 4;
constexpr double priced_bytes = 256;  // Settings::gossip_price is per this many bytes
/// Messages per second that all managers together may send to each peer.
constexpr double fleet_message_rate = 350;
/// Messages that one manager may send in a burst.
constexpr double max_message_burst = 3;
/// Delay before the end of an attempt is announced, in seconds, so that it can share a message with a start.
constexpr double end_delay = 0.4;
/// Period after which attempts in flight are announced again, in seconds, because messages can be lost.
constexpr double resend_period = 2.0;
/// Time without a message after which a peer's announcements are dropped, in seconds.
constexpr double gossip_expiry = 5;

}  // namespace

bool PeerGossip::should_announce(std::uint32_t class_index) const {
  const Settings& settings = state_.settings;
  // If engines queue requests when memory runs short, overloading one engine slows down only its own
  // requests.
  if (!settings.may_gossip || settings.memory_shortage == MemoryShortage::queue) return false;
  const double price = settings.gossip_price * entries_per_request * settings.gossip_entry_bytes *
                       (instance_count(settings) - 1) / priced_bytes;
  return price <= max_price_share * costs_.relative_weight(class_index);
}

void PeerGossip::record_start(const Attempt& attempt) {
  if (attempt.announced) {
    state_.gossip.next_send_at = state_.now;
  } else {
    state_.unannounced_memory += attempt.granted_memory;
  }
}

void PeerGossip::record_end(const Attempt& attempt) {
  if (attempt.announced) {
    state_.gossip.next_send_at = std::min(state_.gossip.next_send_at, state_.now + end_delay);
  } else {
    state_.unannounced_memory -= attempt.granted_memory;
  }
}

void PeerGossip::send_if_due() {
  GossipState& gossip = state_.gossip;
  const double refill_rate = fleet_message_rate / instance_count(state_.settings);
  gossip.tokens =
      std::min(max_message_burst, gossip.tokens + refill_rate * (state_.now - gossip.refilled_at));
  gossip.refilled_at = state_.now;
  if (gossip.tokens < 1 || state_.now < gossip.next_send_at) return;
  std::vector<GossipEntry> entries;
  for (const auto& [id, request] : state_.requests) {
    for (const Attempt& attempt : request.attempts) {
      if (!attempt.in_flight || !attempt.announced) continue;
      const double capacity = state_.engines.at(attempt.engine).memory_capacity;
      const double memory_share = capacity > 0 ? attempt.granted_memory / capacity : 0;
      entries.push_back({attempt.engine, state_.settings_of(request).threads, memory_share});
    }
  }
  gossip.tokens -= 1;
  gossip.next_send_at = entries.empty() ? never : state_.now + resend_period;
  actions_.emit(SendGossip{std::move(entries)});
}

void PeerGossip::receive(const GossipReceived& message) {
  std::vector<PeerReport>& peers = state_.gossip.peers;
  if (message.author >= peers.size() || message.author == state_.settings.instance_index) return;
  PeerReport& peer = peers[message.author];
  apply(peer, Change::remove);
  peer.received_at = state_.now;
  peer.in_flight.clear();
  for (const GossipEntry& entry : message.entries) {
    if (state_.engines.contains(entry.engine)) peer.in_flight.push_back(entry);
  }
  apply(peer, Change::add);
}

void PeerGossip::expire() {
  for (PeerReport& peer : state_.gossip.peers) {
    if (peer.in_flight.empty() || state_.now < peer.received_at + gossip_expiry) continue;
    apply(peer, Change::remove);
    peer.in_flight.clear();
  }
}

void PeerGossip::apply(const PeerReport& report, Change change) {
  const double sign = change == Change::add ? 1 : -1;
  for (const GossipEntry& entry : report.in_flight) {
    Engine& engine = state_.engines.at(entry.engine);  // receive() drops entries of unknown engines
    engine.peer_threads += sign * entry.threads;
    engine.peer_memory += sign * entry.memory_share * engine.memory_capacity;
  }
}

}  // namespace paddlestand::decision

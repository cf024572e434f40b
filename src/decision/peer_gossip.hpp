/// \file
/// Gossip: managers announce their attempts in flight to each other if the benefit justifies the price.
#pragma once

#include <cstdint>

#include "decision/action_sink.hpp"
#include "decision/cost_model.hpp"
#include "decision/manager_state.hpp"

namespace paddlestand::decision {

class PeerGossip {
 public:
  PeerGossip(ManagerState& state, ActionSink& actions, const CostModel& costs)
      : state_(state), actions_(actions), costs_(costs) {}

  /// Whether the priority weight of this class justifies the price of announcing its requests to all peers.
  [[nodiscard]] bool should_announce(std::uint32_t class_index) const;

  void record_start(const Attempt& attempt);
  void record_end(const Attempt& attempt);
  /// Sends a message with all announced attempts in flight, if one is due and the message rate allows it.
  /// Messages are complete, so a lost one is replaced by the next.
  void send_if_due();

  /// Replaces the author's previous announcement. Messages of unknown authors and of this manager are
  /// ignored.
  void receive(const GossipReceived& message);
  /// Drops the announcements of peers that have sent no message for some time.
  void expire();

 private:
  enum class Change : std::uint8_t { add, remove };

  void apply(const PeerReport& report, Change change);

  ManagerState& state_;
  ActionSink& actions_;
  const CostModel& costs_;
};

}  // namespace paddlestand::decision

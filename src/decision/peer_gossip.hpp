/// \file
/// Gossip: managers announce to each other which attempts they have in flight, where that is worth its price.
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

  /// Whether requests of this class are worth the messages that announce their start and end to all peers.
  [[nodiscard]] bool should_announce(std::uint32_t class_index) const;

  void record_start(const Attempt& attempt);
  void record_end(const Attempt& attempt);
  /// Sends all announced attempts in flight, if that is due and the message rate allows it. Each message is
  /// complete: the next one makes up for one that was lost.
  void send_if_due();

  /// Replaces what its author last announced. Messages of unknown authors and of this manager are ignored.
  void receive(const GossipReceived& message);
  /// Drops what peers announced that have fallen silent.
  void expire();

 private:
  enum class Change : std::uint8_t { add, remove };

  void apply(const PeerReport& report, Change change);

  ManagerState& state_;
  ActionSink& actions_;
  const CostModel& costs_;
};

}  // namespace paddlestand::decision

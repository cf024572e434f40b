/// The engine list defined by the events of the command channel. Detects duplicate and missing events, and
/// maps engines to their addresses. No I/O.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "config.hpp"

namespace paddlestand::platform {

/// The engines and the number of the last event.
class EndpointList {
 public:
  enum class ApplyResult : std::uint8_t {
    applied,
    duplicate,  ///< ignored, because its number is not above the last one
    gap  ///< an earlier event is missing and must be requested
  };

  /// Applies an event. Fills `update` with the changes, with start times as time since 1970, and
  /// `ended_processes` with the engines whose process was removed, moved or restarted.
  ApplyResult apply(const discovery::Event& event, core::EndpointsUpdated& update,
                    std::vector<EngineId>& ended_processes);
  /// Drops the addresses of removed engines; called when nothing can be sent to them any longer.
  void forget_removed();

  /// The number of the last event.
  [[nodiscard]] std::uint64_t last_event() const { return last_event_; }
  /// Returns std::nullopt if the engine is unknown.
  [[nodiscard]] std::optional<Address> address(EngineId engine) const;
  /// Whether the engine is known and neither draining nor removed.
  [[nodiscard]] bool is_ready(EngineId engine) const;
  [[nodiscard]] std::size_t size() const { return engines_.size(); }

 private:
  struct Engine {
    Address address;
    TimePoint started{};
    EngineState state{};
    [[nodiscard]] bool is_removed() const { return state == EngineState::removed; }
    [[nodiscard]] bool is_same_process_as(const Engine& other) const {
      return !is_removed() && !other.is_removed() && address == other.address && started == other.started;
    }
  };

  void remove_unlisted(const std::set<EngineId>& listed, std::vector<EngineId>& ended_processes);

  std::uint64_t last_event_ = 0;
  std::map<EngineId, Engine> engines_;
};

}  // namespace paddlestand::platform

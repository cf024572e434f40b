/// The list of engines as the events of the command channel define it: which event is new, which is a
/// duplicate, where one is missing; and the address of every engine. No I/O.
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
    duplicate,  ///< its number is not above the last: ignored
    gap  ///< an event before it is missing and has to be requested
  };

  /// Applies an event. `update` gets what it changed, start times counting from 1970; `ended_processes` gets
  /// the engines whose process was removed, moved or restarted.
  ApplyResult apply(const discovery::Event& event, core::EndpointsUpdated& update,
                    std::vector<EngineId>& ended_processes);
  /// Drops the addresses of removed engines, once nothing can be sent to them any more.
  void forget_removed();

  /// The number of the last event.
  [[nodiscard]] std::uint64_t last() const { return last_event_; }
  /// Nothing where the engine is unknown.
  [[nodiscard]] std::optional<Address> address(EngineId engine) const;
  /// Whether the engine is known, and neither draining nor removed.
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

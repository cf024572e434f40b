// The list of engines as the command channel's events make it: which event is new, which was seen before,
// where one is missing; and the address of every engine that may be talked to. No I/O.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "config.hpp"

namespace paddlestand::platform {

class EndpointList {
 public:
  enum class ApplyResult : std::uint8_t {
    applied,
    duplicate,  // its number is not above the last: passed over
    gap,  // an event before it is missing: to be asked for
  };

  // What it changed is in `told`; start times count from 1970. `ended`: engines whose process is another one
  // from here on, or none: gone, moved or started anew.
  ApplyResult take(const discovery::Event& event, core::EndpointsUpdated& told, std::vector<EngineId>& ended);
  // Forgets the addresses of engines that are gone, once nothing can be sent to them any more.
  void forget_removed();

  [[nodiscard]] std::uint64_t last() const { return last_; }
  [[nodiscard]] std::optional<Address> address(EngineId engine) const;
  [[nodiscard]] std::size_t size() const { return engines_.size(); }

 private:
  struct Engine {
    Address at;
    TimePoint started{};
    bool gone = false;
    [[nodiscard]] bool same_process(const Engine& other) const {
      return !gone && !other.gone && at == other.at && started == other.started;
    }
  };
  std::uint64_t last_ = 0;
  std::map<EngineId, Engine> engines_;
};

}  // namespace paddlestand::platform

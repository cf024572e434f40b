// Hosts workload managers behind the simulator's wire: one batch frame in, one reply frame out.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "paddlestand/workload_manager.hpp"

namespace paddlestand::bench_adapter {

// Input that is not a legal frame. It does not cross the interface of the module.
struct MalformedFrame : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline constexpr std::size_t batch_header_bytes = 20;
inline constexpr std::size_t most_frame_bytes = std::size_t{1} << 30;

// The length that a frame states for itself, checked.
std::size_t frame_length(std::span<const std::uint8_t> first_four);

class WireHost {
 public:
  // Takes a whole batch frame, with its header, and returns the reply frame.
  std::vector<std::uint8_t> reply_to(std::span<const std::uint8_t> batch);

 private:
  struct Instance {
    WorkloadManager manager;
    std::vector<std::string> report_names;
    bool tells_cost = false;
    std::map<std::uint16_t, EngineId> marks;  // of the engines that its lists named, as peers call them
  };

  std::map<std::uint16_t, Instance> instances_;
  std::array<std::vector<EngineEntry>, 16> lists_;
  std::vector<Action> actions_;
  std::vector<GossipEntry> told_;
};

}  // namespace paddlestand::bench_adapter

/// Hosts workload managers behind the simulator's wire. Each batch frame gets one reply frame.
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

/// Invalid input. The exception stays within the bench adapter.
struct MalformedFrame : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline constexpr std::size_t frame_length_bytes = 4;  // a frame starts with its own length
inline constexpr std::size_t batch_header_bytes = 20;
inline constexpr std::size_t max_frame_bytes = std::size_t{1} << 30;

/// Reads the length of a frame from its first `frame_length_bytes` bytes. Throws MalformedFrame if the length
/// is out of range.
std::size_t frame_length(std::span<const std::uint8_t> prefix);

enum class EventCode : std::uint8_t;
class WireReader;
class WireWriter;

/// The workload managers of a simulation. Each is an instance with a number. Not thread-safe.
class WireHost {
 public:
  /// Processes a complete batch frame, including its header, and returns the reply frame. Throws
  /// MalformedFrame; the host can't be used after that.
  std::vector<std::uint8_t> reply_to(std::span<const std::uint8_t> batch);

 private:
  static constexpr std::size_t endpoint_list_count = 16;

  struct Instance {
    WorkloadManager manager;
    std::vector<std::string> report_names;  // names of a load report's values, in order
    bool answers_report_cost = false;
    std::map<std::uint16_t, EngineId> engines_by_short_id;  // engines of its lists; gossip has short ids
  };

  void process_record(WireReader& in, TimePoint now, WireWriter& out);
  void read_endpoint_list(WireReader& in);
  void create_instance(WireReader& in, std::uint16_t id, WireWriter& out);
  Event read_event(WireReader& in, EventCode code, std::uint16_t id);
  EndpointsChanged read_endpoints(WireReader& in) const;
  GossipReceived read_gossip(WireReader& in, const Instance& instance);
  void dispatch(std::uint16_t id, TimePoint now, const Event& event, WireWriter& out);
  Instance& find_instance(std::uint16_t id);
  const std::vector<EngineEntry>& endpoint_list(std::uint32_t number) const;

  std::map<std::uint16_t, Instance> instances_;
  std::array<std::vector<EngineEntry>, endpoint_list_count> endpoint_lists_;
  std::vector<Action> actions_;  // reused for each event
  std::vector<GossipEntry> gossip_;  // reused for each event; a GossipReceived refers to it
};

}  // namespace paddlestand::bench_adapter

/// Hosts workload managers behind the simulator's wire: one batch frame in, one reply frame out.
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

/// Input that is not a legal frame. It does not cross the interface of the module.
struct MalformedFrame : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// The length of the complete frame, at its start.
inline constexpr std::size_t frame_length_bytes = 4;
inline constexpr std::size_t batch_header_bytes = 20;
inline constexpr std::size_t max_frame_bytes = std::size_t{1} << 30;

/// The length that a frame's first `frame_length_bytes` bytes state. Throws MalformedFrame where it is
/// impossible.
std::size_t frame_length(std::span<const std::uint8_t> prefix);

enum class EventCode : std::uint8_t;
class WireReader;
class WireWriter;

/// The workload managers of a simulation, each an instance with a number. Not thread-safe.
class WireHost {
 public:
  /// Takes a complete batch frame, with its header, and returns the reply frame. Throws MalformedFrame; the
  /// host is of no further use then.
  std::vector<std::uint8_t> reply_to(std::span<const std::uint8_t> batch);

 private:
  static constexpr std::size_t list_count = 16;

  struct Instance {
    WorkloadManager manager;
    std::vector<std::string> report_names;  // of the values of a load report, in order
    bool answers_report_cost = false;
    std::map<std::uint16_t, EngineId> engines_by_mark;  // of its lists; peers call engines by their marks
  };

  void process_record(WireReader& in, TimePoint now, WireWriter& out);
  void read_list(WireReader& in);
  void create_instance(WireReader& in, std::uint16_t id, WireWriter& out);
  Event read_event(WireReader& in, EventCode code, std::uint16_t id);
  EndpointsChanged read_endpoints(WireReader& in) const;
  GossipReceived read_gossip(WireReader& in, const Instance& instance);
  void dispatch(std::uint16_t id, TimePoint now, const Event& event, WireWriter& out);
  Instance& find_instance(std::uint16_t id);
  const std::vector<EngineEntry>& list(std::uint32_t number) const;

  std::map<std::uint16_t, Instance> instances_;
  std::array<std::vector<EngineEntry>, list_count> lists_;
  std::vector<Action> actions_;  // reused from event to event
  std::vector<GossipEntry> gossip_;  // as actions_; a GossipReceived refers to it
};

}  // namespace paddlestand::bench_adapter

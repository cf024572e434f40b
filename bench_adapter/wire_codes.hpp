/// The codes, bits and limits of the simulator's wire. The simulator's own names are used in this file only.
#pragma once

#include <cstddef>
#include <cstdint>

namespace paddlestand::bench_adapter {

/// The first byte of each record of a batch.
enum class EventCode : std::uint8_t {
  progress = 1,  ///< status_note
  timer_fired = 2,  ///< timeout_fired
  attempt_ended = 3,  ///< result
  answer_started = 4,  ///< under_way
  gossip = 5,  ///< datagram
  endpoint_list = 6,  ///< snapshot_rows
  request_arrived = 7,  ///< call
  create_instance = 8,  ///< provision
  endpoints_changed = 9,  ///< roster_change
  probe_ended = 10,  ///< check_result
  destroy_instance = 11,  ///< kill
  request_abandoned = 12,  ///< left
};
inline constexpr std::uint8_t first_event_code = 1;
inline constexpr std::uint8_t last_event_code = 12;

/// The first byte of each record of a reply.
enum class ActionCode : std::uint8_t {
  reject = 1,
  cancel = 2,  ///< recall
  gossip = 4,  ///< announce
  send = 5,
  set_resource_grant = 6,  ///< set_terms
  log = 7,  ///< trace
  probe = 8,  ///< inspect
  subscribe_endpoints = 9,  ///< watch
  settings_error = 10,  ///< fault
  fail = 12,  ///< error
  set_timer = 13,  ///< notify_me
};

/// How an attempt ended. Some codes differ in meaning from HTTP's.
enum class CompletionCode : std::uint16_t {
  served = 200,
  timed_out = 408,
  not_sent = 409,
  rejected = 429,
  cancelled = 444,
  engine_error = 502,
  reset = 520,
  connect_failed = 521,
};

/// Bits of a request's flags.
inline constexpr std::uint8_t has_estimated_cost = 1;
inline constexpr std::uint8_t is_repeated = 2;

inline constexpr std::uint8_t last_engine_state = 2;  ///< EngineState has the same numbers as the wire
inline constexpr std::uint8_t last_endpoint_update = 3;  ///< EndpointUpdate has the same numbers as the wire
inline constexpr std::uint8_t first_progress_kind = 1;  ///< the wire has ProgressKind plus one
inline constexpr std::uint8_t last_progress_kind = 3;

inline constexpr std::size_t max_text_bytes = 65535;
inline constexpr std::size_t max_gossip_bytes = 256;
inline constexpr std::size_t list_entry_bytes = 22;
inline constexpr std::uint32_t all_peers = 0xffffffff;

/// The cost of a served attempt is one number: milliseconds of work times cost_memory_units, plus units of
/// memory.
inline constexpr std::uint32_t cost_memory_units = 4096;
inline constexpr double cost_memory_unit_mb = 4;

/// A gossip entry's last byte has threads in the upper three bits, and memory in the lower five, in units of
/// 1/64 of the engine's memory.
inline constexpr std::uint32_t gossip_max_threads = 7;
inline constexpr std::uint32_t gossip_max_memory = 31;
inline constexpr unsigned gossip_memory_bits = 5;
inline constexpr double gossip_memory_units = 64;

}  // namespace paddlestand::bench_adapter

/// The codec of the discovery channel (the platform's command channel): numbered events that change the list
/// of engines. A manager writes the number of the last event that it has, as 8 bytes; every later event comes
/// as a frame, and a heartbeat, a frame without payload, each second. Numbers are unsigned and big-endian:
///
///   length:4 number:8 kind:1 payload      length counts all that follows it; kind 0 heartbeat, 1 full list,
///                                         2 changes; the payload is records of 27 bytes
///
/// No I/O, not thread-safe. A reader buffers at most one frame, up to max_frame bytes, and what was fed with
/// it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "paddlestand/workload_manager.hpp"

namespace paddlestand::discovery {

inline constexpr std::size_t record_bytes = 27;
inline constexpr std::size_t max_records = 16384;
inline constexpr std::size_t max_frame = 9 + max_records * record_bytes;

/// One engine in an event.
struct Record {
  EngineEntry entry;  ///< `started` counts from 1970
  std::uint32_t address{};  ///< IPv4, in host byte order
  std::uint16_t port{};
};

/// One numbered change of the list.
struct Event {
  std::uint64_t number{};
  bool is_full_list{};  ///< the full list, not only what changed
  std::vector<Record> records;
};

/// The channel is alive and nothing has changed.
struct Heartbeat {};

/// The peer violates the protocol: nothing that follows on the connection can be trusted.
struct Broken {
  std::string what;
};

/// Appends the number of the last event that this side has.
void put_cursor(std::string& out, std::uint64_t last);
/// Appends an event's frame.
void put_event(std::string& out, const Event& event);
/// Appends a heartbeat's frame.
void put_heartbeat(std::string& out, std::uint64_t number);

/// Reads what the discovery channel sends.
class EventReader {
 public:
  void feed(std::string_view bytes) { bytes_.append(bytes); }
  /// The next complete frame; std::monostate where more bytes are needed. After Broken there is nothing more.
  std::variant<std::monostate, Heartbeat, Event, Broken> next();

 private:
  std::string bytes_;
};

}  // namespace paddlestand::discovery

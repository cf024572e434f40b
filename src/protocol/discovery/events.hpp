/// Codec of the discovery channel (the platform's command channel), which carries numbered changes of the
/// engine list. A manager sends the number of the last event it knows, as 8 bytes. The platform then sends
/// every later event as a frame, and a heartbeat, which is a frame without payload, once per second. Numbers
/// are unsigned and big-endian:
///
///   length:4 number:8 kind:1 payload      length: size of the rest of the frame; kind: 0 heartbeat,
///                                         1 full list, 2 changes; payload: records of 27 bytes
///
/// No I/O, not thread-safe. A reader buffers at most one frame of up to max_frame bytes, plus the remainder
/// of the last fed bytes.
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
  EngineEntry entry;  ///< `started` is the time since 1970
  std::uint32_t address{};  ///< IPv4, in host byte order
  std::uint16_t port{};
};

/// One numbered change of the engine list.
struct Event {
  std::uint64_t number{};
  bool is_full_list{};  ///< whether the records are the full list or only the changed engines
  std::vector<Record> records;
};

/// Signals that the channel is alive when there are no changes.
struct Heartbeat {};

/// A violation of the protocol by the peer. No later data on the connection can be trusted.
struct ProtocolViolation {
  std::string what;
};

/// Appends the number of the last event that this side knows.
void put_cursor(std::string& out, std::uint64_t last);
/// Appends the frame of an event.
void put_event(std::string& out, const Event& event);
/// Appends the frame of a heartbeat.
void put_heartbeat(std::string& out, std::uint64_t number);

/// Splits the bytes received on the discovery channel into frames.
class EventReader {
 public:
  void feed(std::string_view bytes) { bytes_.append(bytes); }
  /// Returns the next complete frame, or std::monostate if more bytes are needed. After a ProtocolViolation
  /// result the reader must not be used any further.
  std::variant<std::monostate, Heartbeat, Event, ProtocolViolation> next();

 private:
  std::string bytes_;
};

}  // namespace paddlestand::discovery

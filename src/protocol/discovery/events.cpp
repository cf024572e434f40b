#include "events.hpp"

#include <algorithm>
#include <array>
#include <boost/endian/conversion.hpp>
#include <cmath>
#include <limits>

namespace paddlestand::discovery {
namespace {

constexpr auto big = boost::endian::order::big;

constexpr std::size_t length_bytes = 4;  // the length field at the start of each frame
constexpr std::size_t header_bytes = 9;  // number and kind, after the length field
constexpr double weight_scale = 1000;  // weights are encoded in thousandths
constexpr std::int64_t nanoseconds_per_millisecond = 1'000'000;

/// The kinds of frames, with the values on the wire.
enum class FrameKind : std::uint8_t { heartbeat = 0, full_list = 1, changes = 2 };

/// Offsets of the fields of a record.
namespace offset {
constexpr std::size_t engine = 0;
constexpr std::size_t address = 4;
constexpr std::size_t port = 8;
constexpr std::size_t state = 10;
constexpr std::size_t zone = 11;
constexpr std::size_t kind = 12;
constexpr std::size_t cell = 13;
constexpr std::size_t weight = 15;
constexpr std::size_t started = 19;
}  // namespace offset

template <typename T>
T load(std::string_view bytes, std::size_t at) {
  return boost::endian::endian_load<T, sizeof(T), big>(
      reinterpret_cast<const unsigned char*>(bytes.data() + at));
}

template <typename T>
void put(std::string& out, T value) {
  std::array<unsigned char, sizeof(T)> raw{};
  boost::endian::endian_store<T, sizeof(T), big>(raw.data(), value);
  out.append(reinterpret_cast<const char*>(raw.data()), sizeof(T));
}

/// The states of an engine, indexed by their value on the wire.
constexpr std::array states{EngineState::ready, EngineState::draining, EngineState::removed};

std::uint8_t code_of(EngineState state) {
  return static_cast<std::uint8_t>(std::find(states.begin(), states.end(), state) - states.begin());
}

std::uint8_t byte_at(std::string_view bytes, std::size_t at) { return static_cast<std::uint8_t>(bytes[at]); }

/// Reads a start time, in milliseconds since 1970 on the wire. Times beyond the range of Duration are
/// clamped.
Duration read_start_time(std::string_view record) {
  constexpr std::int64_t max_milliseconds =
      std::numeric_limits<std::int64_t>::max() / nanoseconds_per_millisecond;
  const auto started = load<std::uint64_t>(record, offset::started);
  const auto clamped = std::min(started, static_cast<std::uint64_t>(max_milliseconds));
  return std::chrono::milliseconds{static_cast<std::int64_t>(clamped)};
}

Record read_record(std::string_view bytes) {
  Record record;
  record.entry.engine = load<std::uint32_t>(bytes, offset::engine);
  record.address = load<std::uint32_t>(bytes, offset::address);
  record.port = load<std::uint16_t>(bytes, offset::port);
  record.entry.state = states.at(byte_at(bytes, offset::state));
  record.entry.zone = byte_at(bytes, offset::zone);
  record.entry.kind = byte_at(bytes, offset::kind);
  record.entry.cell = load<std::uint16_t>(bytes, offset::cell);
  record.entry.weight = load<std::uint32_t>(bytes, offset::weight) / weight_scale;
  record.entry.started = read_start_time(bytes);
  return record;
}

void put_record(std::string& out, const Record& record) {
  put(out, record.entry.engine);
  put(out, record.address);
  put(out, record.port);
  put(out, code_of(record.entry.state));
  put(out, static_cast<std::uint8_t>(record.entry.zone));
  put(out, static_cast<std::uint8_t>(record.entry.kind));
  put(out, static_cast<std::uint16_t>(record.entry.cell));
  put(out, static_cast<std::uint32_t>(std::lround(record.entry.weight * weight_scale)));
  put(out, static_cast<std::uint64_t>(record.entry.started.count() / nanoseconds_per_millisecond));
}

void put_header(std::string& out, std::size_t payload_bytes, std::uint64_t number, FrameKind kind) {
  put(out, static_cast<std::uint32_t>(header_bytes + payload_bytes));
  put(out, number);
  put(out, static_cast<std::uint8_t>(kind));
}

/// Parses the payload of a frame of this kind.
std::variant<std::vector<Record>, ProtocolViolation> read_payload(std::string_view payload, FrameKind kind) {
  const bool is_heartbeat = kind == FrameKind::heartbeat;
  if (payload.size() % record_bytes != 0 || (is_heartbeat && !payload.empty()))
    return ProtocolViolation{"invalid payload size: " + std::to_string(payload.size()) + " bytes"};
  std::vector<Record> records;
  for (std::size_t at = 0; at < payload.size(); at += record_bytes) {
    const std::string_view bytes = payload.substr(at, record_bytes);
    if (byte_at(bytes, offset::state) >= states.size()) return ProtocolViolation{"unknown engine state"};
    records.push_back(read_record(bytes));
  }
  return records;
}

}  // namespace

void put_cursor(std::string& out, std::uint64_t last) { put(out, last); }

void put_heartbeat(std::string& out, std::uint64_t number) {
  put_header(out, 0, number, FrameKind::heartbeat);
}

void put_event(std::string& out, const Event& event) {
  const FrameKind kind = event.is_full_list ? FrameKind::full_list : FrameKind::changes;
  put_header(out, event.records.size() * record_bytes, event.number, kind);
  for (const Record& record : event.records) put_record(out, record);
}

std::variant<std::monostate, Heartbeat, Event, ProtocolViolation> EventReader::next() {
  if (bytes_.size() < length_bytes) return {};
  const std::size_t length = load<std::uint32_t>(bytes_, 0);
  if (length < header_bytes || length > max_frame)
    return ProtocolViolation{"invalid frame length: " + std::to_string(length) + " bytes"};
  if (bytes_.size() < length_bytes + length) return {};
  const std::string_view frame = std::string_view(bytes_).substr(length_bytes, length);
  const std::uint8_t kind_code = byte_at(frame, header_bytes - 1);
  if (kind_code > static_cast<std::uint8_t>(FrameKind::changes))
    return ProtocolViolation{"unknown frame kind " + std::to_string(kind_code)};
  const auto kind = static_cast<FrameKind>(kind_code);
  auto payload = read_payload(frame.substr(header_bytes), kind);
  if (auto* violation = std::get_if<ProtocolViolation>(&payload)) return std::move(*violation);
  Event event;
  event.number = load<std::uint64_t>(frame, 0);
  event.is_full_list = kind == FrameKind::full_list;
  event.records = std::move(std::get<std::vector<Record>>(payload));
  bytes_.erase(0, length_bytes + length);
  if (kind == FrameKind::heartbeat) return Heartbeat{};
  return event;
}

}  // namespace paddlestand::discovery

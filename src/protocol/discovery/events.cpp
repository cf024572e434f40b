#include "events.hpp"

#include <boost/endian/conversion.hpp>
#include <cmath>
#include <limits>

namespace paddlestand::discovery {
namespace {

constexpr auto big = boost::endian::order::big;

template <typename T>
T load(std::string_view bytes, std::size_t at) {
  return boost::endian::endian_load<T, sizeof(T), big>(
      reinterpret_cast<const unsigned char*>(bytes.data() + at));
}

template <typename T>
void put(std::string& out, T value) {
  unsigned char raw[sizeof(T)];
  boost::endian::endian_store<T, sizeof(T), big>(raw, value);
  out.append(reinterpret_cast<const char*>(raw), sizeof(T));
}

constexpr EngineState states[] = {EngineState::ready, EngineState::draining, EngineState::removed};

Record read_record(std::string_view bytes) {
  Record record;
  record.entry.engine = load<std::uint32_t>(bytes, 0);
  record.address = load<std::uint32_t>(bytes, 4);
  record.port = load<std::uint16_t>(bytes, 8);
  record.entry.state = states[static_cast<std::uint8_t>(bytes[10])];
  record.entry.zone = static_cast<std::uint8_t>(bytes[11]);
  record.entry.kind = static_cast<std::uint8_t>(bytes[12]);
  record.entry.cell = load<std::uint16_t>(bytes, 13);
  record.entry.weight = load<std::uint32_t>(bytes, 15) / 1000.0;
  constexpr auto most = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max() / 1'000'000);
  const std::uint64_t started = load<std::uint64_t>(bytes, 19);
  record.entry.started = std::chrono::milliseconds{static_cast<std::int64_t>(std::min(started, most))};
  return record;
}

void put_head(std::string& out, std::size_t payload, std::uint64_t number, std::uint8_t kind) {
  put(out, static_cast<std::uint32_t>(9 + payload));
  put(out, number);
  put(out, kind);
}

}  // namespace

void put_cursor(std::string& out, std::uint64_t last) { put(out, last); }

void put_beat(std::string& out, std::uint64_t number) { put_head(out, 0, number, 0); }

void put_event(std::string& out, const Event& event) {
  put_head(out, event.records.size() * record_bytes, event.number, event.whole ? 1 : 2);
  for (const Record& record : event.records) {
    put(out, record.entry.engine);
    put(out, record.address);
    put(out, record.port);
    std::uint8_t state = 0;
    while (states[state] != record.entry.state) ++state;
    put(out, state);
    put(out, static_cast<std::uint8_t>(record.entry.zone));
    put(out, static_cast<std::uint8_t>(record.entry.kind));
    put(out, static_cast<std::uint16_t>(record.entry.cell));
    put(out, static_cast<std::uint32_t>(std::lround(record.entry.weight * 1000)));
    put(out, static_cast<std::uint64_t>(record.entry.started.count() / 1'000'000));
  }
}

std::variant<std::monostate, Heartbeat, Event, Broken> EventReader::next() {
  if (bytes_.size() < 4) return {};
  const std::size_t length = load<std::uint32_t>(bytes_, 0);
  if (length < 9 || length > most_frame) return Broken{"a frame of " + std::to_string(length) + " bytes"};
  if (bytes_.size() < 4 + length) return {};
  const std::string_view frame = std::string_view(bytes_).substr(4, length);
  const auto kind = static_cast<std::uint8_t>(frame[8]);
  if (kind > 2) return Broken{"an unknown kind " + std::to_string(kind)};
  Event event;
  event.number = load<std::uint64_t>(frame, 0);
  event.whole = kind == 1;
  const std::string_view payload = frame.substr(9);
  if (payload.size() % record_bytes != 0 || (kind == 0 && !payload.empty()))
    return Broken{"a payload of " + std::to_string(payload.size()) + " bytes"};
  for (std::size_t at = 0; at < payload.size(); at += record_bytes) {
    const std::string_view bytes = payload.substr(at, record_bytes);
    if (static_cast<std::uint8_t>(bytes[10]) > 2) return Broken{"an unknown state of an engine"};
    event.records.push_back(read_record(bytes));
  }
  bytes_.erase(0, 4 + length);
  if (kind == 0) return Heartbeat{};
  return event;
}

}  // namespace paddlestand::discovery

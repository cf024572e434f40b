/// Reads and writes the simulator's frames, which consist of little-endian numbers without alignment.
#pragma once

#include <algorithm>
#include <bit>
#include <cstdint>
#include <cstring>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "paddlestand/workload_manager.hpp"
#include "wire_codes.hpp"
#include "wire_host.hpp"

namespace paddlestand::bench_adapter {

static_assert(std::endian::native == std::endian::little, "the wire is little-endian");

/// Reads values from a frame, which must outlive the reader. Throws MalformedFrame if the frame is too short.
class WireReader {
 public:
  explicit WireReader(std::span<const std::uint8_t> bytes) : bytes_(bytes) {}

  template <typename T>
  T read() {
    T value{};
    const auto raw = read_bytes(sizeof(T));
    std::memcpy(&value, raw.data(), sizeof(T));
    return value;
  }

  /// Skips a value that the adapter does not use.
  template <typename T>
  void skip() {
    read_bytes(sizeof(T));
  }

  /// Reads a byte in the range `first` to `last`. `subject` names the value in the error.
  std::uint8_t read_code(std::uint8_t first, std::uint8_t last, std::string_view subject) {
    const auto code = read<std::uint8_t>();
    if (code < first || code > last)
      throw MalformedFrame("unknown " + std::string(subject) + " " + std::to_string(code));
    return code;
  }

  std::span<const std::uint8_t> read_bytes(std::size_t count) {
    if (count > remaining_bytes()) throw MalformedFrame("frame ends inside a record");
    const auto part = bytes_.subspan(position_, count);
    position_ += count;
    return part;
  }

  /// Reads a time in nanoseconds, limited to the range of Duration.
  Duration read_time() {
    constexpr auto max_time = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    return Duration{static_cast<std::int64_t>(std::min(read<std::uint64_t>(), max_time))};
  }

  double read_float() { return static_cast<double>(read<float>()); }

  [[nodiscard]] bool is_at_end() const { return position_ == bytes_.size(); }
  [[nodiscard]] std::size_t remaining_bytes() const { return bytes_.size() - position_; }

 private:
  std::span<const std::uint8_t> bytes_;
  std::size_t position_ = 0;
};

/// Builds a reply frame.
class WireWriter {
 public:
  template <typename T>
  void write(T value) {
    const auto position = bytes_.size();
    bytes_.resize(position + sizeof(T));
    std::memcpy(bytes_.data() + position, &value, sizeof(T));
  }

  /// Writes a time in nanoseconds.
  void write_time(Duration time) { write(static_cast<std::int64_t>(time.count())); }

  void begin_record(ActionCode code, std::uint16_t instance) {
    write(static_cast<std::uint8_t>(code));
    write(instance);
  }

  void write_text(std::string_view text) {
    text = text.substr(0, max_text_bytes);
    write(static_cast<std::uint16_t>(text.size()));
    bytes_.insert(bytes_.end(), text.begin(), text.end());
  }

  /// Writes the length into the frame's first four bytes, which must exist, and returns the frame.
  std::vector<std::uint8_t> finish() {
    const auto length = static_cast<std::uint32_t>(bytes_.size());
    std::memcpy(bytes_.data(), &length, sizeof(length));
    return std::move(bytes_);
  }

 private:
  std::vector<std::uint8_t> bytes_;
};

}  // namespace paddlestand::bench_adapter

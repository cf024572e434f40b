/// The data types of PostgreSQL's protocol 3.0 (chapter 55.6 of its manual): big-endian integers and
/// zero-terminated strings. The reader checks every length; the writer fills in the length of each message.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace paddlestand::pg {

/// Reads values in sequence. After a read past the end bad() is true, and all further reads return zeros and
/// empty strings. The returned views point into the given bytes.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : remaining_(bytes) {}

  std::uint8_t u8() { return static_cast<std::uint8_t>(number(1)); }
  std::uint16_t u16() { return static_cast<std::uint16_t>(number(2)); }
  std::uint32_t u32() { return number(4); }
  std::int32_t i32() { return static_cast<std::int32_t>(number(4)); }

  std::string_view bytes(std::size_t count) {
    if (count > remaining_.size()) return fail();
    const std::string_view part = remaining_.substr(0, count);
    remaining_.remove_prefix(count);
    return part;
  }
  /// A string without its terminating zero.
  std::string_view text() {
    const std::size_t end = remaining_.find('\0');
    if (end == std::string_view::npos) return fail();
    const std::string_view part = remaining_.substr(0, end);
    remaining_.remove_prefix(end + 1);
    return part;
  }
  /// All bytes that have not been read yet.
  std::string_view remaining_bytes() {
    const std::string_view part = remaining_;
    remaining_ = {};
    return part;
  }
  [[nodiscard]] bool bad() const { return bad_; }
  /// Whether all bytes were read and no read failed.
  [[nodiscard]] bool done() const { return remaining_.empty() && !bad_; }
  [[nodiscard]] std::size_t remaining() const { return remaining_.size(); }

 private:
  std::string_view fail() {
    bad_ = true;
    remaining_ = {};
    return {};
  }
  std::uint32_t number(std::size_t size) {
    std::uint32_t value = 0;
    for (const char c : bytes(size)) value = value << 8U | static_cast<std::uint8_t>(c);
    return value;
  }

  std::string_view remaining_;
  bool bad_ = false;
};

/// Appends messages to a string, which must outlive the writer.
class Writer {
 public:
  explicit Writer(std::string& out) : out_(out) {}

  /// Begins a message with a type.
  Writer& begin(char type) {
    out_.push_back(type);
    return begin_untyped();
  }
  /// Begins a message without a type: StartupMessage, SSLRequest, CancelRequest.
  Writer& begin_untyped() {
    start_ = out_.size();
    return u32(0);
  }
  Writer& u8(std::uint8_t value) { return number(value, 1); }
  Writer& u16(std::uint16_t value) { return number(value, 2); }
  Writer& u32(std::uint32_t value) { return number(value, 4); }
  Writer& bytes(std::string_view value) {
    out_.append(value);
    return *this;
  }
  /// A string with its terminating zero. It is truncated at the first embedded zero, where a reader would end
  /// it.
  Writer& text(std::string_view value) {
    out_.append(value.substr(0, value.find('\0')));
    out_.push_back('\0');
    return *this;
  }
  /// Ends the message: fills in its length.
  void end() {
    const auto length = static_cast<std::uint32_t>(out_.size() - start_);
    for (std::size_t i = 0; i < 4; ++i) out_[start_ + i] = static_cast<char>(length >> (24 - 8 * i) & 255U);
  }

 private:
  Writer& number(std::uint32_t value, std::size_t size) {
    for (std::size_t i = size; i > 0; --i) out_.push_back(static_cast<char>(value >> (8 * (i - 1)) & 255U));
    return *this;
  }

  std::string& out_;
  std::size_t start_ = 0;
};

}  // namespace paddlestand::pg

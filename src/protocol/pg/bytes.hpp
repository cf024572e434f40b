// Big-endian integers and zero-ended strings of PostgreSQL's protocol 3.0, read with every length checked and
// written with lengths filled in behind.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace paddlestand::pg {

class Reader {
 public:
  explicit Reader(std::string_view bytes) : left_(bytes) {}

  // Each of these fails by setting bad(), and then gives zeros and empty strings.
  std::uint8_t u8() { return static_cast<std::uint8_t>(number(1)); }
  std::uint16_t u16() { return static_cast<std::uint16_t>(number(2)); }
  std::uint32_t u32() { return number(4); }
  std::int32_t i32() { return static_cast<std::int32_t>(number(4)); }

  std::string_view bytes(std::size_t count) {
    if (count > left_.size()) return fail();
    const std::string_view part = left_.substr(0, count);
    left_.remove_prefix(count);
    return part;
  }
  std::string_view text() {  // up to its zero, which is taken too
    const std::size_t end = left_.find('\0');
    if (end == std::string_view::npos) return fail();
    const std::string_view part = left_.substr(0, end);
    left_.remove_prefix(end + 1);
    return part;
  }
  std::string_view rest() {
    const std::string_view part = left_;
    left_ = {};
    return part;
  }
  [[nodiscard]] bool bad() const { return bad_; }
  [[nodiscard]] bool done() const { return left_.empty() && !bad_; }
  [[nodiscard]] std::size_t left() const { return left_.size(); }

 private:
  std::string_view fail() {
    bad_ = true;
    left_ = {};
    return {};
  }
  std::uint32_t number(std::size_t size) {
    std::uint32_t value = 0;
    for (const char c : bytes(size)) value = value << 8U | static_cast<std::uint8_t>(c);
    return value;
  }

  std::string_view left_;
  bool bad_ = false;
};

// Appends one message after another to a string.
class Writer {
 public:
  explicit Writer(std::string& out) : out_(out) {}

  Writer& begin(char type) {
    out_.push_back(type);
    return begin_untyped();
  }
  Writer& begin_untyped() {  // startup, SSLRequest, CancelRequest
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
  Writer& text(std::string_view value) {  // a zero inside would end it early, so it ends there here too
    out_.append(value.substr(0, value.find('\0')));
    out_.push_back('\0');
    return *this;
  }
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

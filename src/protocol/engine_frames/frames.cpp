#include "frames.hpp"

#include <zlib.h>

#include <algorithm>
#include <array>
#include <boost/endian/conversion.hpp>
#include <charconv>
#include <cmath>

namespace paddlestand::engine_frames {
namespace {

/// Offsets of the header fields that follow the magic byte.
namespace offset {
constexpr std::size_t code = 1;
constexpr std::size_t fields = 2;
constexpr std::size_t body = 4;
constexpr std::size_t id = 8;
}  // namespace offset

using boost::endian::endian_load;
using boost::endian::endian_store;
constexpr auto big = boost::endian::order::big;

template <typename T>
T load(const char* at) {
  return endian_load<T, sizeof(T), big>(reinterpret_cast<const unsigned char*>(at));
}

template <typename T>
void put(std::string& out, T value) {
  std::array<unsigned char, sizeof(T)> raw{};
  endian_store<T, sizeof(T), big>(raw.data(), value);
  out.append(reinterpret_cast<const char*>(raw.data()), sizeof(T));
}

constexpr std::size_t max_idle_capacity = 4 * max_page;  // bytes that a reader keeps allocated

std::uint32_t checksum_of(std::string_view bytes) {
  return static_cast<std::uint32_t>(
      crc32(0, reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<unsigned>(bytes.size())));
}

bool is_command(std::uint8_t code) {
  return code >= static_cast<std::uint8_t>(Command::request) &&
         code <= static_cast<std::uint8_t>(Command::discard_pages);
}

bool is_reply(std::uint8_t code) {
  switch (static_cast<Reply>(code)) {
    case Reply::ok:
    case Reply::full:
    case Reply::error:
    case Reply::expired:
    case Reply::healthy:
    case Reply::unhealthy:
    case Reply::page: return true;
  }
  return false;
}

bool is_known_code(Side from, std::uint8_t code) {
  return from == Side::manager ? is_command(code) : is_reply(code);
}

template <typename T>
std::optional<T> parse_complete(std::string_view text) {
  T value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

}  // namespace

void put_frame(std::string& out, Side from, std::uint8_t code, std::uint64_t id, std::string_view fields,
               std::string_view body) {
  out.reserve(out.size() + header_bytes + fields.size() + body.size() + checksum_bytes);
  put(out, static_cast<std::uint8_t>(from));
  put(out, code);
  put(out, static_cast<std::uint16_t>(fields.size()));
  put(out, static_cast<std::uint32_t>(body.size()));
  put(out, id);
  const std::size_t start = out.size();
  out.append(fields).append(body);
  put(out, checksum_of(std::string_view(out).substr(start)));
}

// Hundreds of connections have a reader each, so the memory of a large read is released even if part of a
// frame remains.
void FrameReader::discard_consumed() {
  if (consumed_ < bytes_.size() && consumed_ <= max_page) return;
  bytes_.erase(0, consumed_);
  consumed_ = 0;
  if (bytes_.capacity() > max_idle_capacity && bytes_.size() < bytes_.capacity() / 4) bytes_.shrink_to_fit();
}

// Validates each part of the header as soon as it has arrived, so that nothing is buffered for an invalid
// frame.
std::variant<std::monostate, Frame, ProtocolViolation> FrameReader::next() {
  const std::string_view unread = std::string_view(bytes_).substr(consumed_);
  if (unread.empty()) {
    discard_consumed();
    return {};
  }
  if (static_cast<std::uint8_t>(unread[0]) != static_cast<std::uint8_t>(from_))
    return ProtocolViolation{"invalid magic byte"};
  if (unread.size() < offset::fields) return {};
  const auto code = static_cast<std::uint8_t>(unread[offset::code]);
  if (!is_known_code(from_, code)) return ProtocolViolation{"unknown frame code " + std::to_string(code)};
  if (unread.size() < offset::id) return {};
  const std::size_t fields = load<std::uint16_t>(unread.data() + offset::fields);
  const std::size_t body = load<std::uint32_t>(unread.data() + offset::body);
  if (fields > max_fields) return ProtocolViolation{"fields too long: " + std::to_string(fields) + " bytes"};
  if (body > (from_ == Side::engine ? max_page : max_statement))
    return ProtocolViolation{"body too long: " + std::to_string(body) + " bytes"};
  const std::size_t frame_bytes = header_bytes + fields + body + checksum_bytes;
  if (unread.size() < frame_bytes) return {};
  const auto checksum = load<std::uint32_t>(unread.data() + frame_bytes - checksum_bytes);
  if (checksum_of(unread.substr(header_bytes, fields + body)) != checksum)
    return ProtocolViolation{"checksum mismatch"};
  Frame frame;
  frame.code = code;
  frame.id = load<std::uint64_t>(unread.data() + offset::id);
  frame.fields = unread.substr(header_bytes, fields);
  frame.body = unread.substr(header_bytes + fields, body);
  consumed_ += frame_bytes;
  discard_consumed();
  return frame;
}

void put_request(std::string& out, const Request& request) {
  std::string fields = "kind=";
  fields.append(request.class_name);
  const auto time_left_ms = std::chrono::ceil<std::chrono::milliseconds>(request.time_left).count();
  fields += ",ms=" + std::to_string(std::max<std::int64_t>(1, time_left_ms));
  if (!request.token.empty()) fields.append(",token=").append(request.token);
  if (request.memory_mb > 0)
    fields += ",grant=" + std::to_string(static_cast<std::uint64_t>(std::ceil(request.memory_mb)));
  fields += ",rank=" + std::to_string(request.priority);
  put_frame(out, Side::manager, static_cast<std::uint8_t>(Command::request), request.id, fields,
            request.statement);
}

namespace {
void put_command(std::string& out, Command command, std::uint64_t id, std::string_view fields = {}) {
  put_frame(out, Side::manager, static_cast<std::uint8_t>(command), id, fields, {});
}
}  // namespace

void put_cancel(std::string& out, std::uint64_t id) { put_command(out, Command::cancel, id); }
void put_probe(std::string& out, std::uint64_t id, bool with_report) {
  put_command(out, with_report ? Command::status : Command::ping, id);
}
void put_priority(std::string& out, std::uint64_t id, std::uint8_t priority) {
  put_command(out, Command::priority, id, std::to_string(priority));
}
void put_page_request(std::string& out, std::uint64_t id, std::uint32_t page) {
  put_command(out, Command::fetch_page, id, std::to_string(page));
}
void put_discard_pages(std::string& out, std::uint64_t id) { put_command(out, Command::discard_pages, id); }

std::optional<std::string_view> field(std::string_view fields, std::string_view name) {
  while (!fields.empty()) {
    const auto comma = fields.find(',');
    const std::string_view entry = fields.substr(0, comma);
    const auto equals = entry.find('=');
    if (equals != std::string_view::npos && entry.substr(0, equals) == name) return entry.substr(equals + 1);
    if (comma == std::string_view::npos) break;
    fields.remove_prefix(comma + 1);
  }
  return std::nullopt;
}

std::optional<double> parse_number(std::string_view text) {
  const auto value = parse_complete<double>(text);
  return value && std::isfinite(*value) && *value >= 0 ? value : std::nullopt;
}
std::optional<std::uint32_t> parse_count(std::string_view text) {
  return parse_complete<std::uint32_t>(text);
}

namespace {

using Gauges = std::vector<std::pair<std::string, double>>;

/// Reads an optional numeric field into `into`. Returns false if the field is present but not a valid number.
bool read_number(std::string_view fields, std::string_view name, std::optional<double>& into) {
  const auto text = field(fields, name);
  if (!text) return true;
  into = parse_number(*text);
  return into.has_value();
}

/// Parses a load report of the form name:value;name:value. Returns std::nullopt if it is malformed.
std::optional<Gauges> read_gauges(std::string_view text) {
  Gauges gauges;
  while (!text.empty()) {
    const auto end = text.find(';');
    const std::string_view gauge = text.substr(0, end);
    const auto colon = gauge.find(':');
    if (colon == std::string_view::npos) return std::nullopt;
    const auto value = parse_number(gauge.substr(colon + 1));
    if (!value) return std::nullopt;
    gauges.emplace_back(gauge.substr(0, colon), *value);
    text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
  }
  return gauges;
}

/// Reads the number of pages and the page number. Returns the protocol violation, if there is one.
std::optional<ProtocolViolation> read_page_numbers(std::string_view fields, Answer& answer) {
  if (const auto text = field(fields, "parts")) {
    const auto pages = parse_count(*text);
    if (!pages || *pages < 1 || *pages > max_pages) return ProtocolViolation{"invalid number of pages"};
    answer.pages = *pages;
  }
  if (const auto text = field(fields, "part_no")) {
    const auto page = parse_count(*text);
    if (!page || *page >= max_pages) return ProtocolViolation{"invalid page number"};
    answer.page = *page;
  }
  if (answer.code == Reply::page && answer.page == 0) return ProtocolViolation{"page number is missing"};
  return std::nullopt;
}

}  // namespace

std::variant<Answer, ProtocolViolation> read_answer(Frame frame) {
  Answer answer;
  answer.code = static_cast<Reply>(frame.code);
  answer.id = frame.id;
  if (!read_number(frame.fields, "work", answer.work_ms) ||
      !read_number(frame.fields, "peak", answer.memory_mb))
    return ProtocolViolation{"cost is not a number"};
  if (auto violation = read_page_numbers(frame.fields, answer)) return std::move(*violation);
  if (const auto text = field(frame.fields, "gauges")) {
    auto gauges = read_gauges(*text);
    if (!gauges) return ProtocolViolation{"malformed load report"};
    answer.gauges = std::move(*gauges);
  }
  answer.body = std::move(frame.body);
  return answer;
}

bool has_complete_rows(std::string_view page) {
  while (!page.empty()) {
    const auto end = page.find('\n');
    if (end == std::string_view::npos || std::count(page.begin(), page.begin() + end, '\t') != 2)
      return false;
    page.remove_prefix(end + 1);
  }
  return true;
}

}  // namespace paddlestand::engine_frames

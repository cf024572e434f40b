#include "frames.hpp"

#include <zlib.h>

#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <charconv>
#include <cmath>

namespace paddlestand::engine_frames {
namespace {

using boost::endian::endian_load;
using boost::endian::endian_store;
constexpr auto big = boost::endian::order::big;

template <typename T>
T load(const char* at) {
  return endian_load<T, sizeof(T), big>(reinterpret_cast<const unsigned char*>(at));
}

template <typename T>
void put(std::string& out, T value) {
  unsigned char raw[sizeof(T)];
  endian_store<T, sizeof(T), big>(raw, value);
  out.append(reinterpret_cast<const char*>(raw), sizeof(T));
}

std::uint32_t check_of(std::string_view bytes) {
  return static_cast<std::uint32_t>(
      crc32(0, reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<unsigned>(bytes.size())));
}

bool known(Side from, std::uint8_t code) {
  return from == Side::manager ? code >= 1 && code <= 7 : code == 0 || (code >= 3 && code <= 7) || code == 9;
}

template <typename T>
std::optional<T> whole_text(std::string_view text) {
  T value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

}  // namespace

void put_frame(std::string& out, Side from, std::uint8_t code, std::uint64_t id, std::string_view fields,
               std::string_view body) {
  out.reserve(out.size() + head_bytes + fields.size() + body.size() + check_bytes);
  put(out, static_cast<std::uint8_t>(from));
  put(out, code);
  put(out, static_cast<std::uint16_t>(fields.size()));
  put(out, static_cast<std::uint32_t>(body.size()));
  put(out, id);
  const std::size_t start = out.size();
  out.append(fields).append(body);
  put(out, check_of(std::string_view(out).substr(start)));
}

std::variant<std::monostate, Frame, Broken> FrameReader::next() {
  const std::string_view left = std::string_view(bytes_).substr(at_);
  if (left.empty()) {
    bytes_.clear();
    if (bytes_.capacity() > 4 * most_page) bytes_.shrink_to_fit();  // there are hundreds of readers
    at_ = 0;
    return {};
  }
  // Each part of the head is judged as soon as it is here.
  if (static_cast<std::uint8_t>(left[0]) != static_cast<std::uint8_t>(from_)) return Broken{"a wrong mark"};
  if (left.size() < 2) return {};
  const auto code = static_cast<std::uint8_t>(left[1]);
  if (!known(from_, code)) return Broken{"an unknown code " + std::to_string(code)};
  if (left.size() < 8) return {};
  const std::size_t fields = load<std::uint16_t>(left.data() + 2);
  const std::size_t body = load<std::uint32_t>(left.data() + 4);
  if (fields > most_fields) return Broken{"fields of " + std::to_string(fields) + " bytes"};
  if (body > (from_ == Side::engine ? most_page : most_statement))
    return Broken{"a body of " + std::to_string(body) + " bytes"};
  const std::size_t whole = head_bytes + fields + body + check_bytes;
  if (left.size() < whole) return {};
  if (check_of(left.substr(head_bytes, fields + body)) !=
      load<std::uint32_t>(left.data() + whole - check_bytes))
    return Broken{"a check that does not fit"};
  Frame frame;
  frame.code = code;
  frame.id = load<std::uint64_t>(left.data() + 8);
  frame.fields = left.substr(head_bytes, fields);
  frame.body = left.substr(head_bytes + fields, body);
  at_ += whole;
  if (at_ == bytes_.size() || at_ > most_page) {
    bytes_.erase(0, at_);
    at_ = 0;
  }
  return frame;
}

void put_request(std::string& out, const Request& request) {
  std::string fields = "kind=";
  fields.append(request.class_name);
  const auto wait = std::chrono::ceil<std::chrono::milliseconds>(request.wait).count();
  fields += ",ms=" + std::to_string(std::max<std::int64_t>(1, wait));
  if (!request.token.empty()) fields.append(",token=").append(request.token);
  if (request.memory_mb > 0)
    fields += ",grant=" + std::to_string(static_cast<std::uint64_t>(std::ceil(request.memory_mb)));
  fields += ",rank=" + std::to_string(request.rank);
  put_frame(out, Side::manager, static_cast<std::uint8_t>(Command::request), request.id, fields,
            request.statement);
}

namespace {
void put_command(std::string& out, Command what, std::uint64_t id, std::string_view fields = {}) {
  put_frame(out, Side::manager, static_cast<std::uint8_t>(what), id, fields, {});
}
}  // namespace

void put_give_up(std::string& out, std::uint64_t id) { put_command(out, Command::give_up, id); }
void put_probe(std::string& out, std::uint64_t id, bool with_report) {
  put_command(out, with_report ? Command::status : Command::ping, id);
}
void put_priority(std::string& out, std::uint64_t id, std::uint8_t rank) {
  put_command(out, Command::priority, id, std::to_string(rank));
}
void put_page_wanted(std::string& out, std::uint64_t id, std::uint32_t page) {
  put_command(out, Command::page, id, std::to_string(page));
}
void put_no_more(std::string& out, std::uint64_t id) { put_command(out, Command::no_more, id); }

std::optional<std::string_view> field(std::string_view fields, std::string_view name) {
  while (!fields.empty()) {
    const auto comma = fields.find(',');
    const std::string_view one = fields.substr(0, comma);
    const auto equals = one.find('=');
    if (equals != std::string_view::npos && one.substr(0, equals) == name) return one.substr(equals + 1);
    if (comma == std::string_view::npos) break;
    fields.remove_prefix(comma + 1);
  }
  return std::nullopt;
}

std::optional<double> number_in(std::string_view text) {
  const auto value = whole_text<double>(text);
  return value && std::isfinite(*value) && *value >= 0 ? value : std::nullopt;
}
std::optional<std::uint32_t> count_in(std::string_view text) { return whole_text<std::uint32_t>(text); }

std::variant<Answer, Broken> read_answer(Frame frame) {
  Answer answer;
  answer.code = static_cast<Reply>(frame.code);
  answer.id = frame.id;
  const std::string_view fields = frame.fields;
  const auto number = [&](std::string_view name, std::optional<double>& into) {
    const auto text = field(fields, name);
    if (!text) return true;
    into = number_in(*text);
    return into.has_value();
  };
  if (!number("work", answer.work_ms) || !number("peak", answer.memory_mb))
    return Broken{"a cost that is no number"};
  if (const auto text = field(fields, "parts")) {
    const auto pages = count_in(*text);
    if (!pages || *pages < 1 || *pages > most_pages) return Broken{"an impossible number of pages"};
    answer.pages = *pages;
  }
  if (const auto text = field(fields, "part_no")) {
    const auto page = count_in(*text);
    if (!page || *page >= most_pages) return Broken{"an impossible page"};
    answer.page = *page;
  }
  if (answer.code == Reply::page && answer.page == 0) return Broken{"a further page without its number"};
  if (auto gauges = field(fields, "gauges")) {
    std::string_view left = *gauges;
    while (!left.empty()) {
      const auto end = left.find(';');
      const std::string_view one = left.substr(0, end);
      const auto colon = one.find(':');
      const auto value = colon == std::string_view::npos ? std::nullopt : number_in(one.substr(colon + 1));
      if (!value) return Broken{"a load report that can't be read"};
      answer.gauges.emplace_back(one.substr(0, colon), *value);
      left = end == std::string_view::npos ? std::string_view{} : left.substr(end + 1);
    }
  }
  answer.body = std::move(frame.body);
  return answer;
}

bool whole_rows(std::string_view page) {
  while (!page.empty()) {
    const auto end = page.find('\n');
    if (end == std::string_view::npos || std::count(page.begin(), page.begin() + end, '\t') != 2)
      return false;
    page.remove_prefix(end + 1);
  }
  return true;
}

}  // namespace paddlestand::engine_frames

#include "log_fields.hpp"

#include <array>
#include <cmath>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>

namespace paddlestand::observe {
namespace {

constexpr std::array<std::string_view, 37> names{
    "address",
    "attempt",
    "attempts",
    "bytes",
    "channel",
    "client",
    "client_timeout_ms",
    "code",
    "connection",
    "cost_ms",
    "discovery_event",
    "engine",
    "engine_name",
    "engines",
    "file",
    "invariant",
    "max_clients",
    "max_engine_connections",
    "memory_mb",
    "ordering_key",
    "priority",
    "query",
    "reason",
    "rejections",
    "requests",
    "retry",
    "session",
    "setting",
    "sqlstate",
    "state",
    "streams",
    "tables",
    "trace",
    "unmatched_frames",
    "violation",
    "violations",
    "waiting_clients",
};
static_assert(names.size() == static_cast<std::size_t>(LogFieldName::waiting_clients) + 1);

constexpr std::string_view plain_characters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_.:/-";

bool is_plain_word(std::string_view text) {
  return !text.empty() && text.find_first_not_of(plain_characters) == std::string_view::npos;
}

enum class Format : std::uint8_t { json, console };

/// Appends a value of any type of LogValue.
class ValueWriter {
 public:
  ValueWriter(fmt::memory_buffer& line, Format format) : line_(line), format_(format) {}

  void operator()(std::uint64_t value) const { put("{}", value); }
  void operator()(std::int64_t value) const { put("{}", value); }
  void operator()(bool value) const { put("{}", value); }
  void operator()(double value) const {
    if (format_ == Format::json && !std::isfinite(value)) {
      put("{}", "null");
    } else {
      put("{}", value);
    }
  }
  void operator()(HexId id) const {
    if (format_ == Format::json) {
      put(R"("{:016x}")", id.value);
    } else {
      put("{:016x}", id.value);
    }
  }
  void operator()(std::string_view text) const {
    if (format_ == Format::console && is_plain_word(text)) {
      put("{}", text);
    } else {
      append_json_text(line_, text);
    }
  }

 private:
  template <typename Value>
  void put(fmt::format_string<const Value&> format, const Value& value) const {
    fmt::format_to(fmt::appender(line_), format, value);
  }

  fmt::memory_buffer& line_;
  Format format_;
};

}  // namespace

std::string_view name_of(LogFieldName name) { return names.at(static_cast<std::size_t>(name)); }

void append_json_text(fmt::memory_buffer& line, std::string_view text) {
  const std::string quoted =
      nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  line.append(quoted.data(), quoted.data() + quoted.size());
}

void append_json(fmt::memory_buffer& line, const LogField& field) {
  fmt::format_to(fmt::appender(line), R"("{}":)", name_of(field.name()));
  std::visit(ValueWriter(line, Format::json), field.value());
}

void append_console(fmt::memory_buffer& line, const LogField& field) {
  fmt::format_to(fmt::appender(line), "{}=", name_of(field.name()));
  std::visit(ValueWriter(line, Format::console), field.value());
}

}  // namespace paddlestand::observe

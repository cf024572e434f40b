/// The typed fields of a log line, and how they are written: `"engine":3` in JSON, `engine=3` on a console.
#pragma once

#include <spdlog/fmt/fmt.h>

#include <concepts>
#include <cstdint>
#include <string_view>
#include <variant>

namespace paddlestand::observe {

/// The names of fields. Each means the same in every event, and always has a value of the same type.
enum class LogFieldName : std::uint8_t {
  address,  ///< text: IP address and port
  attempt,  ///< of a query, from zero
  attempts,  ///< how many attempts engines may still have
  bytes,  ///< how many bytes
  channel,  ///< the core's number of a channel to an engine
  client,  ///< number of a client's connection
  client_timeout_ms,  ///< how long a client waits for its answer
  code,  ///< of an engine's answer
  connection,  ///< number of a connection to an engine
  cost_ms,  ///< estimated cost; zero where none was given
  discovery_event,  ///< number of an event of the discovery channel
  engine,  ///< id of an engine
  engine_name,  ///< text: name of an engine in the list
  engines,  ///< how many engines
  file,  ///< text: path of a file
  invariant,  ///< text: name of an invariant, docs/invariants.md
  max_clients,  ///< connections of clients
  max_engine_connections,
  memory_mb,  ///< granted to an attempt; zero: the engine's choice
  ordering_key,  ///< hex id
  priority,  ///< of an attempt on its engine
  query,  ///< number of a query
  reason,  ///< text: why it happened
  rejections,  ///< how many requests and connections were rejected so far
  requests,  ///< how many requests
  retry,  ///< boolean: whether it is tried again
  session,  ///< number of a session
  setting,  ///< text: name of a setting
  sqlstate,  ///< text: error code of an engine
  state,  ///< state of an engine in the list, as a number
  streams,  ///< how many streams
  tables,  ///< set of tables, as a number
  trace,  ///< hex id: the client's id of a request
  unmatched_frames,  ///< how many frames nobody waited for
  violation,  ///< text: kind of a violation
  violations,  ///< how many violations
};

/// The name of a field as it stands in the log.
std::string_view name_of(LogFieldName name);

/// An id that is written as 16 hex digits.
struct HexId {
  std::uint64_t value = 0;
};

/// Text is not owned: it must outlive the field.
using LogValue = std::variant<std::uint64_t, std::int64_t, double, bool, std::string_view, HexId>;

/// A name and a value. Implicit conversions to a value of another type, such as text to bool, do not compile.
class LogField {
 public:
  template <std::unsigned_integral Value>
  requires(!std::same_as<Value, bool>) LogField(LogFieldName name, Value value)
      : name_(name), value_(std::uint64_t{value}) {}
  template <std::signed_integral Value>
  LogField(LogFieldName name, Value value) : name_(name), value_(std::int64_t{value}) {}
  template <std::same_as<bool> Value>
  LogField(LogFieldName name, Value value) : name_(name), value_(value) {}
  LogField(LogFieldName name, std::floating_point auto value) : name_(name), value_(double{value}) {}
  LogField(LogFieldName name, std::string_view value) : name_(name), value_(value) {}
  LogField(LogFieldName name, HexId value) : name_(name), value_(value) {}

  [[nodiscard]] LogFieldName name() const { return name_; }
  [[nodiscard]] const LogValue& value() const { return value_; }

 private:
  LogFieldName name_;
  LogValue value_;
};

/// Appends a JSON string. Bytes that are no UTF-8 are replaced by U+FFFD.
void append_json_text(fmt::memory_buffer& line, std::string_view text);

/// Appends `"name":value`. A number that JSON has no form for, as infinity, is null.
void append_json(fmt::memory_buffer& line, const LogField& field);

/// Appends `name=value`. A text is quoted, as in JSON, unless it is one plain word.
void append_console(fmt::memory_buffer& line, const LogField& field);

}  // namespace paddlestand::observe

/// The typed fields of a log line, and how they are written: `"engine":3` in JSON, `engine=3` on a console.
#pragma once

#include <spdlog/fmt/fmt.h>

#include <concepts>
#include <cstdint>
#include <string_view>
#include <variant>

namespace paddlestand::observe {

/// The names of fields. Each has the same meaning and type of value in every event.
enum class LogFieldName : std::uint8_t {
  address,  ///< text: IP address and port
  attempt,  ///< index of a query's attempt, from zero
  attempts,  ///< number of attempts that engines may still execute
  bytes,  ///< number of bytes
  channel,  ///< the core's number of a channel to an engine
  client,  ///< number of a client's connection
  client_timeout_ms,  ///< how long a client waits for its answer
  code,  ///< code of an engine's answer
  connection,  ///< number of a connection to an engine
  cost_ms,  ///< estimated cost; zero if not stated
  discovery_event,  ///< number of an event of the discovery channel
  engine,  ///< id of an engine
  engine_name,  ///< text: name of an engine in the list
  engines,  ///< number of engines
  file,  ///< text: path of a file
  invariant,  ///< text: name of an invariant, docs/invariants.md
  max_clients,  ///< limit of client connections
  max_engine_connections,
  memory_mb,  ///< memory grant of an attempt; zero leaves it to the engine
  ordering_key,  ///< hex id
  priority,  ///< priority of an attempt on its engine
  query,  ///< number of a query
  reason,  ///< text: reason for the event
  rejections,  ///< number of requests and connections rejected so far
  requests,  ///< number of requests
  retry,  ///< boolean: whether the operation is retried
  session,  ///< number of a session
  setting,  ///< text: name of a setting
  sqlstate,  ///< text: error code of an engine
  state,  ///< state of an engine in the list, as a number
  streams,  ///< number of streams
  tables,  ///< set of tables, as a number
  trace,  ///< hex id: the client's id of a request
  unmatched_frames,  ///< number of frames that matched no open request
  violation,  ///< text: kind of a violation
  violations,  ///< number of violations
  waiting_clients,  ///< number of clients that are not read until memory is available
};

/// The name of a field as written in the log.
std::string_view name_of(LogFieldName name);

/// An id, written as 16 hex digits.
struct HexId {
  std::uint64_t value = 0;
};

/// Text is not owned and must outlive the field.
using LogValue = std::variant<std::uint64_t, std::int64_t, double, bool, std::string_view, HexId>;

/// A name and a value. Implicit conversions between types of value, such as text to bool, do not compile.
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

/// Appends a JSON string. Invalid UTF-8 is replaced by U+FFFD.
void append_json_text(fmt::memory_buffer& line, std::string_view text);

/// Appends `"name":value`. Infinity and NaN are written as null.
void append_json(fmt::memory_buffer& line, const LogField& field);

/// Appends `name=value`. A text is quoted as in JSON, unless it is one word of letters, digits and _.:/-
/// only.
void append_console(fmt::memory_buffer& line, const LogField& field);

}  // namespace paddlestand::observe

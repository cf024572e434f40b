/// JSON-RPC 2.0 as clients of the platform speak it: one message a line, no batches, the class of a query as
/// the method. The protocol's words (patience, redo, nonce, weight, customer, entity) are mapped here to the
/// terms of the code. No I/O, not thread-safe.
///
/// What is not well-formed is returned as a Problem and goes no further: an engine that gets a field that it
/// can't use fails the query, which would count against the engine.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "paddlestand/workload_manager.hpp"

namespace boost::json {
class value;
}

namespace paddlestand::jsonrpc {

/// Errors as numbered by the specification, and the platform's own.
enum class Code : std::int32_t {
  parse_error = -32700,
  invalid_request = -32600,
  unknown_method = -32601,
  invalid_params = -32602,
  failed = -32000,
  refused = -32001,  ///< rejected; safe to retry
};

/// A client asks for a query to be run.
struct Query {
  std::int64_t id{};
  std::uint32_t class_index{};
  std::uint32_t tenant{};  ///< its index in the settings; one behind the last: none
  std::uint64_t trace{};
  Duration client_timeout{};
  bool repeated{};  ///< the client has sent it before
  std::string idempotency_key;  ///< for classes that need one
  std::optional<Duration> cost;  ///< estimated work
  double memory_mb{};  ///< zero: unknown
  std::uint64_t ordering_key{};  ///< for classes that keep order; zero: none
  std::string statement;
};
/// The client cancels a request; no answer is owed for it.
struct CancelRequest {
  std::optional<std::int64_t> id;  ///< of this message, where it wants an answer itself
  std::optional<std::int64_t> request;
  std::optional<std::uint64_t> trace;

  /// Whether the open request with this id and trace is the one that is cancelled.
  [[nodiscard]] bool means(std::int64_t open_request, std::uint64_t open_trace) const {
    return request == open_request || trace == open_trace;
  }
};

/// A health check of the manager.
struct HealthCheck {
  std::int64_t id{};
};

/// What was wrong with a message, to be answered as an error.
struct Problem {
  std::optional<std::int64_t> id;
  Code code{};
  std::string text;
};

using Message = std::variant<Query, CancelRequest, HealthCheck, Problem>;

/// Reads messages of clients. The classes and tenants are borrowed and must outlive it.
class CallReader {
 public:
  explicit CallReader(const std::vector<ClassSettings>& classes,
                      const std::vector<TenantSettings>& tenants = none())
      : classes_(classes), tenants_(tenants) {}
  /// The message in one line, without its line end.
  [[nodiscard]] Message read(std::string_view line) const;

 private:
  [[nodiscard]] Message read_query(std::int64_t id, std::string_view class_name,
                                   const boost::json::value* parameters) const;
  static const std::vector<TenantSettings>& none() {
    static const std::vector<TenantSettings> no_tenants;
    return no_tenants;
  }

  const std::vector<ClassSettings>& classes_;
  const std::vector<TenantSettings>& tenants_;
};

/// Splits a byte stream into lines. It buffers at most one unfinished line, and no more than `max_bytes` of
/// it.
class LineCutter {
 public:
  explicit LineCutter(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  void feed(std::string_view bytes);
  /// The next complete line, valid until the next call; nothing where more bytes are needed.
  std::optional<std::string_view> next();
  /// Whether the incoming line is longer than allowed: nothing more of it is buffered, and there is no next
  /// one.
  [[nodiscard]] bool too_long() const { return too_long_; }
  /// Whether part of a line is here and its end is awaited.
  [[nodiscard]] bool inside() const { return at_ < bytes_.size(); }
  /// Bytes that are buffered.
  [[nodiscard]] std::size_t buffered_bytes() const { return bytes_.size(); }

 private:
  void give_up_line();
  void wait_for_more();

  std::size_t max_bytes_;
  std::string bytes_;
  std::size_t at_ = 0;  ///< where the next line begins
  std::size_t searched_ = 0;  ///< no line end is in the bytes before
  bool too_long_ = false;
};

/// Appends the answer of a query.
void put_result(std::string& out, std::int64_t id, std::string_view body);
/// Appends an error; `pause` is the Retry-After advice, zero for none.
void put_error(std::string& out, std::optional<std::int64_t> id, Code code, std::string_view text,
               Duration pause = {});
/// Appends the answer of a health check.
void put_health(std::string& out, std::int64_t id, bool is_ready);
/// Appends the answer of a cancel that wants one.
void put_done(std::string& out, std::int64_t id);

}  // namespace paddlestand::jsonrpc

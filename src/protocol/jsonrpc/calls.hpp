/// Codec of the platform's client protocol, a subset of JSON-RPC 2.0: one message per line, no batches, the
/// query class as the method. It maps the protocol's names (patience, redo, nonce, weight, customer, entity)
/// to the terms used in the code. No I/O, not thread-safe.
///
/// Malformed messages are returned as a Problem and never forwarded: an engine fails a query that has an
/// invalid field, and that failure would count against the engine.
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

/// Error codes of the JSON-RPC specification, and the platform's own.
enum class ErrorCode : std::int32_t {
  parse_error = -32700,
  invalid_request = -32600,
  unknown_method = -32601,
  invalid_params = -32602,
  failed = -32000,
  rejected = -32001,  ///< without any effect; safe to retry
};

/// A client's request to run a query.
struct Query {
  std::int64_t id{};
  std::uint32_t class_index{};
  std::uint32_t tenant{};  ///< index in the settings; the number of tenants if there is none
  std::uint64_t trace{};
  Duration client_timeout{};
  bool repeated{};  ///< whether the client has sent it before
  std::string idempotency_key;  ///< for classes that require one
  std::optional<Duration> cost;  ///< estimated work
  double memory_mb{};  ///< estimate; zero if unknown
  std::uint64_t ordering_key{};  ///< for classes ordered by key; zero if there is none
  std::string statement;
};
/// Cancels an open request, which then gets no answer.
struct CancelRequest {
  std::optional<std::int64_t> id;  ///< of this message, if it expects an answer itself
  std::optional<std::int64_t> request;
  std::optional<std::uint64_t> trace;

  /// Whether it cancels the open request with this id and trace id.
  [[nodiscard]] bool matches(std::int64_t open_request, std::uint64_t open_trace) const {
    return request == open_request || trace == open_trace;
  }
};

/// A health check of the manager.
struct HealthCheck {
  std::int64_t id{};
};

/// Why a message is invalid, as reported to the client.
struct Problem {
  std::optional<std::int64_t> id;
  ErrorCode code{};
  std::string text;
};

using Message = std::variant<Query, CancelRequest, HealthCheck, Problem>;

/// Parses messages of clients. The classes and tenants must outlive it.
class CallReader {
 public:
  explicit CallReader(const std::vector<ClassSettings>& classes,
                      const std::vector<TenantSettings>& tenants = no_tenants())
      : classes_(classes), tenants_(tenants) {}
  /// Parses the message in one line, given without its line end.
  [[nodiscard]] Message read(std::string_view line) const;

 private:
  [[nodiscard]] Message read_query(std::int64_t id, std::string_view class_name,
                                   const boost::json::value* parameters) const;
  static const std::vector<TenantSettings>& no_tenants() {
    static const std::vector<TenantSettings> empty;
    return empty;
  }

  const std::vector<ClassSettings>& classes_;
  const std::vector<TenantSettings>& tenants_;
};

/// Appends the result of a query.
void put_result(std::string& out, std::int64_t id, std::string_view body);
/// Appends an error; `retry_after` is the retry advice, zero if there is none.
void put_error(std::string& out, std::optional<std::int64_t> id, ErrorCode code, std::string_view text,
               Duration retry_after = {});
/// Appends the answer to a health check.
void put_health(std::string& out, std::int64_t id, bool is_ready);
/// Appends the answer to a cancellation that expects one.
void put_empty_result(std::string& out, std::int64_t id);

}  // namespace paddlestand::jsonrpc

/// The open requests of clients, indexed by session of the core and by the
/// trace id used with engines. No I/O.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/types.hpp"

namespace paddlestand::platform {

class Client;

/// One request of a client: a session of the core with one query.
struct ClientRequest {
  std::shared_ptr<Client> client;
  std::int64_t id{};  ///< the JSON-RPC id, which the answer repeats
  std::uint64_t trace{};
  std::uint32_t class_index{};
  TimePoint deadline{};  ///< when the client stops waiting
  std::string statement;
  std::string token;  ///< idempotency key; empty if there is none
  std::string result;  ///< body of the answer
  bool abandoned = false;  ///< whether the client has stopped waiting
  bool may_have_run = false;  ///< whether an attempt was given to a connection to an engine
};

/// Owns the open requests. Pointers to them stay valid until they are removed.
class RequestTable {
 public:
  /// `max_statement_bytes`: limit for the statements of all open requests, with
  /// the records about them.
  explicit RequestTable(std::size_t max_statement_bytes) : max_statement_bytes_(max_statement_bytes) {}

  /// Adds a request under an unused session number, and opens its trace id.
  void add(core::SessionId session, ClientRequest request);
  /// Removes a request and closes its trace id. Returns std::nullopt if the
  /// session is unknown.
  std::optional<ClientRequest> remove(core::SessionId session);
  /// Marks a request as abandoned and closes its trace id, which its client may
  /// then reuse. Returns false if the session is unknown or was already
  /// abandoned.
  bool abandon(core::SessionId session);

  /// Returns null if the session is unknown.
  [[nodiscard]] ClientRequest* find(core::SessionId session);
  [[nodiscard]] std::optional<std::uint64_t> trace_of(core::SessionId session) const;
  /// The client that waits for the request with this trace id; null if there is
  /// none.
  [[nodiscard]] std::shared_ptr<Client> client_of_trace(std::uint64_t trace) const;
  /// Whether a request that was not abandoned has this trace id.
  [[nodiscard]] bool is_trace_open(std::uint64_t trace) const { return sessions_by_trace_.contains(trace); }
  /// Whether one more statement of this size fits the limit. A part of the
  /// limit is reserved for clients that have no other request open, and a small
  /// part for small statements.
  [[nodiscard]] bool has_capacity_for(std::size_t statement_bytes, bool client_has_open_requests) const {
    const bool is_small = statement_bytes <= max_small_statement_bytes;
    const std::size_t reserve = client_has_open_requests ? max_statement_bytes_ / reserve_divisor
                                : is_small               ? 0
                                                         : max_statement_bytes_ / small_reserve_divisor;
    const std::size_t needed = statement_bytes + bytes_per_request;
    return statement_bytes_ + requests_.size() * bytes_per_request + needed + reserve <= max_statement_bytes_;
  }

 private:
  static constexpr std::size_t bytes_per_request = 1024;  // of the records about an open request
  static constexpr std::size_t reserve_divisor = 4;
  static constexpr std::size_t small_reserve_divisor = 16;
  static constexpr std::size_t max_small_statement_bytes = std::size_t{16} * 1024;

  void close_trace(std::uint64_t trace, core::SessionId session);

  std::unordered_map<core::SessionId, ClientRequest> requests_;
  std::unordered_map<std::uint64_t, core::SessionId> sessions_by_trace_;  // without abandoned requests
  std::size_t max_statement_bytes_;
  std::size_t statement_bytes_ = 0;  // of all open requests
};

}  // namespace paddlestand::platform

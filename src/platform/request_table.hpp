/// The requests of clients that are open: by the core's session, and by the trace id that engines know them
/// under. No I/O.
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
  std::int64_t id{};  ///< the client's own number, repeated in the answer
  std::uint64_t trace{};
  std::uint32_t class_index{};
  TimePoint deadline{};  ///< until when its client waits
  std::string statement;
  std::string token;  ///< idempotency token; empty where there is none
  std::string result;  ///< body of the answer
  bool abandoned = false;  ///< its client waits no longer
};

/// Owns the open requests. Pointers to them stay valid until they are removed.
class RequestTable {
 public:
  /// `max_statement_bytes`: of all open requests together.
  explicit RequestTable(std::size_t max_statement_bytes) : max_statement_bytes_(max_statement_bytes) {}

  /// Adds a request under a session number that is not in use, and opens its trace id.
  void add(core::SessionId session, ClientRequest request);
  /// Removes a request and closes its trace id; nothing where the session is unknown.
  std::optional<ClientRequest> remove(core::SessionId session);
  /// Marks a request as abandoned and closes its trace id, which its client may use again from here on. False
  /// where the session is unknown, or was abandoned before.
  bool abandon(core::SessionId session);

  /// Null where the session is unknown.
  [[nodiscard]] ClientRequest* find(core::SessionId session);
  [[nodiscard]] std::optional<std::uint64_t> trace_of(core::SessionId session) const;
  /// The client that waits for the request with this trace id; null where there is none.
  [[nodiscard]] std::shared_ptr<Client> client_of_trace(std::uint64_t trace) const;
  /// Whether a request whose client still waits has this trace id.
  [[nodiscard]] bool is_trace_open(std::uint64_t trace) const { return sessions_by_trace_.contains(trace); }
  /// Whether statements of so many further bytes stay within the bound.
  [[nodiscard]] bool has_capacity_for(std::size_t bytes) const {
    return statement_bytes_ + bytes <= max_statement_bytes_;
  }

 private:
  void close_trace(std::uint64_t trace, core::SessionId session);

  std::unordered_map<core::SessionId, ClientRequest> requests_;
  std::unordered_map<std::uint64_t, core::SessionId> sessions_by_trace_;  // of requests whose clients wait
  std::size_t max_statement_bytes_;
  std::size_t statement_bytes_ = 0;  // of all that are open
};

}  // namespace paddlestand::platform

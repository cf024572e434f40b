/// Passes requests between clients and the core: a client's request becomes a session with one query, and the
/// core's answer becomes a line for the client.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/event_dispatcher.hpp"
#include "executed_requests.hpp"
#include "platform_host.hpp"
#include "protocol/jsonrpc/calls.hpp"
#include "request_table.hpp"

namespace paddlestand::platform {

class Client;

/// Owns the request table. `host` and `classes` must outlive it.
class RequestHandler {
 public:
  RequestHandler(PlatformHost& host, const std::vector<ClassSettings>& classes,
                 std::size_t max_statement_bytes)
      : host_(host), classes_(classes), requests_(max_statement_bytes) {}

  // ---- For clients ----

  /// Returns an unused session number.
  [[nodiscard]] core::SessionId next_session() { return ++last_session_; }
  /// Passes a client's query to the core. The query gets the same number as `session`. `received`: the
  /// earliest time that it may have arrived.
  void submit(const std::shared_ptr<Client>& client, core::SessionId session, jsonrpc::Query query,
              TimePoint received);
  /// Marks a request as abandoned by its client; it gets no answer.
  void abandon(core::SessionId session);
  /// The client that waits for the request with this trace id; null if there is none. It may have left
  /// without its end having been read.
  [[nodiscard]] std::shared_ptr<Client> client_of_trace(std::uint64_t trace) const {
    return requests_.client_of_trace(trace);
  }
  [[nodiscard]] std::optional<std::uint64_t> trace_of(core::SessionId session) const {
    return requests_.trace_of(session);
  }
  /// Whether one more statement of this size fits the limit (RequestTable::has_capacity_for).
  [[nodiscard]] bool has_capacity_for(std::size_t statement_bytes, bool client_has_open_requests) const {
    return requests_.has_capacity_for(statement_bytes, client_has_open_requests);
  }
  /// Whether a query under the same trace id may have had an effect that must not happen twice, although no
  /// such request is open any more.
  [[nodiscard]] bool may_have_run_before(const jsonrpc::Query& query) const;
  /// Logs how many requests a client's cancellation matched.
  void log_cancellation(std::size_t requests);

  // ---- For engines ----

  /// Returns null if the request of the query has ended.
  [[nodiscard]] const ClientRequest* find(core::QueryId query) { return requests_.find(query); }
  /// Records that an attempt of the query is given to a connection.
  void record_attempt(core::QueryId query);
  /// Whether an attempt of the query may be sent now. Reads its client's input if necessary, which may
  /// abandon requests and close connections.
  [[nodiscard]] bool may_dispatch(core::QueryId query);

  // ---- For the core ----

  /// Stores the body of the upcoming answer; leaves `result` unchanged if the session is unknown.
  void set_result(core::SessionId session, std::string&& result);
  /// Ends a request, and answers its client unless the request was abandoned.
  void answer(const core::Answer& action);

 private:
  void remember_if_executed(const ClientRequest& request);
  void log_submission(const ClientRequest& request, const core::QueryArrived& arrived);

  PlatformHost& host_;
  const std::vector<ClassSettings>& classes_;
  RequestTable requests_;
  ExecutedRequests executed_;  // those that are no longer open
  core::SessionId last_session_ = 0;
};

}  // namespace paddlestand::platform

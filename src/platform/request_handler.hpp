/// Requests between clients and the core: a request that a client sends becomes a session with one query; the
/// core's answer becomes a line to the client.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/event_dispatcher.hpp"
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

  /// A session number that was never used.
  [[nodiscard]] core::SessionId next_session() { return ++last_session_; }
  /// Hands a client's query to the core as the query of `session`, which has the same number. `received`:
  /// when it may have arrived at the earliest.
  void submit(const std::shared_ptr<Client>& client, core::SessionId session, jsonrpc::Query query,
              TimePoint received);
  /// Its client waits no longer: the request gets no answer.
  void abandon(core::SessionId session);
  /// Whether a client that is still there has a request with this trace id open. Reads that client's input
  /// first: a client that repeats a request on a new connection may do so before the end of the old one was
  /// read.
  [[nodiscard]] bool is_trace_open(std::uint64_t trace);
  [[nodiscard]] std::optional<std::uint64_t> trace_of(core::SessionId session) const {
    return requests_.trace_of(session);
  }
  /// Whether statements of so many further bytes may be held.
  [[nodiscard]] bool has_capacity_for(std::size_t bytes) const { return requests_.has_capacity_for(bytes); }
  /// Logs how many requests one cancellation of a client named.
  void log_cancellation(std::size_t requests);

  // ---- For engines ----

  /// Null where the query's request is over.
  [[nodiscard]] const ClientRequest* find(core::QueryId query) { return requests_.find(query); }
  /// Whether an attempt of the query may go out now. Reads its client's input where that decides, which may
  /// abandon requests and close connections.
  [[nodiscard]] bool may_dispatch(core::QueryId query);

  // ---- For the core ----

  /// Stores the body of the answer to come; does not touch it where the session is unknown.
  void set_result(core::SessionId session, std::string&& result);
  /// Ends a request, and answers its client where that still waits.
  void answer(const core::Answer& action);

 private:
  void log_submission(const ClientRequest& request, const core::QueryArrived& arrived);

  PlatformHost& host_;
  const std::vector<ClassSettings>& classes_;
  RequestTable requests_;
  core::SessionId last_session_ = 0;
};

}  // namespace paddlestand::platform

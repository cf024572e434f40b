/// Validates the messages of a client that were read together before any of them is processed. A client that
/// sends an invalid message after valid requests, or cancels its requests immediately, causes no load on the
/// engines. No I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "paddlestand/workload_manager.hpp"
#include "protocol/jsonrpc/calls.hpp"

namespace paddlestand::platform {

class RequestHandler;

/// The size of the largest message of a client, which fits the largest statement in base64.
inline constexpr std::size_t max_message_bytes = std::size_t{96} * 1024;

/// The requests and answers that the connection of a batch already holds.
struct ConnectionLoad {
  std::map<std::int64_t, std::uint64_t> open_requests;  ///< trace id by request id
  std::set<std::uint64_t> pending_traces;  ///< of requests that were read but not processed yet
  std::int64_t last_id = 0;  ///< the highest request id used so far
  std::size_t unwritten_answers = 0;
};

/// Checks the requests of a batch against each other and against those already open.
class BatchValidator {
 public:
  BatchValidator(RequestHandler& requests, ConnectionLoad load)
      : requests_(requests), load_(std::move(load)) {}

  /// Returns the first problem in the batch, for which the connection has to be closed. Reads the input of
  /// clients that have requests with the same trace ids open.
  [[nodiscard]] std::optional<jsonrpc::Problem> find_problem(const std::vector<jsonrpc::Message>& messages);

 private:
  std::optional<jsonrpc::Problem> validate(const jsonrpc::Query& query);
  void apply(const jsonrpc::CancelRequest& cancellation);

  RequestHandler& requests_;
  ConnectionLoad load_;
};

/// The messages of one client that were read but not processed yet, in order of arrival. More messages may be
/// added while one is being processed.
class PendingMessages {
 public:
  struct Entry {
    jsonrpc::Message message;
    TimePoint received{};  ///< the earliest time that it may have arrived
  };

  void push(jsonrpc::Message message, TimePoint received);
  /// Removes and returns the oldest message, if there is one.
  std::optional<Entry> pop();
  /// Removes and returns the queries that a later message cancels.
  std::vector<jsonrpc::Query> extract(const jsonrpc::CancelRequest& cancellation);
  /// Removes and returns all queries; other messages are dropped.
  std::vector<jsonrpc::Query> extract_all();
  void clear() { entries_.clear(); }

  [[nodiscard]] bool is_empty() const { return entries_.empty(); }
  /// Adds the pending queries to the load of the connection.
  void add_to(ConnectionLoad& load) const;

 private:
  std::deque<Entry> entries_;
};

}  // namespace paddlestand::platform

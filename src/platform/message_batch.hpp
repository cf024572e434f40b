/// Messages of one client that were read together, examined before any of them is acted on: a client that
/// sends an invalid message behind valid requests, or cancels at once what it requests, costs the engines
/// nothing. No I/O.
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

/// What the connection of a batch already holds.
struct ConnectionLoad {
  std::map<std::int64_t, std::uint64_t> open_requests;  ///< number and trace id
  std::set<std::uint64_t> pending_traces;  ///< of requests that were read and not acted on yet
  std::int64_t last_id = 0;  ///< the highest number that was used
  std::size_t unwritten_answers = 0;
  std::size_t pending_statement_bytes = 0;  ///< of requests that were read and not acted on yet
};

/// Checks the requests of a batch against each other and against what is open already.
class BatchValidator {
 public:
  BatchValidator(RequestHandler& requests, ConnectionLoad load)
      : requests_(requests), load_(std::move(load)) {}

  /// The first problem of the batch, for which the connection is to be closed; or nothing. Reads the input of
  /// clients that hold the same trace ids.
  [[nodiscard]] std::optional<jsonrpc::Problem> find_problem(const std::vector<jsonrpc::Message>& messages);

 private:
  std::optional<jsonrpc::Problem> examine(const jsonrpc::Query& query);
  void apply(const jsonrpc::CancelRequest& cancellation);

  RequestHandler& requests_;
  ConnectionLoad load_;
};

/// The messages of one client that were read and are not acted on yet, in the order of their arrival. More
/// may be read while one of them is acted on.
class PendingMessages {
 public:
  struct Entry {
    jsonrpc::Message message;
    TimePoint received{};  ///< when it may have arrived at the earliest
  };

  void push(jsonrpc::Message message, TimePoint received);
  /// The oldest one, which is removed; or nothing.
  std::optional<Entry> pop();
  /// Removes and returns the queries that a later message cancels.
  std::vector<jsonrpc::Query> extract(const jsonrpc::CancelRequest& cancellation);
  /// Removes and returns all queries; other messages are dropped.
  std::vector<jsonrpc::Query> extract_all();
  void clear() { entries_.clear(); }

  [[nodiscard]] bool is_empty() const { return entries_.empty(); }
  /// Adds its queries to what the connection holds.
  void add_to(ConnectionLoad& load) const;

 private:
  std::deque<Entry> entries_;
};

}  // namespace paddlestand::platform

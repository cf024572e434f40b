/// Messages of one client that were read together, examined before any of them is acted on: a client that
/// sends an invalid message behind valid requests, or cancels at once what it requests, costs the engines
/// nothing. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "protocol/jsonrpc/calls.hpp"

namespace paddlestand::platform {

class RequestHandler;

/// What the connection of a batch already holds.
struct ConnectionLoad {
  std::map<std::int64_t, std::uint64_t> open_requests;  ///< number and trace id
  std::int64_t last_id = 0;  ///< the highest number that was used
  std::size_t unwritten_answers = 0;
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
  std::size_t statement_bytes_ = 0;  // of the batch
  std::set<std::uint64_t> traces_;  // of the batch
};

/// Removes the queries that a later message of the same batch cancels, and returns them; the cancellations
/// stay, without effect.
[[nodiscard]] std::vector<jsonrpc::Query> extract_cancelled(std::vector<jsonrpc::Message>& messages);

}  // namespace paddlestand::platform

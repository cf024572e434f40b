/// The messages of a client that were received together. All of them are validated before any is processed: a
/// client that sends an invalid message after valid requests, or cancels its requests immediately, causes no
/// load on the engines. No I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "paddlestand/workload_manager.hpp"
#include "protocol/jsonrpc/calls.hpp"

namespace paddlestand::platform {

class Client;
class RequestHandler;

/// The size of the largest message of a client, which fits the largest statement in base64.
inline constexpr std::size_t max_message_bytes = std::size_t{96} * 1024;

/// The requests and answers that the connection of a batch already holds.
struct ConnectionLoad {
  std::map<std::int64_t, std::uint64_t> open_requests;  ///< trace id by request id
  std::set<std::uint64_t> pending_traces;  ///< of requests that were read but not processed yet
  std::int64_t last_id = 0;  ///< the highest request id used so far
  std::size_t unwritten_answers = 0;
  std::size_t unwritten_lines = 0;  ///< answers and other lines
};

/// The messages that one read has completed, up to the first invalid one.
class MessageBatch {
 public:
  /// `owner`: the client that sent them. The arguments must outlive the batch.
  MessageBatch(const RequestHandler& requests, const Client& owner, ConnectionLoad load)
      : requests_(requests), owner_(owner), load_(std::move(load)) {}

  /// Adds the next message. Returns false if it is invalid: the connection has to be closed, and no further
  /// message is added.
  [[nodiscard]] bool add(jsonrpc::Message message);

  [[nodiscard]] const std::vector<jsonrpc::Message>& messages() const { return messages_; }
  [[nodiscard]] std::vector<jsonrpc::Message> take_messages() { return std::move(messages_); }
  /// The memory of the messages.
  [[nodiscard]] std::size_t allocated_bytes() const;
  [[nodiscard]] const std::optional<jsonrpc::Problem>& problem() const { return problem_; }
  /// The trace ids that other clients' requests have, unless these clients have left in the meantime: they
  /// must be read first. Then resolve_contested() decides.
  [[nodiscard]] const std::vector<std::uint64_t>& contested_traces() const { return contested_; }
  /// Finds a problem if a trace id is in use by an open request.
  void resolve_contested();

 private:
  std::optional<jsonrpc::Problem> find_problem(const jsonrpc::Message& message);
  std::optional<jsonrpc::Problem> find_problem(const jsonrpc::Query& query);
  void apply(const jsonrpc::CancelRequest& cancellation);
  static jsonrpc::Problem in_use(const jsonrpc::Query& query);

  const RequestHandler& requests_;
  const Client& owner_;
  ConnectionLoad load_;  // of the connection, with these messages
  std::vector<jsonrpc::Message> messages_;
  std::optional<jsonrpc::Problem> problem_;
  std::vector<std::uint64_t> contested_;
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
  /// Removes and returns all messages.
  std::vector<jsonrpc::Message> extract_all();
  void clear() { entries_.clear(); }

  [[nodiscard]] bool is_empty() const { return entries_.empty(); }
  /// The memory of the messages.
  [[nodiscard]] std::size_t allocated_bytes() const;
  /// Adds the pending queries to the load of the connection.
  void add_to(ConnectionLoad& load) const;

 private:
  std::deque<Entry> entries_;
};

}  // namespace paddlestand::platform

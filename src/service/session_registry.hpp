/// The clients' sessions of a PostgreSQL host and their queries in progress.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <unordered_map>
#include <vector>

#include "core/event_dispatcher.hpp"
#include "protocol/pg/messages.hpp"

namespace paddlestand::service {

class ClientSession;
class PostgresServer;

/// Owns the open sessions, assigns ids to them and their queries, and finds them by id or by cancel key. Used
/// only on the event loop's thread.
class SessionRegistry {
 public:
  /// Creates a session with the next id and a random cancel secret. The caller starts it.
  std::shared_ptr<ClientSession> create(PostgresServer& server, boost::asio::ip::tcp::socket socket);
  void remove(core::SessionId id) { sessions_.erase(id); }

  /// Returns null if the session is closed.
  [[nodiscard]] std::shared_ptr<ClientSession> find(core::SessionId id) const;
  /// The session whose BackendKeyData contains this key; null if there is none.
  [[nodiscard]] std::shared_ptr<ClientSession> find(pg::CancelKey key) const;
  /// A copy of the list of open sessions, so that callers may close sessions while they iterate.
  [[nodiscard]] std::vector<std::shared_ptr<ClientSession>> all() const;
  [[nodiscard]] std::size_t size() const { return sessions_.size(); }

  /// Assigns an id to a session's query.
  core::QueryId add_query(core::SessionId session);
  void remove_query(core::QueryId query) { queries_.erase(query); }
  /// The session of a query that has no final answer yet; null if the session is closed.
  [[nodiscard]] std::shared_ptr<ClientSession> session_of(core::QueryId query) const;

 private:
  std::unordered_map<core::SessionId, std::shared_ptr<ClientSession>> sessions_;
  std::unordered_map<core::QueryId, core::SessionId> queries_;
  core::SessionId last_session_ = 0;
  core::QueryId last_query_ = 0;
};

}  // namespace paddlestand::service

/// The clients' sessions of a PostgreSQL host, and the queries that each waits for.
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

/// Owns the open sessions, numbers them and their queries, and finds them by number or by cancel key. Used on
/// the loop's thread.
class SessionRegistry {
 public:
  /// Makes a session with the next number and a random cancel secret. The caller starts it.
  std::shared_ptr<ClientSession> create(PostgresServer& server, boost::asio::ip::tcp::socket socket);
  void remove(core::SessionId id) { sessions_.erase(id); }

  /// Null where the session is closed.
  [[nodiscard]] std::shared_ptr<ClientSession> find(core::SessionId id) const;
  /// The session that was given this key (BackendKeyData); null where there is none.
  [[nodiscard]] std::shared_ptr<ClientSession> find(pg::CancelKey key) const;
  /// All open sessions: what is done with each may close it.
  [[nodiscard]] std::vector<std::shared_ptr<ClientSession>> all() const;
  [[nodiscard]] std::size_t size() const { return sessions_.size(); }

  /// Numbers a query of a session.
  core::QueryId add_query(core::SessionId session);
  void remove_query(core::QueryId query) { queries_.erase(query); }
  /// The session of a query that has no final answer yet; null where it is closed.
  [[nodiscard]] std::shared_ptr<ClientSession> session_of(core::QueryId query) const;

 private:
  std::unordered_map<core::SessionId, std::shared_ptr<ClientSession>> sessions_;
  std::unordered_map<core::QueryId, core::SessionId> queries_;
  core::SessionId last_session_ = 0;
  core::QueryId last_query_ = 0;
};

}  // namespace paddlestand::service

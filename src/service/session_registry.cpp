#include "session_registry.hpp"

#include <openssl/rand.h>

#include <utility>

#include "client_session.hpp"

namespace paddlestand::service {
namespace {

constexpr std::uint64_t process_mask = 0x7fffffff;  // the bits of a session's id that its cancel key contains

std::uint32_t random_secret() {
  std::uint32_t secret = 0;
  RAND_bytes(reinterpret_cast<unsigned char*>(&secret), sizeof(secret));
  return secret;
}

}  // namespace

std::shared_ptr<ClientSession> SessionRegistry::create(PostgresServer& server,
                                                       boost::asio::ip::tcp::socket socket) {
  const core::SessionId id = ++last_session_;
  const pg::CancelKey key{static_cast<std::uint32_t>(id & process_mask), random_secret()};
  auto session = std::make_shared<ClientSession>(server, std::move(socket), id, key);
  sessions_.emplace(id, session);
  return session;
}

std::shared_ptr<ClientSession> SessionRegistry::find(core::SessionId id) const {
  const auto found = sessions_.find(id);
  return found == sessions_.end() ? nullptr : found->second;
}

std::shared_ptr<ClientSession> SessionRegistry::find(pg::CancelKey key) const {
  // A key contains only the low bits of an id. The session is looked for among the first ids, whose high bits
  // are zero, and among those that share their high bits with the latest id.
  for (const std::uint64_t high_bits : {std::uint64_t{0}, last_session_ & ~process_mask}) {
    auto session = find(high_bits | key.process);
    if (session && session->key() == key) return session;
  }
  return nullptr;
}

std::vector<std::shared_ptr<ClientSession>> SessionRegistry::all() const {
  std::vector<std::shared_ptr<ClientSession>> all;
  all.reserve(sessions_.size());
  for (const auto& [id, session] : sessions_) all.push_back(session);
  return all;
}

core::QueryId SessionRegistry::add_query(core::SessionId session) {
  const core::QueryId query = ++last_query_;
  queries_.emplace(query, session);
  return query;
}

std::shared_ptr<ClientSession> SessionRegistry::session_of(core::QueryId query) const {
  return find(queries_.at(query));
}

}  // namespace paddlestand::service

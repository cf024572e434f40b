#include "wire_attempts.hpp"

#include <algorithm>

namespace paddlestand::core {

void WireAttempts::began(std::uint64_t request, ConnectionId connection) {
  attempts_[request].push_back({connection, false});
  ++size_;
}

void WireAttempts::cancelling(std::uint64_t request, ConnectionId connection) {
  const auto found = attempts_.find(request);
  if (found == attempts_.end()) return;
  for (Attempt& attempt : found->second)
    if (attempt.connection == connection) attempt.cancelled = true;
}

void WireAttempts::ended(std::uint64_t request, ConnectionId connection) {
  const auto found = attempts_.find(request);
  if (found == attempts_.end()) return;
  size_ -= std::erase_if(found->second, [&](const Attempt& one) { return one.connection == connection; });
  if (found->second.empty()) attempts_.erase(found);
}

void WireAttempts::connection_closed(ConnectionId connection) {
  for (auto entry = attempts_.begin(); entry != attempts_.end();) {
    size_ -= std::erase_if(entry->second, [&](const Attempt& one) { return one.connection == connection; });
    entry = entry->second.empty() ? attempts_.erase(entry) : std::next(entry);
  }
}

std::vector<ConnectionId> WireAttempts::being_cancelled(std::uint64_t request) const {
  std::vector<ConnectionId> connections;
  const auto found = attempts_.find(request);
  if (found == attempts_.end()) return connections;
  for (const Attempt& attempt : found->second)
    if (attempt.cancelled) connections.push_back(attempt.connection);
  return connections;
}

bool WireAttempts::out(std::uint64_t request) const {
  const auto found = attempts_.find(request);
  return found != attempts_.end() && std::any_of(found->second.begin(), found->second.end(),
                                                 [](const Attempt& one) { return !one.cancelled; });
}

}  // namespace paddlestand::core

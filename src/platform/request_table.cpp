#include "request_table.hpp"

namespace paddlestand::platform {

void RequestTable::add(core::SessionId session, ClientRequest request) {
  sessions_by_trace_[request.trace] = session;
  statement_bytes_ += request.statement.size();
  requests_.emplace(session, std::move(request));
}

std::optional<ClientRequest> RequestTable::remove(core::SessionId session) {
  const auto found = requests_.find(session);
  if (found == requests_.end()) return std::nullopt;
  ClientRequest request = std::move(found->second);
  requests_.erase(found);
  close_trace(request.trace, session);
  statement_bytes_ -= request.statement.size();
  return request;
}

bool RequestTable::abandon(core::SessionId session) {
  ClientRequest* const request = find(session);
  if (request == nullptr || request->abandoned) return false;
  request->abandoned = true;
  close_trace(request->trace, session);
  return true;
}

ClientRequest* RequestTable::find(core::SessionId session) {
  const auto found = requests_.find(session);
  return found == requests_.end() ? nullptr : &found->second;
}

std::optional<std::uint64_t> RequestTable::trace_of(core::SessionId session) const {
  const auto found = requests_.find(session);
  if (found == requests_.end()) return std::nullopt;
  return found->second.trace;
}

std::shared_ptr<Client> RequestTable::client_of_trace(std::uint64_t trace) const {
  const auto open = sessions_by_trace_.find(trace);
  if (open == sessions_by_trace_.end()) return nullptr;
  return requests_.at(open->second).client;
}

// Closes the trace id only for its own session, since a later request may have reopened it.
void RequestTable::close_trace(std::uint64_t trace, core::SessionId session) {
  const auto open = sessions_by_trace_.find(trace);
  if (open != sessions_by_trace_.end() && open->second == session) sessions_by_trace_.erase(open);
}

}  // namespace paddlestand::platform

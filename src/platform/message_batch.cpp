#include "message_batch.hpp"

#include "request_handler.hpp"

namespace paddlestand::platform {
namespace {

constexpr std::size_t max_open_requests = 32;  // per connection, as defined by the protocol
constexpr std::size_t max_unwritten_lines = 128;  // for a client that does not read its answers

std::size_t allocated_bytes(const jsonrpc::Message& message) {
  const auto* query = std::get_if<jsonrpc::Query>(&message);
  const std::size_t text =
      query == nullptr ? 0 : query->statement.capacity() + query->idempotency_key.capacity();
  return sizeof(message) + text;
}

}  // namespace

bool MessageBatch::add(jsonrpc::Message message) {
  problem_ = find_problem(message);
  messages_.push_back(std::move(message));
  return !problem_;
}

std::optional<jsonrpc::Problem> MessageBatch::find_problem(const jsonrpc::Message& message) {
  if (const auto* problem = std::get_if<jsonrpc::Problem>(&message)) return *problem;
  if (load_.unwritten_lines > 0 && load_.unwritten_lines + messages_.size() >= max_unwritten_lines)
    return jsonrpc::Problem{std::nullopt, jsonrpc::ErrorCode::rejected, "too many unread answers"};
  if (const auto* cancellation = std::get_if<jsonrpc::CancelRequest>(&message)) apply(*cancellation);
  const auto* query = std::get_if<jsonrpc::Query>(&message);
  return query == nullptr ? std::nullopt : find_problem(*query);
}

void MessageBatch::apply(const jsonrpc::CancelRequest& cancellation) {
  std::erase_if(load_.open_requests, [&](const auto& request) {
    const auto& [id, trace] = request;
    return cancellation.matches(id, trace);
  });
}

std::optional<jsonrpc::Problem> MessageBatch::find_problem(const jsonrpc::Query& query) {
  const auto problem = [&](jsonrpc::ErrorCode code, const char* text) {
    return jsonrpc::Problem{query.id, code, text};
  };
  if (query.id <= load_.last_id) {
    return problem(jsonrpc::ErrorCode::invalid_request,
                   "id: expected one above all ids used on this connection");
  }
  const std::shared_ptr<Client> holder = requests_.client_of_trace(query.trace);
  if (holder.get() == &owner_ || !load_.pending_traces.insert(query.trace).second) return in_use(query);
  if (holder != nullptr) contested_.push_back(query.trace);
  load_.open_requests.emplace(query.id, query.trace);
  // Requests whose answers the client has not read still count as open.
  if (load_.open_requests.size() + load_.unwritten_answers > max_open_requests)
    return problem(jsonrpc::ErrorCode::rejected, "too many open requests on this connection: at most 32");
  load_.last_id = query.id;
  return std::nullopt;
}

jsonrpc::Problem MessageBatch::in_use(const jsonrpc::Query& query) {
  return {query.id, jsonrpc::ErrorCode::invalid_params, "trace: already in use by an open request"};
}

void MessageBatch::resolve_contested() {
  contested_.clear();
  for (const jsonrpc::Message& message : messages_) {
    const auto* query = std::get_if<jsonrpc::Query>(&message);
    if (problem_ || query == nullptr || requests_.client_of_trace(query->trace) == nullptr) continue;
    problem_ = in_use(*query);
  }
}

std::size_t MessageBatch::allocated_bytes() const {
  std::size_t bytes = 0;
  for (const jsonrpc::Message& message : messages_) bytes += platform::allocated_bytes(message);
  return bytes;
}

void PendingMessages::push(jsonrpc::Message message, TimePoint received) {
  entries_.push_back({std::move(message), received});
}

std::optional<PendingMessages::Entry> PendingMessages::pop() {
  if (entries_.empty()) return std::nullopt;
  Entry first = std::move(entries_.front());
  entries_.pop_front();
  return first;
}

std::vector<jsonrpc::Query> PendingMessages::extract(const jsonrpc::CancelRequest& cancellation) {
  std::vector<jsonrpc::Query> cancelled;
  std::erase_if(entries_, [&](Entry& entry) {
    auto* query = std::get_if<jsonrpc::Query>(&entry.message);
    if (query == nullptr || !cancellation.matches(query->id, query->trace)) return false;
    cancelled.push_back(std::move(*query));
    return true;
  });
  return cancelled;
}

std::vector<jsonrpc::Message> PendingMessages::extract_all() {
  std::vector<jsonrpc::Message> messages;
  for (Entry& entry : entries_) messages.push_back(std::move(entry.message));
  entries_.clear();
  return messages;
}

std::size_t PendingMessages::allocated_bytes() const {
  std::size_t bytes = 0;
  for (const Entry& entry : entries_) bytes += sizeof(TimePoint) + platform::allocated_bytes(entry.message);
  return bytes;
}

void PendingMessages::add_to(ConnectionLoad& load) const {
  for (const Entry& entry : entries_) {
    const auto* query = std::get_if<jsonrpc::Query>(&entry.message);
    if (query == nullptr) continue;
    load.open_requests.emplace(query->id, query->trace);
    load.pending_traces.insert(query->trace);
  }
}

}  // namespace paddlestand::platform

#include "message_batch.hpp"

#include "request_handler.hpp"

namespace paddlestand::platform {
namespace {

constexpr std::size_t max_open_requests = 32;  // on one connection, as the protocol has it

}  // namespace

std::optional<jsonrpc::Problem> BatchValidator::find_problem(const std::vector<jsonrpc::Message>& messages) {
  for (const jsonrpc::Message& message : messages) {
    if (const auto* problem = std::get_if<jsonrpc::Problem>(&message)) return *problem;
    if (const auto* cancellation = std::get_if<jsonrpc::CancelRequest>(&message)) apply(*cancellation);
    const auto* query = std::get_if<jsonrpc::Query>(&message);
    if (query == nullptr) continue;
    if (auto problem = examine(*query)) return problem;
  }
  return std::nullopt;
}

void BatchValidator::apply(const jsonrpc::CancelRequest& cancellation) {
  std::erase_if(load_.open_requests, [&](const auto& request) {
    const auto& [id, trace] = request;
    return cancellation.means(id, trace);
  });
}

std::optional<jsonrpc::Problem> BatchValidator::examine(const jsonrpc::Query& query) {
  const auto problem = [&](jsonrpc::Code code, const char* text) {
    return jsonrpc::Problem{query.id, code, text};
  };
  if (query.id <= load_.last_id)
    return problem(jsonrpc::Code::invalid_request, "id; wanted: one that this connection has not used");
  if (requests_.is_trace_open(query.trace) || !traces_.insert(query.trace).second)
    return problem(jsonrpc::Code::invalid_params, "trace; wanted: one that is not open");
  load_.open_requests.emplace(query.id, query.trace);
  // A client that sends further requests without reading its answers holds those too.
  if (load_.open_requests.size() + load_.unwritten_answers > max_open_requests)
    return problem(jsonrpc::Code::refused, "at most 32 requests are open at once");
  statement_bytes_ += query.statement.size();
  if (!requests_.has_capacity_for(statement_bytes_))
    return problem(jsonrpc::Code::refused, "no room for more statements");
  load_.last_id = query.id;
  return std::nullopt;
}

std::vector<jsonrpc::Query> extract_cancelled(std::vector<jsonrpc::Message>& messages) {
  std::vector<jsonrpc::Query> cancelled;
  for (std::size_t i = 0; i < messages.size(); ++i) {
    const auto* cancellation = std::get_if<jsonrpc::CancelRequest>(&messages[i]);
    if (cancellation == nullptr) continue;
    for (std::size_t earlier = 0; earlier < i; ++earlier) {
      auto* query = std::get_if<jsonrpc::Query>(&messages[earlier]);
      if (query == nullptr || !cancellation->means(query->id, query->trace)) continue;
      cancelled.push_back(std::move(*query));
      messages[earlier] = jsonrpc::CancelRequest{};  // of nothing
    }
  }
  return cancelled;
}

}  // namespace paddlestand::platform

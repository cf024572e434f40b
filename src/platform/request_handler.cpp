#include "request_handler.hpp"

#include <algorithm>

#include "client.hpp"
#include "protocol/sql/tables.hpp"

namespace paddlestand::platform {
using Field = observe::LogFieldName;
namespace {

/// Returns the line that answers a request, or std::nullopt if it gets no answer.
std::optional<std::string> answer_line(const ClientRequest& request, const core::Answer& action) {
  std::string line;
  switch (action.kind) {
    case core::AnswerKind::served: jsonrpc::put_result(line, request.id, request.result); break;
    case core::AnswerKind::rejected:
      jsonrpc::put_error(line, request.id, jsonrpc::ErrorCode::rejected,
                         action.shutting_down ? "the workload manager is shutting down" : "refused",
                         action.retry_after);
      break;
    case core::AnswerKind::failed:
      jsonrpc::put_error(line, request.id, jsonrpc::ErrorCode::failed,
                         action.deadline_exceeded ? "deadline exceeded" : "failed");
      break;
    case core::AnswerKind::cancelled: return std::nullopt;
  }
  return line;
}

}  // namespace

void RequestHandler::submit(const std::shared_ptr<Client>& client, core::SessionId session,
                            jsonrpc::Query query, TimePoint received) {
  ClientRequest request;
  request.client = client;
  request.id = query.id;
  request.trace = query.trace;
  request.class_index = query.class_index;
  request.deadline = received + query.client_timeout;
  request.token = std::move(query.idempotency_key);
  core::QueryArrived arrived;
  arrived.session = session;
  arrived.query = session;
  arrived.class_index = query.class_index;
  arrived.tenant = query.tenant;
  arrived.ordering_key = query.ordering_key;
  arrived.client_timeout = std::max(Duration{0}, request.deadline - host_.now());
  arrived.estimated_cost = query.cost;
  arrived.estimated_memory_mb = query.memory_mb;
  arrived.tables = sql::table_group(query.statement).value_or(0);
  arrived.repeated = query.repeated;
  request.statement = std::move(query.statement);
  if (host_.is_tracing()) log_submission(request, arrived);
  requests_.add(session, std::move(request));
  host_.dispatch(core::SessionOpened{session});
  host_.dispatch(arrived);
}

void RequestHandler::log_submission(const ClientRequest& request, const core::QueryArrived& arrived) {
  const auto cost_ms = arrived.estimated_cost ? arrived.estimated_cost->count() / 1000000 : 0;
  const auto client_timeout_ms = arrived.client_timeout.count() / 1000000;
  host_.log().info(observe::LogEvent::request_received,
                   {{Field::trace, observe::HexId{request.trace}},
                    {Field::client, request.client->number()},
                    {Field::query, arrived.query},
                    {Field::tables, arrived.tables},
                    {Field::bytes, request.statement.size()},
                    {Field::cost_ms, cost_ms},
                    {Field::client_timeout_ms, client_timeout_ms},
                    {Field::ordering_key, observe::HexId{arrived.ordering_key}}});
}

void RequestHandler::abandon(core::SessionId session) {
  if (!requests_.abandon(session)) return;
  remember_if_executed(*requests_.find(session));
  if (host_.is_tracing()) {
    host_.log().info(
        observe::LogEvent::client_disconnected,
        {{Field::trace, observe::HexId{requests_.trace_of(session).value_or(0)}}, {Field::query, session}});
  }
  host_.dispatch(core::SessionClosed{session});
}

// An idempotent request may run again.
void RequestHandler::remember_if_executed(const ClientRequest& request) {
  const bool is_idempotent = classes_[request.class_index].idempotency == Idempotency::idempotent;
  if (request.may_have_run && !is_idempotent) executed_.add(request.trace, host_.now());
}

bool RequestHandler::may_have_run_before(const jsonrpc::Query& query) const {
  const bool is_idempotent = classes_[query.class_index].idempotency == Idempotency::idempotent;
  return !is_idempotent && executed_.contains(query.trace, host_.now());
}

void RequestHandler::record_attempt(core::QueryId query) {
  ClientRequest* const request = requests_.find(query);
  if (request != nullptr) request->may_have_run = true;
}

void RequestHandler::log_cancellation(std::size_t requests) {
  if (host_.is_tracing())
    host_.log().info(observe::LogEvent::request_cancelled, {{Field::requests, requests}});
}

bool RequestHandler::may_dispatch(core::QueryId query) {
  for (bool just_read = false;; just_read = true) {
    const ClientRequest* const request = requests_.find(query);
    if (request == nullptr) return false;
    const std::shared_ptr<Client> client = request->client;
    core::DispatchFacts facts;
    facts.client_present = client->is_open() && !request->abandoned;
    facts.since_client_was_read = host_.now() - client->input_drained_at();
    facts.time_left = request->deadline - host_.now();
    facts.just_read = just_read;
    const core::DispatchDecision decision = core::may_dispatch(facts);
    if (decision != core::DispatchDecision::read_client_first)
      return decision == core::DispatchDecision::dispatch;
    client->read_until_drained();
  }
}

void RequestHandler::set_result(core::SessionId session, std::string&& result) {
  ClientRequest* const request = requests_.find(session);
  if (request != nullptr) request->result = std::move(result);
}

void RequestHandler::answer(const core::Answer& action) {
  host_.log().answer(action, classes_[action.class_index].name);
  const std::optional<ClientRequest> request = requests_.remove(action.session);
  if (!request || request->abandoned) return;
  if (action.kind != core::AnswerKind::rejected) remember_if_executed(*request);
  host_.dispatch(core::SessionClosed{action.session});
  if (auto line = answer_line(*request, action)) request->client->answer(request->id, std::move(*line));
}

}  // namespace paddlestand::platform

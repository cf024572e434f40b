#include "decision/request_table.hpp"

#include <algorithm>

#include "decision/visit_fields.hpp"

namespace paddlestand::decision {
namespace {

void visit_attempt(StateVisitor& visitor, Attempt& attempt) {
  visit_id(visitor, StateVisitor::Name::engine, attempt.engine);
  visit_integers(visitor, attempt.priority, attempt.in_flight, attempt.cancelled, attempt.announced,
                 attempt.had_spare_cores, attempt.may_have_run, attempt.in_running_cost,
                 attempt.of_earlier_process);
  visit_numbers(visitor, attempt.solo_run_time, attempt.granted_memory, attempt.progress,
                attempt.failure_score_before);
  visitor.since(attempt.sent_at);
  visitor.since(attempt.last_progress_at);
  visitor.since(attempt.progress_at);
}

void visit_request(StateVisitor& visitor, Request& request) {
  visit_integers(visitor, request.class_index, request.ordering_key, request.has_cost_estimate,
                 request.over_quota, request.is_queued, request.is_over, request.has_answer_started);
  visit_numbers(visitor, request.tables, request.estimated_cost, request.estimated_memory);
  visitor.since(request.arrived_at);
  visitor.since(request.first_of_key_since);
  visitor.until(request.deadline);
  visit_sequence(visitor, request.attempts, [&](Attempt& attempt) { visit_attempt(visitor, attempt); });
}

}  // namespace

bool Request::is_in_flight() const {
  return std::any_of(attempts.begin(), attempts.end(),
                     [](const Attempt& attempt) { return attempt.in_flight; });
}

Request& RequestTable::add(Request request) {
  const RequestId id = request.id;
  deadlines_.insert({request.deadline, id});
  return records_.emplace(id, std::move(request)).first->second;
}

void RequestTable::close(Request& request) {
  request.is_over = true;
  deadlines_.erase({request.deadline, request.id});
}

void RequestTable::erase(RequestId id) { records_.erase(id); }

Request* RequestTable::find(RequestId id) {
  const auto found = records_.find(id);
  return found == records_.end() ? nullptr : &found->second;
}

void RequestTable::visit(StateVisitor& visitor) {
  visit_map(visitor, records_, [&](RequestId& id, Request& request) {
    visitor.name(StateVisitor::Name::request, id);
    request.id = id;
    visit_request(visitor, request);
  });
  if (!visitor.reads()) return;
  deadlines_.clear();
  for (const auto& [id, request] : records_) {
    if (!request.is_over) deadlines_.insert({request.deadline, id});
  }
}

}  // namespace paddlestand::decision

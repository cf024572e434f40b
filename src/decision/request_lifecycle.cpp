#include "decision/request_lifecycle.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "decision/units.hpp"

namespace paddlestand::decision {

void RequestLifecycle::enqueue(Request& request) {
  ClassState& class_state = state_.class_of(request);
  std::vector<RequestId>& queue = class_state.queue;
  const auto place = std::find_if(queue.begin(), queue.end(), [&](RequestId id) {
    return state_.requests.at(id).arrived_at > request.arrived_at;
  });
  queue.insert(place, request.id);
  class_state.queued_cost += costs_.cost_of(request);
  request.is_queued = true;
}

void RequestLifecycle::start_attempt(Request& request, Engine& engine) {
  remove_from_queue(request);
  const ClassSettings& settings = state_.settings_of(request);
  if (!request.attempts.empty()) state_.retry_budget.record_retry(state_.now);
  slow_start_.record_send(request, engine);

  Attempt attempt;
  attempt.engine = engine.entry.engine;
  attempt.sent_at = state_.now;
  attempt.solo_run_time = costs_.solo_run_time_of(request);
  attempt.granted_memory = grants_.granted_memory(request);
  attempt.announced = state_.class_of(request).is_announced;
  attempt.priority = grants_.priority_of(request);

  if (engine.queries == 0) engine.busy_since = state_.now;
  engine.queries += 1;
  engine.threads += settings.threads;
  engine.memory += attempt.granted_memory;
  if (settings.writes_tables) ++engine.writers[request.tables];
  attempt.had_spare_cores = engine.threads * instance_count(state_.settings) <= engine.cores;

  state_.threads_by_priority[attempt.priority] += settings.threads;
  gossip_.record_start(attempt);
  admission_.record_start(request, attempt);
  request.attempts.push_back(attempt);

  if (const auto grant = grants_.grant_for(request, attempt)) actions_.emit(*grant);
  const double timeout = request.deadline - answer_margin(state_.settings) - state_.now;
  actions_.emit(Send{request.id, attempt.engine, to_duration(timeout)});
}

void RequestLifecycle::end_attempt(const Request& request, Attempt& attempt) {
  const ClassSettings& settings = state_.settings_of(request);
  attempt.in_flight = false;
  state_.threads_by_priority[attempt.priority] -= settings.threads;
  admission_.release_running_cost(request, attempt);
  Engine& engine = state_.engines.at(attempt.engine);
  engine.queries -= 1;
  engine.threads -= settings.threads;
  engine.memory -= attempt.granted_memory;
  gossip_.record_end(attempt);
  if (!settings.writes_tables) return;
  int& writers = engine.writers[request.tables];
  writers -= 1;
  if (writers <= 0) engine.writers.erase(request.tables);
}

void RequestLifecycle::reject_or_fail(Request& request) {
  if (request.is_over) return;
  remove_from_queue(request);
  cancel_attempts(request);
  if (rules_.may_reject(request)) {
    actions_.emit(Reject{request.id, admission_.retry_advice(request)});
  } else {
    actions_.emit(Fail{request.id});
  }
  close(request);
}

void RequestLifecycle::abandon(Request& request) {
  cancel_attempts(request);
  close(request);
}

void RequestLifecycle::close(Request& request) {
  remove_from_queue(request);
  state_.requests.close(request);
  erase_if_done(request.id);
}

void RequestLifecycle::erase_if_done(RequestId id) {
  const Request* request = state_.requests.find(id);
  if (request == nullptr || !request->is_over || request->is_in_flight()) return;
  if (request->ordering_key != 0) {
    const std::optional<RequestId> new_first = state_.ordering_keys.remove(request->ordering_key, id);
    if (new_first) state_.requests.at(*new_first).first_of_key_since = state_.now;
  }
  state_.requests.erase(id);
}

void RequestLifecycle::remove_from_queue(Request& request) {
  if (!request.is_queued) return;
  ClassState& class_state = state_.class_of(request);
  std::erase(class_state.queue, request.id);
  // Recomputed rather than decremented: rounding errors would accumulate, and the learned corrections of the
  // estimates change while requests are queued.
  class_state.queued_cost = 0;
  for (const RequestId id : class_state.queue) {
    class_state.queued_cost += costs_.cost_of(state_.requests.at(id));
  }
  request.is_queued = false;
}

void RequestLifecycle::cancel_attempts(const Request& request) {
  if (!state_.settings.may_cancel) return;
  for (std::size_t i = 0; i < request.attempts.size(); ++i) {
    if (request.attempts[i].in_flight) actions_.emit(Cancel{request.id, static_cast<std::uint32_t>(i)});
  }
}

}  // namespace paddlestand::decision

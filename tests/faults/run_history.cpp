#include "run_history.hpp"

namespace paddlestand::faults {
namespace {

void count_answer(RunHistory& history, const RunEvent& answer) {
  if (answer.detail == answer_detail::served) ++history.served;
  if (answer.detail == answer_detail::rejected) ++history.rejected;
  if (answer.detail == answer_detail::failed) ++history.failed;
}

void add_answer(RunHistory& history, RequestHistory& request, const RunEvent& answer) {
  request.answers.push_back(answer);
  request.outcome = answer;
  count_answer(history, answer);
}

void add_to_request(RunHistory& history, const RunEvent& event) {
  RequestHistory& request = history.requests[event.trace];
  request.trace = event.trace;
  switch (event.kind) {
    case EventKind::request_sent:
      request.sent = event;
      ++history.requests_sent;
      break;
    case EventKind::answered: add_answer(history, request, event); break;
    case EventKind::cancelled:
    case EventKind::disconnected: request.abandoned_at = event.at; break;
    case EventKind::connection_ended:
    case EventKind::unanswered: request.outcome = event; break;
    case EventKind::attempt_started: request.attempts_started.push_back(event); break;
    case EventKind::attempt_rejected: request.attempts_rejected.push_back(event); break;
    case EventKind::attempt_ended: request.attempts_ended.push_back(event); break;
    default: break;
  }
}

void add_to_run(RunHistory& history, const RunEvent& event) {
  switch (event.kind) {
    case EventKind::manager_crashed: history.manager_crashes[event.subject].push_back(event.at); break;
    case EventKind::manager_killed: history.manager_kills[event.subject].push_back(event.at); break;
    case EventKind::engine_killed: history.engine_kills[event.subject].push_back(event.at); break;
    case EventKind::engine_stopped_reading:
      history.engine_read_stops[event.subject].push_back(event.at);
      break;
    case EventKind::engine_draining: history.engine_drains.try_emplace(event.subject, event.at); break;
    case EventKind::connection_broken:
      history.broken_connections.insert({event.subject, static_cast<std::uint32_t>(event.value)});
      break;
    case EventKind::answered:  // for an id without an open request
    case EventKind::manager_exited:
    case EventKind::manager_not_ready: history.violations.push_back(event); break;
    default: break;
  }
}

}  // namespace

RunHistory history_of(const std::vector<RunEvent>& events) {
  RunHistory history;
  for (const RunEvent& event : events) {
    if (event.trace != 0) {
      add_to_request(history, event);
    } else {
      add_to_run(history, event);
    }
  }
  return history;
}

}  // namespace paddlestand::faults

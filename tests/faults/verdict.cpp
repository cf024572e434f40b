#include "verdict.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <optional>

#include "monotonic_clock.hpp"
#include "run_history.hpp"

namespace paddlestand::faults {
namespace {

// Each limit is the limit that the platform sets plus its tolerance of 50 ms.
// After the client abandoned the request.
constexpr std::int64_t late_attempt_limit = 150 * ns_per_millisecond;
constexpr std::int64_t deadline_slack_ms = 150;  // of the time granted to an engine
// For a request that is in transit while the manager closes the connection.
constexpr std::int64_t crossing_limit = 70 * ns_per_millisecond;
// An engine handles a cancel or a close when its event loop reads it; the manager may continue earlier.
constexpr std::int64_t engine_loop_delay = 50 * ns_per_millisecond;
// Until clients detect a killed manager.
constexpr std::int64_t crash_detection_limit = 1000 * ns_per_millisecond;
// An attempt may start between the occurrence of an event and its record.
constexpr std::int64_t record_delay = 1 * ns_per_millisecond;

const char* name_of(Rule rule) {
  switch (rule) {
    case Rule::no_request_lost: return "lost";
    case Rule::deadline_within_client_timeout: return "deadline";
    case Rule::effect_at_most_once: return "duplicate";
    case Rule::rejected_without_effect: return "rejection";
    case Rule::one_attempt_at_a_time: return "concurrent";
    case Rule::no_attempt_at_draining_engine: return "drain";
    case Rule::manager_keeps_running: return "crash";
    case Rule::manager_becomes_ready: return "start";
    case Rule::manager_logs_no_violation: return "logged by manager";
  }
  return "unknown rule";
}

std::string in_ms(std::int64_t ns) { return std::to_string(ns / ns_per_millisecond) + " ms"; }

std::string engine_name(const RunEvent& attempt) { return "engine " + std::to_string(attempt.subject); }

/// The first time listed for the attempt's engine since the attempt started; nothing if there is none.
std::optional<std::int64_t> first_since(const RunEvent& attempt, const TimesBySubject& times) {
  const auto found = times.find(attempt.subject);
  if (found == times.end()) return std::nullopt;
  const auto first = std::find_if(found->second.begin(), found->second.end(),
                                  [&](std::int64_t time) { return time >= attempt.at - record_delay; });
  if (first == found->second.end()) return std::nullopt;
  return *first;
}

/// Whether `at` is shortly after one of the times at which the manager's process was killed.
bool is_shortly_after(const TimesBySubject& ends, std::uint32_t manager, std::int64_t at) {
  const auto found = ends.find(manager);
  if (found == ends.end()) return false;
  return std::any_of(found->second.begin(), found->second.end(),
                     [&](std::int64_t end) { return at >= end && at <= end + crash_detection_limit; });
}

class RuleChecker {
 public:
  RuleChecker(const RunHistory& history, const VerdictConditions& conditions)
      : history_(history), conditions_(conditions) {}

  Verdict verdict() {
    verdict_.requests = history_.requests_sent;
    verdict_.served = history_.served;
    verdict_.rejected = history_.rejected;
    verdict_.failed = history_.failed;
    for (const RunEvent& event : history_.violations) add_violation(event);
    for (const auto& [trace, request] : history_.requests) check(request);
    return std::move(verdict_);
  }

 private:
  void check(const RequestHistory& request) {
    check_answers(request);
    check_outcome(request);
    check_attempts_after_abandonment(request);
    check_granted_time(request);
    check_effect(request);
    check_concurrent_attempts(request);
    check_drains(request);
  }

  void add_violation(const RunEvent& event) {
    const std::string manager = "manager " + std::to_string(event.subject);
    switch (event.kind) {
      case EventKind::answered:
        verdict_.violations.push_back(
            {Rule::no_request_lost, manager + " answered request id " + std::to_string(event.value) +
                                        " on client port " + std::to_string(event.port) +
                                        ", which is not open"});
        break;
      case EventKind::manager_exited:
        verdict_.violations.push_back(
            {Rule::manager_keeps_running, manager + " exited with code " + std::to_string(event.value)});
        break;
      case EventKind::manager_not_ready:
        verdict_.violations.push_back(
            {Rule::manager_becomes_ready, manager + " did not become ready in time"});
        break;
      default: break;
    }
  }

  void add_violation(Rule rule, const RequestHistory& request, const std::string& what) {
    std::array<char, 17> trace{};
    std::snprintf(trace.data(), trace.size(), "%016llx", static_cast<unsigned long long>(request.trace));
    const std::uint32_t manager = request.sent ? request.sent->subject : 0;
    const std::uint32_t port = request.sent ? request.sent->port : 0;
    verdict_.violations.push_back({rule, std::string(trace.data()) + " at manager " +
                                             std::to_string(manager) + " (client port " +
                                             std::to_string(port) + "): " + what});
  }

  void check_answers(const RequestHistory& request) {
    if (request.answers.size() > 1) add_violation(Rule::no_request_lost, request, "more than one answer");
    for (const RunEvent& answer : request.answers) {
      if (answer.detail == answer_detail::wrong)
        add_violation(Rule::no_request_lost, request, "the answer does not match the request");
    }
  }

  /// Every request that was sent and not abandoned must have an answer or a permitted end of its connection.
  void check_outcome(const RequestHistory& request) {
    if (!request.sent || request.abandoned_at) return;
    if (!request.outcome) {
      add_violation(Rule::no_request_lost, request, "no outcome was recorded");
      return;
    }
    const RunEvent& sent = *request.sent;
    const RunEvent& outcome = *request.outcome;
    if (outcome.kind == EventKind::answered) return;
    if (history_.broken_connections.contains({sent.subject, sent.port})) return;
    if (is_shortly_after(history_.manager_crashes, sent.subject, outcome.at)) return;
    const std::string delay = in_ms(outcome.at - sent.at);
    if (outcome.kind == EventKind::unanswered) {
      add_violation(Rule::no_request_lost, request,
                    "no answer " + delay + " after the request was sent, client timeout " +
                        std::to_string(sent.value) + " ms");
      return;
    }
    if (may_have_crossed_close(request)) return;
    if (conditions_.many_idle_connections && sent.first) return;
    add_violation(Rule::no_request_lost, request,
                  "the connection ended " + delay + " after the request was sent, without an answer");
  }

  /// Whether the request may have been in transit when the manager closed the connection. Not if an attempt
  /// started. Not if the client saw a reset either, since then the manager closed with the request unread,
  /// unless it was killed.
  [[nodiscard]] bool may_have_crossed_close(const RequestHistory& request) const {
    const RunEvent& sent = *request.sent;
    const RunEvent& outcome = *request.outcome;
    const bool orderly = outcome.detail != end_detail::reset ||
                         is_shortly_after(history_.manager_kills, sent.subject, outcome.at);
    return outcome.at - sent.at <= crossing_limit && request.attempts_started.empty() && orderly;
  }

  void check_attempts_after_abandonment(const RequestHistory& request) {
    if (!request.abandoned_at) return;
    for (const RunEvent& attempt : request.attempts_started) {
      const std::int64_t delay = attempt.at - *request.abandoned_at;
      if (delay <= late_attempt_limit) continue;
      add_violation(Rule::no_request_lost, request,
                    "attempt started at " + engine_name(attempt) + " " + in_ms(delay) +
                        " after its client abandoned it");
    }
  }

  void check_granted_time(const RequestHistory& request) {
    if (!request.sent) return;
    for (const RunEvent& attempt : request.attempts_started) {
      const std::int64_t elapsed_ms = (attempt.at - request.sent->at) / ns_per_millisecond;
      const std::int64_t remaining_ms = request.sent->value - elapsed_ms;
      if (attempt.value <= remaining_ms + deadline_slack_ms) continue;
      add_violation(Rule::deadline_within_client_timeout, request,
                    engine_name(attempt) + " was granted " + std::to_string(attempt.value) +
                        " ms while its client had " + std::to_string(remaining_ms) + " ms remaining");
    }
  }

  /// Checks requests that must not run twice.
  void check_effect(const RequestHistory& request) {
    if (!request.sent || request.sent->detail != "settle") return;
    const std::size_t started = request.attempts_started.size();
    const std::size_t ran = started - std::min(started, request.attempts_rejected.size());
    if (ran > 1) add_violation(Rule::effect_at_most_once, request, "ran " + std::to_string(ran) + " times");
    if (ran > 0 && request.outcome && request.outcome->detail == answer_detail::rejected)
      add_violation(Rule::rejected_without_effect, request, "was rejected although an attempt had run");
  }

  /// Checks requests of every class by the events of the engines, independent of the manager's view.
  void check_concurrent_attempts(const RequestHistory& request) {
    std::vector<RunEvent> ends = request.attempts_ended;
    std::optional<std::int64_t> active_until;
    for (const RunEvent& attempt : request.attempts_started) {
      if (active_until && attempt.at < *active_until) {
        add_violation(Rule::one_attempt_at_a_time, request,
                      "attempt started at " + engine_name(attempt) + " while another was active");
      }
      const std::int64_t end = extract_end_of(attempt, ends);
      active_until = std::max(active_until.value_or(end), end);
    }
  }

  /// The time until which the attempt was certainly active at its engine. Removes its end event from `ends`.
  /// An attempt that is cancelled while the engine does not read ends at a time unknown to the engine, which
  /// may still answer it: such an attempt counts as ended when the engine stopped reading.
  std::int64_t extract_end_of(const RunEvent& attempt, std::vector<RunEvent>& ends) const {
    const auto end = std::find_if(ends.begin(), ends.end(), [&](const RunEvent& candidate) {
      return candidate.subject == attempt.subject && candidate.port == attempt.port &&
             candidate.at >= attempt.at;
    });
    std::int64_t at =
        first_since(attempt, history_.engine_kills).value_or(std::numeric_limits<std::int64_t>::max());
    if (end != ends.end()) {
      const bool answered = end->detail == attempt_detail::answered;
      at = answered ? end->at : end->at - engine_loop_delay;
      ends.erase(end);
    }
    return std::min(at, first_since(attempt, history_.engine_read_stops).value_or(at));
  }

  void check_drains(const RequestHistory& request) {
    for (const RunEvent& attempt : request.attempts_started) {
      const auto drain = history_.engine_drains.find(attempt.subject);
      if (drain == history_.engine_drains.end()) continue;
      const double delay_s = static_cast<double>(attempt.at - drain->second) * 1e-9;
      if (delay_s <= conditions_.drain_grace_s) continue;
      add_violation(Rule::no_attempt_at_draining_engine, request,
                    "attempt started at " + engine_name(attempt) + " " + std::to_string(delay_s) +
                        " s after the engine began to drain");
    }
  }

  const RunHistory& history_;
  VerdictConditions conditions_;
  Verdict verdict_;
};

}  // namespace

std::string to_line(const Violation& violation) {
  return std::string(name_of(violation.rule)) + ": " + violation.description;
}

Verdict check_rules(const std::vector<RunEvent>& events, const VerdictConditions& conditions) {
  const RunHistory history = history_of(events);
  return RuleChecker(history, conditions).verdict();
}

}  // namespace paddlestand::faults

#include "verdict.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <optional>

#include "monotonic_clock.hpp"
#include "run_history.hpp"

namespace paddlestand::faults {
namespace {

// Each limit is the platform's, and 50 ms more, as the platform has it.
constexpr std::int64_t late_attempt_limit = 150 * millisecond;  // after its client abandoned the request
constexpr std::int64_t deadline_slack_ms = 150;  // of what an engine is granted
constexpr std::int64_t crossing_limit = 70 * millisecond;  // a request that crosses a connection's end
// An engine sees a cancel or a close once its loop comes to it; the manager may have gone on at once.
constexpr std::int64_t engine_loop_delay = 50 * millisecond;
constexpr std::int64_t crash_detection_limit = 1000 * millisecond;  // until clients see a manager's kill
// An attempt may start between an event and its record.
constexpr std::int64_t record_delay = 1 * millisecond;

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

std::string in_ms(std::int64_t ns) { return std::to_string(ns / millisecond) + " ms"; }

std::string engine_name(const RunEvent& attempt) { return "engine " + std::to_string(attempt.subject); }

/// The first of the times of the attempt's engine since the attempt started; or nothing.
std::optional<std::int64_t> first_since(const RunEvent& attempt, const TimesBySubject& times) {
  const auto found = times.find(attempt.subject);
  if (found == times.end()) return std::nullopt;
  const auto first = std::find_if(found->second.begin(), found->second.end(),
                                  [&](std::int64_t time) { return time >= attempt.at - record_delay; });
  if (first == found->second.end()) return std::nullopt;
  return *first;
}

/// Whether the manager's process ended at one of these times, and `at` is shortly after it.
bool is_shortly_after(const TimesBySubject& ends, std::uint32_t manager, std::int64_t at) {
  const auto found = ends.find(manager);
  if (found == ends.end()) return false;
  return std::any_of(found->second.begin(), found->second.end(),
                     [&](std::int64_t end) { return at >= end && at <= end + crash_detection_limit; });
}

class Judge {
 public:
  Judge(const RunHistory& history, const RunFacts& facts) : history_(history), facts_(facts) {}

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
            {Rule::no_request_lost, manager + " answered number " + std::to_string(event.value) +
                                        " on client port " + std::to_string(event.port) + " once more"});
        break;
      case EventKind::manager_exited:
        verdict_.violations.push_back(
            {Rule::manager_keeps_running, manager + " ended with " + std::to_string(event.value)});
        break;
      case EventKind::manager_not_ready:
        verdict_.violations.push_back({Rule::manager_becomes_ready, manager + " was not ready"});
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
    if (request.answers.size() > 1) add_violation(Rule::no_request_lost, request, "two answers");
    for (const RunEvent& answer : request.answers) {
      if (answer.detail == answer_detail::wrong)
        add_violation(Rule::no_request_lost, request, "an answer that no engine made");
    }
  }

  /// Every request that was sent and not abandoned has an answer, or its connection's end is accounted for.
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
      add_violation(
          Rule::no_request_lost, request,
          "no answer " + delay + " after it was sent, client timeout " + std::to_string(sent.value) + " ms");
      return;
    }
    if (may_have_crossed_the_end(request)) return;
    if (facts_.many_idle_connections && sent.first) return;
    add_violation(Rule::no_request_lost, request,
                  "its connection ended " + delay + " after it was sent, with no answer");
  }

  /// A request may cross the end of a connection; not one that was accepted, and not under a close over its
  /// bytes, which the client sees as a reset.
  [[nodiscard]] bool may_have_crossed_the_end(const RequestHistory& request) const {
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
      add_violation(
          Rule::no_request_lost, request,
          "started at " + engine_name(attempt) + " " + in_ms(delay) + " after its client abandoned it");
    }
  }

  void check_granted_time(const RequestHistory& request) {
    if (!request.sent) return;
    for (const RunEvent& attempt : request.attempts_started) {
      const std::int64_t elapsed_ms = (attempt.at - request.sent->at) / millisecond;
      const std::int64_t remaining_ms = request.sent->value - elapsed_ms;
      if (attempt.value <= remaining_ms + deadline_slack_ms) continue;
      add_violation(Rule::deadline_within_client_timeout, request,
                    engine_name(attempt) + " was granted " + std::to_string(attempt.value) +
                        " ms, its client had " + std::to_string(remaining_ms) + " ms remaining");
    }
  }

  /// Of requests that must not run twice.
  void check_effect(const RequestHistory& request) {
    if (!request.sent || request.sent->detail != "settle") return;
    const std::size_t started = request.attempts_started.size();
    const std::size_t ran = started - std::min(started, request.attempts_rejected.size());
    if (ran > 1)
      add_violation(Rule::effect_at_most_once, request, "started " + std::to_string(ran) + " times");
    if (ran > 0 && request.outcome && request.outcome->detail == answer_detail::rejected)
      add_violation(Rule::rejected_without_effect, request, "was answered as rejected, and had started");
  }

  /// By the engines' own account, whatever the manager believed, for every class.
  void check_concurrent_attempts(const RequestHistory& request) {
    std::vector<RunEvent> ends = request.attempts_ended;
    std::optional<std::int64_t> active_until;
    for (const RunEvent& attempt : request.attempts_started) {
      if (active_until && attempt.at < *active_until) {
        add_violation(Rule::one_attempt_at_a_time, request,
                      "started at " + engine_name(attempt) + " while another attempt was active");
      }
      const std::int64_t end = extract_end_of(attempt, ends);
      active_until = std::max(active_until.value_or(end), end);
    }
  }

  /// When the attempt was certainly over for its engine; its event is removed from `ends`. What is cancelled
  /// while the engine reads nothing ends at a time that the engine can't know, and may still be answered by
  /// it: such an attempt counts as over from the moment on from which the engine read nothing.
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
      if (delay_s <= facts_.drain_grace_s) continue;
      add_violation(Rule::no_attempt_at_draining_engine, request,
                    "started at " + engine_name(attempt) + " " + std::to_string(delay_s) +
                        " s after it began to drain");
    }
  }

  const RunHistory& history_;
  RunFacts facts_;
  Verdict verdict_;
};

}  // namespace

std::string to_line(const Violation& violation) {
  return std::string(name_of(violation.rule)) + ": " + violation.description;
}

Verdict judge(const std::vector<RunEvent>& events, const RunFacts& facts) {
  const RunHistory history = history_of(events);
  return Judge(history, facts).verdict();
}

}  // namespace paddlestand::faults

#include "trace_checker.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <sstream>
#include <utility>

#include "log_words.hpp"
#include "trace.hpp"

namespace paddlestand::trace_checker {
namespace {

constexpr std::size_t max_reported_per_rule = 20;  // further violations are only counted
constexpr double manager_end_tolerance_s = 0.5;
constexpr double budget_rounding_tolerance = 1e-9;  // for floating-point errors, in retries

/// The numbers of the rules in verdicts.
enum Rule : std::uint8_t {
  one_final_answer = 1,
  no_repeated_effect = 2,
  drain = 3,
  slow_start = 4,
  key_order = 5,
  placement = 6,
  retry_budget = 7
};

std::int64_t nanoseconds(double seconds) { return std::llround(seconds * 1e9); }

/// Returns true if the client logged that it received no answer: the connection was lost, or the client gave
/// up.
bool is_missing(const Record& answer) {
  return answer.kind == answer_kind::lost || answer.kind == answer_kind::unanswered;
}

/// Returns true if the manager ended in the interval, extended by a tolerance on both sides.
bool ended_near(const TimesByManager& times, const std::string& manager, std::int64_t from, std::int64_t to) {
  const auto found = times.find(manager);
  if (found == times.end()) return false;
  const std::int64_t tolerance = nanoseconds(manager_end_tolerance_s);
  return std::any_of(found->second.begin(), found->second.end(),
                     [&](std::int64_t time) { return time >= from - tolerance && time <= to + tolerance; });
}

/// Returns when the engine is next listed as ready after the listing at `index`, or `never`.
std::int64_t time_of_next_ready(const std::vector<const Record*>& listings, std::size_t index) {
  for (std::size_t later = index + 1; later < listings.size(); ++later) {
    if (listings[later]->state == listed_state::ready) return listings[later]->time_ns;
  }
  return never;
}

/// Checks all rules. run() may be called once; `parameters` must outlive the object.
class Checker {
 public:
  Checker(const DayParameters& parameters, std::vector<Record> records)
      : parameters_(parameters),
        trace_(build_trace(std::move(records))),
        skew_(nanoseconds(parameters.max_observation_skew_s)) {}

  Verdict run() {
    for (const auto& [id, attempt] : trace_.attempts) {
      if (!attempt.was_sent()) continue;  // reported by check_unknown_attempts()
      check_final_answer(id, attempt);
      check_resends(id, attempt);
      check_retry_advice(id, attempt);
      check_placement(id, attempt);
    }
    check_request_effects();
    check_unknown_attempts();
    check_drains();
    check_slow_starts();
    check_key_order();
    check_retry_budgets();
    verdict_.requests = trace_.attempts_of_request.size();
    verdict_.client_attempts = trace_.attempts.size();
    verdict_.engine_attempts = trace_.engine_attempts;
    verdict_.answers = std::move(trace_.answers);
    return std::move(verdict_);
  }

 private:
  void report(Rule rule, const std::string& description, const ClientAttempt* attempt = nullptr) {
    if (++verdict_.by_rule[rule] > max_reported_per_rule) return;
    RuleViolation violation{rule, description, {}};
    if (attempt != nullptr) violation.history = history_of(*attempt);
    verdict_.violations.push_back(std::move(violation));
  }

  [[nodiscard]] std::vector<std::string> history_of(const ClientAttempt& attempt) const {
    std::vector<std::string> lines;
    for (const Record* record : attempt.history) {
      std::ostringstream line;
      line << static_cast<double>(record->time_ns - trace_.start_ns()) * 1e-9 << " s "
           << (record->engine.empty() ? record->manager : record->engine) << " " << record->event << " "
           << record->kind;
      lines.push_back(line.str());
    }
    return lines;
  }

  [[nodiscard]] const ClassParameters& class_of(const ClientAttempt& attempt) const {
    static const ClassParameters unknown;
    const auto found = parameters_.classes.find(attempt.request.class_name);
    return found == parameters_.classes.end() ? unknown : found->second;
  }

  [[nodiscard]] static bool is_idempotent(const ClassParameters& parameters) {
    return parameters.idempotent || parameters.idempotent_with_key;
  }

  // ---- Rule 1 ----

  void check_final_answer(const std::string& id, const ClientAttempt& attempt) {
    const std::int64_t deadline =
        attempt.request.time_ns + nanoseconds(attempt.request.client_timeout_ms / 1000 + parameters_.slack_s);
    if (attempt.surplus_messages > 0)
      report(one_final_answer, id + ": a message after its final answer", &attempt);
    if (attempt.answers > 1)
      report(one_final_answer, id + ": " + std::to_string(attempt.answers) + " final answers", &attempt);
    if (!attempt.answer || is_missing(*attempt.answer)) {
      if (!is_excused(attempt, deadline)) report(one_final_answer, id + ": no final answer", &attempt);
      return;
    }
    if (attempt.answer->kind == answer_kind::disconnected || attempt.answer->time_ns <= deadline) return;
    std::ostringstream text;
    text << id << ": answered " << static_cast<double>(attempt.answer->time_ns - deadline) * 1e-6
         << " ms too late";
    report(one_final_answer, text.str(), &attempt);
  }

  // A missing answer is no violation if the manager was killed, or if it shut down while the request was on
  // its way and no engine received the request.
  [[nodiscard]] bool is_excused(const ClientAttempt& attempt, std::int64_t deadline) const {
    const std::string& manager = attempt.request.manager;
    const std::int64_t sent = attempt.request.time_ns;
    if (attempt.runs.empty() && ended_near(trace_.shut_down, manager, sent, sent)) return true;
    const std::int64_t end = attempt.answer ? attempt.answer->time_ns : deadline;
    return ended_near(trace_.killed, manager, sent, end);
  }

  // ---- Rule 2 ----

  void check_resends(const std::string& id, const ClientAttempt& attempt) {
    const ClassParameters& parameters = class_of(attempt);
    for (std::size_t i = 0; i + 1 < attempt.runs.size(); ++i) {
      const EngineRun& run = attempt.runs[i];
      const EngineRun& next = attempt.runs[i + 1];
      if (run.ended_ns == never || run.ended_ns > next.received_ns + skew_)
        report(no_repeated_effect, id + ": two attempts in flight at once", &attempt);
      if (parameters.idempotent || !run.was_started) continue;
      if (!parameters.idempotent_with_key)
        report(no_repeated_effect, id + ": not idempotent, retried after it had started", &attempt);
      const std::int64_t idempotency_window_end =
          attempt.runs[0].received_ns + nanoseconds(parameters.idempotency_window_s);
      if (parameters.idempotent_with_key && next.received_ns > idempotency_window_end)
        report(no_repeated_effect, id + ": retried after its idempotency window", &attempt);
    }
  }

  // A client retries a query that is reported as safe to retry, so a query that is not idempotent must not
  // have been started.
  void check_retry_advice(const std::string& id, const ClientAttempt& attempt) {
    if (is_idempotent(class_of(attempt)) || !attempt.answer) return;
    const Record& answer = *attempt.answer;
    const bool was_started = std::any_of(attempt.runs.begin(), attempt.runs.end(),
                                         [](const EngineRun& run) { return run.was_started; });
    const bool invites_retry = answer.kind == answer_kind::rejected || answer.is_retry_safe;
    if (!was_started || !invites_retry || answer.kind == answer_kind::served) return;
    report(no_repeated_effect, id + ": not idempotent, reported as safe to retry after it had started",
           &attempt);
  }

  [[nodiscard]] static std::size_t applied_runs(const ClientAttempt& attempt) {
    return static_cast<std::size_t>(std::count_if(attempt.runs.begin(), attempt.runs.end(),
                                                  [](const EngineRun& run) { return run.was_applied; }));
  }

  void check_request_effects() {
    for (const auto& [request, ids] : trace_.attempts_of_request) {
      std::size_t applied = 0;
      for (const std::string& id : ids) applied += applied_runs(trace_.attempts.at(id));
      if (applied <= 1 || is_idempotent(class_of(trace_.attempts.at(ids.front())))) continue;
      report(no_repeated_effect,
             "request " + std::to_string(request) + ": not idempotent, applied " + std::to_string(applied) +
                 " times",
             &trace_.attempts.at(ids.back()));
    }
  }

  void check_unknown_attempts() {
    for (const auto& [id, attempt] : trace_.attempts) {
      if (!attempt.was_sent() && !attempt.runs.empty())
        report(no_repeated_effect, id + ": executed, but not sent by any client", &attempt);
    }
  }

  // ---- Rule 6 ----

  void check_placement(const std::string& id, const ClientAttempt& attempt) {
    const std::vector<std::string>& zones = class_of(attempt).zones;
    if (zones.empty()) return;
    for (const EngineRun& run : attempt.runs) {
      const auto zone = parameters_.engine_zones.find(run.engine);
      const bool is_allowed = zone != parameters_.engine_zones.end() &&
                              std::find(zones.begin(), zones.end(), zone->second) != zones.end();
      if (!is_allowed) report(placement, id + ": sent to " + run.engine + ", outside its zones", &attempt);
    }
  }

  // ---- Rule 3 ----

  void check_drains() {
    for (const auto& [engine, listings] : trace_.listings) {
      for (std::size_t i = 0; i < listings.size(); ++i) {
        const bool was_ready = i == 0 || listings[i - 1]->state == listed_state::ready;
        if (listings[i]->state != listed_state::ready && was_ready)
          check_drain(engine, listings[i]->time_ns, time_of_next_ready(listings, i));
      }
    }
  }

  void check_drain(const std::string& engine, std::int64_t begin, std::int64_t end) {
    const std::int64_t grace_end =
        begin + nanoseconds(parameters_.drain_grace_s + parameters_.list_poll_s + parameters_.slack_s);
    for (const auto& [id, attempt] : trace_.attempts) {
      for (const EngineRun& run : attempt.runs) {
        if (run.engine == engine && run.received_ns > grace_end && run.received_ns < end)
          report_send_after_drain(id, engine, attempt);
      }
    }
  }

  void report_send_after_drain(const std::string& id, const std::string& engine,
                               const ClientAttempt& attempt) {
    report(drain, id + ": sent to " + engine + " after its drain grace period", &attempt);
  }

  // ---- Rule 4 ----

  // Reports only the first crash of each engine, because later ones may be its consequence.
  void check_slow_starts() {
    std::set<std::string> reported;
    for (const Record* crash : trace_.crashes) {
      if (reported.insert(crash->engine).second) {
        report(slow_start, crash->engine + " crashed during its slow start",
               &trace_.attempts.at(crash->attempt_id));
      }
    }
  }

  // ---- Rule 5 ----

  using OrderedAttempt = std::pair<std::string, const ClientAttempt*>;  // id and attempt

  void check_key_order() {
    std::map<std::pair<std::string, std::string>, std::vector<OrderedAttempt>>
        sequences;  // by manager and key
    for (const auto& [id, attempt] : trace_.attempts) {
      const Record& request = attempt.request;
      if (class_of(attempt).ordered_by_key && !request.key.empty())
        sequences[{request.manager, request.key}].emplace_back(id, &attempt);
    }
    for (auto& [manager_and_key, sequence] : sequences) {
      std::sort(sequence.begin(), sequence.end(),
                [](const OrderedAttempt& first, const OrderedAttempt& second) {
                  return first.second->request.time_ns < second.second->request.time_ns;
                });
      for (std::size_t i = 0; i < sequence.size(); ++i) {
        for (std::size_t later = i + 1; later < sequence.size(); ++later)
          check_order(sequence[i], sequence[later]);
      }
    }
  }

  void check_order(const OrderedAttempt& first, const OrderedAttempt& second) {
    const ClientAttempt& earlier = *first.second;
    const ClientAttempt& later = *second.second;
    if (later.runs.empty()) return;
    const std::int64_t later_received = later.runs[0].received_ns;
    // A manager that was killed and restarted does not know which queries it sent before.
    if (ended_near(trace_.killed, later.request.manager, earlier.request.time_ns, later_received)) return;
    const std::string& key = later.request.key;
    for (std::size_t count = overlaps(earlier, later); count > 0; --count)
      report_concurrent_runs(first, second);
    const bool is_clearly_first = earlier.request.time_ns + skew_ < later.request.time_ns;
    const bool is_still_open = !earlier.answer || earlier.answer->time_ns > later_received + skew_;
    const bool is_overtaken = earlier.runs.empty() || earlier.runs[0].received_ns > later_received;
    if (is_clearly_first && is_still_open && is_overtaken)
      report(key_order, second.first + " of key " + key + " overtook " + first.first, &later);
  }

  void report_concurrent_runs(const OrderedAttempt& first, const OrderedAttempt& second) {
    const std::string& key = second.second->request.key;
    report(key_order, first.first + " and " + second.first + " of key " + key + " ran concurrently",
           second.second);
  }

  /// Counts the pairs of overlapping runs of the two attempts.
  [[nodiscard]] std::size_t overlaps(const ClientAttempt& earlier, const ClientAttempt& later) const {
    std::size_t count = 0;
    for (const EngineRun& run : earlier.runs) {
      count += static_cast<std::size_t>(std::count_if(
          later.runs.begin(), later.runs.end(), [&](const EngineRun& other) { return overlap(run, other); }));
    }
    return count;
  }

  [[nodiscard]] bool overlap(const EngineRun& run, const EngineRun& other) const {
    if (run.received_ns < other.received_ns) return run.ended_ns > other.received_ns + skew_;
    return other.ended_ns > run.received_ns + skew_;
  }

  // ---- Rule 7 ----

  void check_retry_budgets() {
    if (parameters_.budget_window_s <= 0) return;
    TimesByManager requests;
    for (const auto& [id, attempt] : trace_.attempts) {
      if (attempt.was_sent()) requests[attempt.request.manager].push_back(attempt.request.time_ns);
    }
    for (auto& [manager, times] : requests) std::sort(times.begin(), times.end());
    for (auto& [manager, times] : trace_.retries) {
      std::sort(times.begin(), times.end());
      check_retry_budget(manager, times, requests[manager]);
    }
  }

  /// Both lists hold the times of one manager and are sorted. Reports only the first excess.
  void check_retry_budget(const std::string& manager, const std::vector<std::int64_t>& retries,
                          const std::vector<std::int64_t>& requests) {
    for (std::size_t i = 0; i < retries.size(); ++i) {
      const std::int64_t window_end = retries[i];
      const std::int64_t window_begin = window_end - nanoseconds(parameters_.budget_window_s);
      const auto first_retry = std::lower_bound(retries.begin(), retries.end(), window_begin);
      const auto first_request = std::lower_bound(requests.begin(), requests.end(), window_begin - skew_);
      const auto last_request = std::upper_bound(requests.begin(), requests.end(), window_end + skew_);
      const auto retry_count = static_cast<std::ptrdiff_t>(i) + 1 - (first_retry - retries.begin());
      const auto request_count = last_request - first_request;
      const double budget = parameters_.budget_floor +
                            parameters_.budget_share * static_cast<double>(request_count) +
                            budget_rounding_tolerance;
      if (static_cast<double>(retry_count) <= budget) continue;
      report(retry_budget, manager + ": " + std::to_string(retry_count) + " retries for " +
                               std::to_string(request_count) + " requests in the budget window");
      return;
    }
  }

  const DayParameters& parameters_;
  Trace trace_;
  std::int64_t skew_;
  Verdict verdict_;
};

}  // namespace

Verdict check(const DayParameters& parameters, std::vector<Record> records) {
  return Checker(parameters, std::move(records)).run();
}

}  // namespace paddlestand::trace_checker

#include "trace.hpp"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

#include "log_words.hpp"

namespace paddlestand::trace_checker {
namespace {

bool ends_run(std::string_view event) {
  return event == log_event::query_answered || event == log_event::query_cancelled ||
         event == log_event::connection_closed || event == log_event::query_failed ||
         event == log_event::query_rejected || event == log_event::engine_crashed;
}

/// Processes the records in order of time. build() may be called once.
class TraceBuilder {
 public:
  explicit TraceBuilder(std::vector<Record> records) {
    trace_.records = std::move(records);
    std::stable_sort(
        trace_.records.begin(), trace_.records.end(),
        [](const Record& first, const Record& second) { return first.time_ns < second.time_ns; });
  }

  Trace build() {
    for (const Record& record : trace_.records) {
      add_event(record);
      if (!record.attempt_id.empty()) add_to_attempt(record, trace_.attempts[record.attempt_id]);
    }
    return std::move(trace_);
  }

 private:
  void add_event(const Record& record) {
    if (record.event == log_event::engine_listed) trace_.listings[record.engine].push_back(&record);
    if (record.event == log_event::manager_killed) trace_.killed[record.manager].push_back(record.time_ns);
    if (record.event == log_event::manager_shut_down)
      trace_.shut_down[record.manager].push_back(record.time_ns);
    if (record.event == log_event::engine_exited || record.event == log_event::engine_started)
      end_all_runs(record.engine, record.time_ns);
  }

  void add_to_attempt(const Record& record, ClientAttempt& attempt) {
    attempt.history.push_back(&record);
    if (record.event == log_event::request_sent) {
      attempt.request = record;
      trace_.attempts_of_request[record.request_number].push_back(record.attempt_id);
    } else if (record.event == log_event::answer_received) {
      attempt.answer = record;
      ++attempt.answers;
      ++trace_.answers[attempt.request.class_name][record.kind];
    } else if (record.event == log_event::surplus_message) {
      ++attempt.surplus_messages;
    } else if (record.event == log_event::query_received) {
      begin_run(record, attempt);
    } else if (record.event == log_event::query_started || record.event == log_event::query_applied) {
      if (EngineRun* run = find_last_run(record.attempt_id, record.engine)) {
        run->was_started = true;
        run->was_applied = run->was_applied || record.event == log_event::query_applied;
      }
    } else if (ends_run(record.event)) {
      end_run(record.attempt_id, record.engine, record.time_ns);
      running_attempts_[record.engine].erase(record.attempt_id);
      if (record.event == log_event::engine_crashed) trace_.crashes.push_back(&record);
    }
  }

  void begin_run(const Record& record, ClientAttempt& attempt) {
    attempt.runs.push_back({record.engine, record.time_ns, never, false, false});
    last_run_index_[{record.engine, record.attempt_id}] = attempt.runs.size() - 1;
    running_attempts_[record.engine].insert(record.attempt_id);
    ++trace_.engine_attempts;
    if (attempt.runs.size() > 1) trace_.retries[attempt.request.manager].push_back(record.time_ns);
  }

  void end_run(const std::string& id, const std::string& engine, std::int64_t time) {
    if (EngineRun* run = find_last_run(id, engine)) run->ended_ns = std::min(run->ended_ns, time);
  }

  void end_all_runs(const std::string& engine, std::int64_t time) {
    for (const std::string& id : running_attempts_[engine]) end_run(id, engine, time);
    running_attempts_[engine].clear();
  }

  /// Returns the last run of the attempt on the engine, or null if there is none.
  EngineRun* find_last_run(const std::string& id, const std::string& engine) {
    const auto found = last_run_index_.find({engine, id});
    if (found == last_run_index_.end()) return nullptr;
    return &trace_.attempts[id].runs[found->second];
  }

  Trace trace_;
  std::map<std::pair<std::string, std::string>, std::size_t>
      last_run_index_;  // index into ClientAttempt::runs, by engine and attempt
  std::map<std::string, std::set<std::string>> running_attempts_;  // ids, by engine
};

}  // namespace

Trace build_trace(std::vector<Record> records) { return TraceBuilder(std::move(records)).build(); }

}  // namespace paddlestand::trace_checker

#include "trace.hpp"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

#include "log_words.hpp"

namespace paddlestand::trace_checker {
namespace {

bool ends_run(std::string_view what) {
  return what == log_event::query_answered || what == log_event::query_cancelled ||
         what == log_event::connection_closed || what == log_event::query_failed ||
         what == log_event::query_rejected || what == log_event::engine_crashed;
}

/// Puts the records together in order of time. Used once.
class TraceBuilder {
 public:
  explicit TraceBuilder(std::vector<Record> records) {
    trace_.records = std::move(records);
    std::stable_sort(trace_.records.begin(), trace_.records.end(),
                     [](const Record& first, const Record& second) { return first.t < second.t; });
  }

  Trace build() {
    for (const Record& record : trace_.records) {
      add_event(record);
      if (!record.id.empty()) add_to_attempt(record, trace_.attempts[record.id]);
    }
    return std::move(trace_);
  }

 private:
  void add_event(const Record& record) {
    if (record.what == log_event::engine_listed) trace_.listings[record.engine].push_back(&record);
    if (record.what == log_event::manager_killed) trace_.killed[record.manager].push_back(record.t);
    if (record.what == log_event::manager_shut_down) trace_.shut_down[record.manager].push_back(record.t);
    if (record.what == log_event::engine_exited || record.what == log_event::engine_started)
      end_all_runs(record.engine, record.t);
  }

  void add_to_attempt(const Record& record, ClientAttempt& attempt) {
    attempt.history.push_back(&record);
    if (record.what == log_event::request_sent) {
      attempt.request = record;
      trace_.attempts_of_request[record.request].push_back(record.id);
    } else if (record.what == log_event::answer_received) {
      attempt.answer = record;
      ++attempt.answers;
      ++trace_.answers[attempt.request.class_name][record.kind];
    } else if (record.what == log_event::surplus_message) {
      ++attempt.surplus_messages;
    } else if (record.what == log_event::query_received) {
      begin_run(record, attempt);
    } else if (record.what == log_event::query_started || record.what == log_event::query_applied) {
      if (EngineRun* run = find_run(record.id, record.engine)) {
        run->was_started = true;
        run->was_applied = run->was_applied || record.what == log_event::query_applied;
      }
    } else if (ends_run(record.what)) {
      end_run(record.id, record.engine, record.t);
      running_[record.engine].erase(record.id);
      if (record.what == log_event::engine_crashed) trace_.crashes.push_back(&record);
    }
  }

  void begin_run(const Record& record, ClientAttempt& attempt) {
    attempt.runs.push_back({record.engine, record.t, never, false, false});
    last_run_[{record.engine, record.id}] = attempt.runs.size() - 1;
    running_[record.engine].insert(record.id);
    ++trace_.engine_attempts;
    if (attempt.runs.size() > 1) trace_.retries[attempt.request.manager].push_back(record.t);
  }

  void end_run(const std::string& id, const std::string& engine, std::int64_t time) {
    if (EngineRun* run = find_run(id, engine)) run->ended = std::min(run->ended, time);
  }

  void end_all_runs(const std::string& engine, std::int64_t time) {
    for (const std::string& id : running_[engine]) end_run(id, engine, time);
    running_[engine].clear();
  }

  /// The last one of the attempt at that engine; null where there is none.
  EngineRun* find_run(const std::string& id, const std::string& engine) {
    const auto found = last_run_.find({engine, id});
    if (found == last_run_.end()) return nullptr;
    return &trace_.attempts[id].runs[found->second];
  }

  Trace trace_;
  std::map<std::pair<std::string, std::string>, std::size_t> last_run_;  // by engine and attempt: its index
  std::map<std::string, std::set<std::string>> running_;  // by engine
};

}  // namespace

Trace build_trace(std::vector<Record> records) { return TraceBuilder(std::move(records)).build(); }

}  // namespace paddlestand::trace_checker

// Feeds scripted events to a WorkloadManager and records its actions.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "paddlestand/workload_manager.hpp"

namespace paddlestand::test {

using namespace std::chrono_literals;

// Settings with two classes, one kind of engine and one manager.
inline Settings small_deployment() {
  Settings settings;
  settings.instances = 1;
  settings.clock_step = 5ms;
  ClassSettings quick;
  quick.name = "quick";
  quick.latency_objective = 1s;
  quick.objective_per_run_time = 2;
  quick.deadline = 5s;
  quick.priority_weight = 1;
  quick.threads = 1;
  ClassSettings heavy = quick;
  heavy.name = "heavy";
  heavy.latency_objective = 3s;
  heavy.deadline = 15s;
  heavy.priority_weight = 6;
  heavy.late_answer_weight = 0.4;
  heavy.threads = 2;
  settings.classes = {quick, heavy};
  settings.kinds = {{8, 16384}};
  settings.answers_report_cost = true;
  settings.max_grant_share = 0.4;
  settings.may_cancel = true;
  settings.may_probe = true;
  settings.max_attempts = 3;
  settings.answer_slack = 20ms;
  settings.drain_grace = 500ms;
  settings.slow_start_capacity_share = 0.3;
  settings.slow_start_duration = 15s;
  settings.overload_multiple = 2.5;
  settings.overload_window = 1500ms;
  return settings;
}

class ManagerHarness {
 public:
  explicit ManagerHarness(Settings settings) : manager_(std::move(settings)) {}

  void handle(const Event& event) {
    std::vector<Action> actions;
    manager_.handle(now_, event, actions);
    for (Action& action : actions) {
      if (const auto* timer = std::get_if<SetTimer>(&action))
        timers_.emplace(now_ + timer->after, timer->token);
      if (const auto* send = std::get_if<Send>(&action)) ++attempts_[send->request];
      log_.emplace_back(now_, std::move(action));
    }
  }

  // Advances the clock and fires the timers that expire.
  void advance(Duration by) {
    const TimePoint until = now_ + by;
    while (!timers_.empty() && timers_.begin()->first <= until) {
      const auto timer = *timers_.begin();
      timers_.erase(timers_.begin());
      now_ = std::max(now_, timer.first);
      handle(TimerFired{timer.second});
    }
    now_ = until;
  }

  void fleet(std::vector<EngineEntry> engines, EndpointUpdate scope = EndpointUpdate::cached) {
    handle(EndpointsChanged{scope, engines});
  }

  void request(RequestId id, std::uint32_t class_index = 0, Duration cost = 100ms, std::uint64_t key = 0,
               Duration client_timeout = 5s) {
    handle(RequestArrived{id, class_index, 0, key, client_timeout, cost, 10, static_cast<double>(id), false});
  }

  // Ends the latest attempt of a request with `result`.
  void end(RequestId id, AttemptResult result, Duration work = 100ms) {
    AttemptEnded event;
    event.request = id;
    event.attempt = attempts_.at(id) - 1;
    event.engine = engine_of(id);
    event.result = result;
    event.elapsed = work;
    event.request_over = result == AttemptResult::served;
    if (result == AttemptResult::served) event.work = work;
    handle(event);
  }

  [[nodiscard]] EngineId engine_of(RequestId id) const {
    EngineId engine = 0;
    for (const auto& [at, action] : log_) {
      if (const auto* send = std::get_if<Send>(&action); send != nullptr && send->request == id) {
        engine = send->engine;
      }
    }
    return engine;
  }

  template <typename T>
  [[nodiscard]] int count(RequestId id) const {
    int count = 0;
    for (const auto& [at, action] : log_) {
      if (const auto* item = std::get_if<T>(&action); item != nullptr && item->request == id) ++count;
    }
    return count;
  }
  [[nodiscard]] int sends(RequestId id) const { return count<Send>(id); }
  [[nodiscard]] int sends_to(EngineId engine) const {
    int count = 0;
    for (const auto& [at, action] : log_) {
      if (const auto* send = std::get_if<Send>(&action); send != nullptr && send->engine == engine) ++count;
    }
    return count;
  }
  [[nodiscard]] bool logged(const std::string& text) const {
    for (const auto& [at, action] : log_) {
      if (const auto* line = std::get_if<Log>(&action);
          line != nullptr && line->text.find(text) != line->text.npos) {
        return true;
      }
    }
    return false;
  }

  [[nodiscard]] TimePoint now() const { return now_; }
  [[nodiscard]] const std::vector<std::pair<TimePoint, Action>>& log() const { return log_; }

 private:
  WorkloadManager manager_;
  TimePoint now_{1h};
  std::multimap<TimePoint, std::uint32_t> timers_;
  std::map<RequestId, std::uint32_t> attempts_;
  std::vector<std::pair<TimePoint, Action>> log_;
};

inline EngineEntry engine(EngineId id, EngineState state = EngineState::ready, TimePoint started = 0s) {
  return {id, state, 0, 0, 0, 1.0, started};
}

}  // namespace paddlestand::test

// Drives a QueryCoordinator with scripted events, checks its ledger after each, and keeps what it did.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "core/query_coordinator.hpp"

namespace paddlestand::core::test {

using namespace std::chrono_literals;

inline CoreSettings small_core() {
  CoreSettings s;
  s.module.instances = 1;
  s.module.clock_step = 5ms;
  ClassSettings safe;
  safe.name = "lookup";
  safe.latency_objective = 1s;
  safe.objective_per_run_time = 2;
  safe.deadline = 5s;
  safe.priority_weight = 1;
  safe.late_answer_weight = 0.5;
  safe.threads = 1;
  ClassSettings keyed = safe;
  keyed.name = "load";
  keyed.repeat = Idempotency::idempotent_with_key;
  keyed.idempotency_window = 20s;
  keyed.ordered_by_key = true;
  ClassSettings once = safe;
  once.name = "settle";
  once.repeat = Idempotency::non_idempotent;
  s.module.classes = {safe, keyed, once};
  s.module.kinds = {{8, 16384}};
  s.module.may_cancel = true;
  s.module.may_probe = true;
  s.module.may_advise_retry = true;
  s.module.max_retry_after = 500ms;
  s.module.max_attempts = 3;
  s.module.answer_slack = 20ms;
  s.module.drain_grace = 250ms;
  s.module.slow_start_capacity_share = 0.3;
  s.module.overload_multiple = 4;
  s.module.overload_window = 1500ms;
  s.channels_per_engine = 4;
  s.idle_channels_per_engine = 2;
  s.idle_channel_lifetime = 30s;
  s.connect_timeout = 300ms;
  s.probe_timeout = 300ms;
  s.cancel_grace = 400ms;
  s.answer_buffer = 1000;
  s.client_window = 4000;
  s.buffers_in_total = 100000;
  return s;
}

inline EngineEntry entry(EngineId id, EngineState state = EngineState::ready, TimePoint started = 0s) {
  return {id, state, 0, 0, 0, 1.0, started};
}

// Counts what is kept: the entries of all tables, the module's included.
class Entries : public StateVisitor {
 public:
  void clock(double&) override {}
  void number(double&) override {}
  void whole(std::uint64_t&) override {}
  void since(double&) override {}
  void until(double&) override {}
  void name(Name, std::uint64_t&) override {}
  void generator(std::mt19937_64&) override {}
  std::size_t table(std::size_t entries, bool) override {
    all += entries;
    return entries;
  }
  void entry() override {}
  void end() override {}

  std::size_t all = 0;
};

class CoordinatorHarness {
 public:
  explicit CoordinatorHarness(CoreSettings settings = small_core()) : coordinator_(std::move(settings)) {}

  std::vector<HostAction> handle(const CoreEvent& event) {
    std::vector<HostAction> effects;
    coordinator_.handle(now_, event, effects);
    coordinator_.check();
    for (const HostAction& action : effects) {
      if (const auto* open = std::get_if<OpenChannel>(&action)) channels_[open->channel] = *open;
      if (const auto* send = std::get_if<SendQuery>(&action)) sent_[send->query] = send->channel;
      log_.push_back(action);
    }
    return effects;
  }

  // Lets time pass, in the steps at which something falls due.
  void advance(Duration by) {
    const TimePoint until = now_ + by;
    for (auto due = coordinator_.due(); due && *due <= until; due = coordinator_.due()) {
      now_ = std::max(now_, *due);
      handle(TimerExpired{});
    }
    now_ = until;
  }

  void fleet(std::vector<EngineEntry> entries, EndpointUpdate scope = EndpointUpdate::full) {
    handle(EndpointsUpdated{scope, std::move(entries)});
  }
  void ask(QueryId id, std::uint32_t cls = 0, std::uint64_t key = 0, Duration client_timeout = 5s) {
    handle(SessionOpened{id});
    ask_again(id, id, cls, key, client_timeout);
  }
  void ask_again(SessionId session, QueryId id, std::uint32_t cls = 0, std::uint64_t key = 0,
                 Duration client_timeout = 5s) {
    handle(QueryArrived{session, id, cls, 0, key, client_timeout, 20ms, 0, 0, false});
  }
  // Brings up every channel that is opening to this engine, or to all.
  void bring_up(EngineId engine = 0) {
    const auto channels = channels_;
    for (const auto& [id, open] : channels) {
      if (engine != 0 && open.engine != engine) continue;
      channels_.erase(id);
      handle(ChannelOpened{id});
    }
  }
  // Brings up what is opening and hands the query over.
  ChannelId run(QueryId id) {
    bring_up();
    const ChannelId channel = channel_of(id);
    handle(QuerySent{channel});
    return channel;
  }
  [[nodiscard]] ChannelId channel_of(QueryId id) const { return sent_.at(id); }
  [[nodiscard]] bool was_sent(QueryId id) const { return sent_.contains(id); }

  void finish(ChannelId channel, Ending ending = Ending::complete, std::size_t bytes = 10) {
    handle(AnswerEnd{channel, ending, bytes, true, 10ms, 1.0, {}});
  }

  template <typename T>
  [[nodiscard]] std::vector<T> all() const {
    std::vector<T> found;
    for (const HostAction& action : log_)
      if (const auto* one = std::get_if<T>(&action)) found.push_back(*one);
    return found;
  }
  [[nodiscard]] std::vector<Answer> answers(QueryId id) const {
    auto found = all<Answer>();
    std::erase_if(found, [&](const Answer& a) { return a.query != id; });
    return found;
  }
  [[nodiscard]] std::size_t sends(QueryId id) const {
    const auto found = all<SendQuery>();
    return static_cast<std::size_t>(
        std::count_if(found.begin(), found.end(), [&](const SendQuery& s) { return s.query == id; }));
  }
  [[nodiscard]] std::size_t delivered(SessionId session) const {
    std::size_t bytes = 0;
    for (const Deliver& d : all<Deliver>()) bytes += d.session == session ? d.bytes : 0;
    return bytes;
  }
  template <typename T>
  [[nodiscard]] bool did(ChannelId channel) const {
    for (const T& action : all<T>())
      if (action.channel == channel) return true;
    return false;
  }

  [[nodiscard]] TimePoint now() const { return now_; }
  [[nodiscard]] Counts counts() const { return coordinator_.counts(); }
  [[nodiscard]] const std::vector<HostAction>& log() const { return log_; }

 private:
  QueryCoordinator coordinator_;
  TimePoint now_{1h};
  std::map<ChannelId, OpenChannel> channels_;
  std::map<QueryId, ChannelId> sent_;
  std::vector<HostAction> log_;
};

}  // namespace paddlestand::core::test

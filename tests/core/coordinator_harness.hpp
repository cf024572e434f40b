/// Drives a QueryCoordinator with scripted events, checks its consistency after each, and records its
/// actions.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "core/query_coordinator.hpp"
#include "simulation/explorer/model_settings.hpp"

namespace paddlestand::core::test {

using namespace std::chrono_literals;

/// The classes of small_core(): 0 is idempotent, 1 idempotent with a key and ordered, 2 not idempotent.
inline std::vector<ClassSettings> small_core_classes() {
  ClassSettings lookup = explorer::model_class_settings("lookup");
  lookup.latency_objective = 1s;
  lookup.objective_per_run_time = 2;
  lookup.deadline = 5s;
  ClassSettings load = lookup;
  load.name = "load";
  load.idempotency = Idempotency::idempotent_with_key;
  load.idempotency_window = 20s;
  load.ordered_by_key = true;
  ClassSettings settle = lookup;
  settle.name = "settle";
  settle.idempotency = Idempotency::non_idempotent;
  return {lookup, load, settle};
}

/// Settings for a small manager.
inline CoreSettings small_core() {
  CoreSettings settings;
  settings.module = explorer::model_module_settings();
  settings.module.classes = small_core_classes();
  settings.module.kinds = {{8, 16384}};
  settings.module.drain_grace = 250ms;
  settings.module.overload_window = 1500ms;
  settings.channels_per_engine = 4;
  settings.idle_channels_per_engine = 2;
  settings.idle_channel_lifetime = 30s;
  settings.connect_timeout = 300ms;
  settings.probe_timeout = 300ms;
  settings.cancel_grace = 400ms;
  settings.answer_buffer = 1000;
  settings.client_window = 4000;
  settings.buffers_in_total = 100000;
  return settings;
}

inline EngineEntry entry(EngineId id, EngineState state = EngineState::ready, TimePoint started = 0s) {
  return {id, state, 0, 0, 0, 1.0, started};
}

/// Counts the entries of all visited tables, including the module's.
class EntryCounter : public StateVisitor {
 public:
  void clock(double&) override {}
  void number(double&) override {}
  void integer(std::uint64_t&) override {}
  void since(double&) override {}
  void until(double&) override {}
  void name(Name, std::uint64_t&) override {}
  void generator(std::mt19937_64&) override {}
  std::size_t table(std::size_t entries, bool) override {
    total += entries;
    return entries;
  }
  void entry() override {}
  void end() override {}

  std::size_t total = 0;
};

class CoordinatorHarness {
 public:
  explicit CoordinatorHarness(CoreSettings settings = small_core()) : coordinator_(std::move(settings)) {}

  std::vector<HostAction> handle(const CoreEvent& event) {
    std::vector<HostAction> actions;
    coordinator_.handle(now_, event, actions);
    coordinator_.check();
    for (const HostAction& action : actions) {
      if (const auto* open = std::get_if<OpenChannel>(&action)) channels_[open->channel] = *open;
      if (const auto* send = std::get_if<SendQuery>(&action)) sent_[send->query] = send->channel;
      actions_.push_back(action);
    }
    return actions;
  }

  /// Advances the clock and fires each timer at its due time.
  void advance(Duration by) {
    const TimePoint until = now_ + by;
    for (auto due = coordinator_.due(); due && *due <= until; due = coordinator_.due()) {
      now_ = std::max(now_, *due);
      handle(TimerExpired{});
    }
    now_ = until;
  }

  void set_endpoints(std::vector<EngineEntry> entries, EndpointUpdate scope = EndpointUpdate::full) {
    handle(EndpointsUpdated{scope, std::move(entries)});
  }
  void submit(QueryId id, std::uint32_t class_index = 0, std::uint64_t key = 0,
              Duration client_timeout = 5s) {
    handle(SessionOpened{id});
    submit_on(id, id, class_index, key, client_timeout);
  }
  void submit_on(SessionId session, QueryId id, std::uint32_t class_index = 0, std::uint64_t key = 0,
                 Duration client_timeout = 5s) {
    handle(QueryArrived{session, id, class_index, 0, key, client_timeout, 20ms, 0, 0, false});
  }
  /// Reports all opening channels to this engine as open; zero: to any engine.
  void open_channels(EngineId engine = 0) {
    const auto channels = channels_;
    for (const auto& [id, open] : channels) {
      if (engine != 0 && open.engine != engine) continue;
      channels_.erase(id);
      handle(ChannelOpened{id});
    }
  }
  /// Reports all opening channels as open and the query as sent. Returns its channel.
  ChannelId start(QueryId id) {
    open_channels();
    const ChannelId channel = channel_of(id);
    handle(QuerySent{channel});
    return channel;
  }
  [[nodiscard]] ChannelId channel_of(QueryId id) const { return sent_.at(id); }
  [[nodiscard]] bool was_sent(QueryId id) const { return sent_.contains(id); }

  void end_answer(ChannelId channel, Ending ending = Ending::complete, std::size_t bytes = 10) {
    handle(AnswerEnd{channel, ending, bytes, true, 10ms, 1.0, {}});
  }

  template <typename T>
  [[nodiscard]] std::vector<T> actions() const {
    std::vector<T> found;
    for (const HostAction& action : actions_)
      if (const auto* one = std::get_if<T>(&action)) found.push_back(*one);
    return found;
  }
  [[nodiscard]] std::vector<Answer> answers(QueryId id) const {
    auto found = actions<Answer>();
    std::erase_if(found, [&](const Answer& a) { return a.query != id; });
    return found;
  }
  [[nodiscard]] std::size_t sends(QueryId id) const {
    const auto found = actions<SendQuery>();
    return static_cast<std::size_t>(
        std::count_if(found.begin(), found.end(), [&](const SendQuery& s) { return s.query == id; }));
  }
  [[nodiscard]] std::size_t delivered(SessionId session) const {
    std::size_t bytes = 0;
    for (const Deliver& d : actions<Deliver>()) bytes += d.session == session ? d.bytes : 0;
    return bytes;
  }
  template <typename T>
  [[nodiscard]] bool emitted(ChannelId channel) const {
    for (const T& action : actions<T>())
      if (action.channel == channel) return true;
    return false;
  }

  [[nodiscard]] TimePoint now() const { return now_; }
  [[nodiscard]] Counts counts() const { return coordinator_.counts(); }
  [[nodiscard]] const std::vector<HostAction>& all_actions() const { return actions_; }

 private:
  QueryCoordinator coordinator_;
  TimePoint now_{1h};
  std::map<ChannelId, OpenChannel> channels_;
  std::map<QueryId, ChannelId> sent_;
  std::vector<HostAction> actions_;
};

}  // namespace paddlestand::core::test

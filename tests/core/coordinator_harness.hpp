// Drives a Conductor with scripted events, checks its ledger after each, and keeps what it did.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "core/conductor.hpp"

namespace paddlestand::core::test {

using namespace std::chrono_literals;

inline CoreSettings small_core() {
  CoreSettings s;
  s.module.instances = 1;
  s.module.clock_step = 5ms;
  ClassSettings safe;
  safe.name = "lookup";
  safe.aim = 1s;
  safe.aim_stretch = 2;
  safe.deadline = 5s;
  safe.worth = 1;
  safe.late_worth = 0.5;
  safe.threads = 1;
  ClassSettings keyed = safe;
  keyed.name = "load";
  keyed.repeat = Repeat::keyed;
  keyed.key_window = 20s;
  keyed.in_turn = true;
  ClassSettings once = safe;
  once.name = "settle";
  once.repeat = Repeat::unsafe;
  s.module.classes = {safe, keyed, once};
  s.module.kinds = {{8, 16384}};
  s.module.may_cancel = true;
  s.module.may_probe = true;
  s.module.may_advise_retry = true;
  s.module.longest_retry_advice = 500ms;
  s.module.most_attempts = 3;
  s.module.answer_slack = 20ms;
  s.module.drain_grace = 250ms;
  s.module.cold_share = 0.3;
  s.module.fall_multiple = 4;
  s.module.fall_window = 1500ms;
  s.links_per_engine = 4;
  s.idle_links_per_engine = 2;
  s.idle_link_life = 30s;
  s.connect_time_out = 300ms;
  s.probe_time_out = 300ms;
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

class CoreDesk {
 public:
  explicit CoreDesk(CoreSettings settings = small_core()) : conductor_(std::move(settings)) {}

  std::vector<Effect> handle(const CoreEvent& event) {
    std::vector<Effect> effects;
    conductor_.handle(now_, event, effects);
    conductor_.check();
    for (const Effect& effect : effects) {
      if (const auto* open = std::get_if<OpenLink>(&effect)) links_[open->link] = *open;
      if (const auto* send = std::get_if<SendQuery>(&effect)) sent_[send->query] = send->link;
      log_.push_back(effect);
    }
    return effects;
  }

  // Lets time pass, in the steps at which something falls due.
  void advance(Duration by) {
    const TimePoint until = now_ + by;
    for (auto due = conductor_.due(); due && *due <= until; due = conductor_.due()) {
      now_ = std::max(now_, *due);
      handle(TimeCame{});
    }
    now_ = until;
  }

  void fleet(std::vector<EngineEntry> entries, FleetScope scope = FleetScope::full) {
    handle(FleetTold{scope, std::move(entries)});
  }
  void ask(QueryId id, std::uint32_t cls = 0, std::uint64_t key = 0, Duration patience = 5s) {
    handle(SessionOpened{id});
    ask_again(id, id, cls, key, patience);
  }
  void ask_again(SessionId session, QueryId id, std::uint32_t cls = 0, std::uint64_t key = 0,
                 Duration patience = 5s) {
    handle(QueryArrived{session, id, cls, 0, key, patience, 20ms, 0, 0, false});
  }
  // Brings up every link that is opening to this engine, or to all.
  void bring_up(EngineId engine = 0) {
    const auto links = links_;
    for (const auto& [id, open] : links) {
      if (engine != 0 && open.engine != engine) continue;
      links_.erase(id);
      handle(LinkUp{id});
    }
  }
  // Brings up what is opening and hands the query over.
  LinkId run(QueryId id) {
    bring_up();
    const LinkId link = link_of(id);
    handle(QuerySent{link});
    return link;
  }
  [[nodiscard]] LinkId link_of(QueryId id) const { return sent_.at(id); }
  [[nodiscard]] bool was_sent(QueryId id) const { return sent_.contains(id); }

  void finish(LinkId link, Ending ending = Ending::complete, std::size_t bytes = 10) {
    handle(AnswerEnd{link, ending, bytes, true, 10ms, 1.0, {}});
  }

  template <typename T>
  [[nodiscard]] std::vector<T> all() const {
    std::vector<T> found;
    for (const Effect& effect : log_)
      if (const auto* one = std::get_if<T>(&effect)) found.push_back(*one);
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
  [[nodiscard]] bool did(LinkId link) const {
    for (const T& effect : all<T>())
      if (effect.link == link) return true;
    return false;
  }

  [[nodiscard]] TimePoint now() const { return now_; }
  [[nodiscard]] Counts counts() const { return conductor_.counts(); }
  [[nodiscard]] const std::vector<Effect>& log() const { return log_; }

 private:
  Conductor conductor_;
  TimePoint now_{1h};
  std::map<LinkId, OpenLink> links_;
  std::map<QueryId, LinkId> sent_;
  std::vector<Effect> log_;
};

}  // namespace paddlestand::core::test

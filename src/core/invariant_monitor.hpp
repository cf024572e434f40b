// What the manager promises, held against what it is told and what it does, at the boundary between the
// conductor and its host. It knows neither the conductor's ledger nor the module: it keeps its own account of
// events and effects, so that no mistake in theirs can hide itself. Each promise is a sentence in
// docs/promises.md.
//
// Runs in the service, which logs a breach, and in the explorer, which stops at one. No I/O, no clock.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "types.hpp"

namespace paddlestand::core {

enum class Promise : std::uint8_t {
  one_answer,
  in_time,
  nothing_after,
  one_attempt,
  effect_once,
  honest_answer,
  drain,
  cold_engine,
  order,
  placement,
  budget,
  clean_link,
  own_cancel,
  own_rows,
  whole_answer,
  bounds,
  advice,
  // Only where more is seen than the boundary: by the explorer.
  no_contradiction,
  all_ends,
  count
};

std::string_view name_of(Promise promise);
// The sentence that is promised.
std::string_view sentence_of(Promise promise);

struct Breach {
  Promise promise{};
  std::string what;
};

class Promises {
 public:
  explicit Promises(const CoreSettings& settings);

  void told(TimePoint now, const CoreEvent& event);
  void did(TimePoint now, const Effect& effect);

  // Found since they were last cleared; at most `most_breaches`, the rest is only counted.
  [[nodiscard]] std::vector<Breach>& breaches() { return breaches_; }
  [[nodiscard]] std::uint64_t breach_count() const { return breach_count_; }

  void visit(StateVisitor& visitor);

  // Whether a key's rest ends within (from, to] while an attempt of that key is out.
  [[nodiscard]] bool rest_ends_while_out(TimePoint from, TimePoint to) const;

  static constexpr std::size_t most_breaches = 16;

 private:
  struct Attempt {
    EngineId engine{};
    LinkId link{};
    TimePoint sent{};
    bool handed = false;  // its last byte: from here on it may run
    bool out = true;
    bool turned_away = false;
    std::uint64_t bytes = 0;  // of its answer, told so far
    bool complete = false;
    [[nodiscard]] bool may_have_run() const { return handed && !turned_away; }
  };
  struct Query {
    SessionId session{};
    std::uint32_t class_index{};
    std::uint64_t key{};
    TimePoint arrived{};
    Duration patience{};
    std::optional<Duration> cost;
    bool answered = false, let_go = false;  // let go: its client asked for a cancel, or is gone
    std::uint64_t delivered = 0;
    std::size_t delivered_of = 0;  // the attempt, while `delivered` is not zero
    std::vector<Attempt> attempts;
    [[nodiscard]] bool any_out() const;
  };
  struct Link {
    EngineId engine{};
    LinkUse use{};
    bool up = false, carries = false, cancelled = false, unclean = false;
    QueryId query{};  // the last that it carried
    std::size_t attempt = 0;
    std::uint64_t kept = 0;
  };
  struct Engine {
    EngineEntry entry;
    bool ready = false;
    TimePoint not_ready_since{};
    TimePoint warm_at{};
    std::deque<std::pair<TimePoint, Duration>> cold_sends;
    std::uint32_t links = 0;
  };
  struct Rest {
    TimePoint until{};
    QueryId of{};
  };

  void on(const SessionClosed& event);
  void on(const QueryArrived& event);
  void on(const CancelAsked& event);
  void on(const LinkUp& event);
  void on(const LinkLost& event);
  void on(const QuerySent& event);
  void on(const AnswerPart& event);
  void on(const AnswerEnd& event);
  void on(const FleetTold& event);
  void on(const TimeCame& event);
  void on(const auto&) {}

  void saw(const OpenLink& effect);
  void saw(const SendQuery& effect);
  void saw(const CancelOnEngine& effect);
  void saw(const CloseLink& effect);
  void saw(const Deliver& effect);
  void saw(const Discard& effect);
  void saw(const Answer& effect);
  void saw(const auto&) {}

  void send_is_allowed(const SendQuery& effect, const Query& query, const Link& link);
  void effect_once(const SendQuery& effect, const Query& query, const Engine& engine);
  void has_its_turn(const SendQuery& effect, const Query& query);
  void within_budget(const SendQuery& effect, const Query& query);
  void forget_before_window();
  void spares_cold(const SendQuery& effect, const Query& query, Engine& engine);
  void keeps_place(const SendQuery& effect, const Query& query, const Engine& engine);
  void honest(const Answer& effect, const Query& query);
  void handed(const Link& link);
  void ended(Link& link, bool may_still_run);
  void not_ready(Engine& engine);
  void forget_gone();
  void forget_if_done(QueryId id);
  [[nodiscard]] const ClassSettings& class_of(const Query& query) const;
  Query* find(QueryId id);
  void breach(Promise promise, std::string what);

  // Of the settings, what the promises name; the rest would only make copies dear.
  std::shared_ptr<const CoreSettings> s_;
  TimePoint now_{};
  std::unordered_map<SessionId, QueryId> asking_;
  std::unordered_map<QueryId, Query> queries_;
  std::unordered_map<LinkId, Link> links_;
  std::map<EngineId, Engine> engines_;
  std::map<std::uint64_t, std::vector<QueryId>> lines_;  // by key, in the order taken
  std::map<std::uint64_t, Rest> rests_;
  std::set<std::pair<TimePoint, QueryId>> deadlines_;
  std::deque<TimePoint> taken_, further_;  // no older than the budget's window
  std::vector<Breach> breaches_;
  std::uint64_t breach_count_ = 0;
};

}  // namespace paddlestand::core

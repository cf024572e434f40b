// What the manager invariants, held against what it is told and what it does, at the boundary between the
// query coordinator and its host. It knows neither the query coordinator's ledger nor the module: it keeps
// its own account of events and effects, so that no mistake in theirs can hide itself. Each invariant is a
// sentence in docs/invariants.md.
//
// Runs in the service, which logs a violation, and in the explorer, which stops at one. No I/O, no clock.
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

enum class Invariant : std::uint8_t {
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

std::string_view name_of(Invariant invariant);
// The sentence that is promised.
std::string_view sentence_of(Invariant invariant);

struct InvariantViolation {
  Invariant invariant{};
  std::string what;
};

class InvariantMonitor {
 public:
  explicit InvariantMonitor(const CoreSettings& settings);

  void on_event(TimePoint now, const CoreEvent& event);
  void on_action(TimePoint now, const HostAction& action);

  // Found since they were last cleared; at most `max_kept_violations`, the rest is only counted.
  [[nodiscard]] std::vector<InvariantViolation>& violations() { return violations_; }
  [[nodiscard]] std::uint64_t violation_count() const { return violation_count_; }

  void visit(StateVisitor& visitor);

  // Whether a key's rest ends within (from, to] while an attempt of that key is out.
  [[nodiscard]] bool rest_ends_while_out(TimePoint from, TimePoint to) const;

  static constexpr std::size_t max_kept_violations = 16;

 private:
  struct Attempt {
    EngineId engine{};
    ChannelId channel{};
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
    Duration client_timeout{};
    std::optional<Duration> cost;
    bool answered = false, let_go = false;  // let go: its client asked for a cancel, or is gone
    std::uint64_t delivered = 0;
    std::size_t delivered_of = 0;  // the attempt, while `delivered` is not zero
    std::vector<Attempt> attempts;
    [[nodiscard]] bool any_out() const;
  };
  struct Channel {
    EngineId engine{};
    ChannelUse use{};
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
    std::uint32_t channels = 0;
  };
  struct Rest {
    TimePoint until{};
    QueryId of{};
  };

  void on(const SessionClosed& event);
  void on(const QueryArrived& event);
  void on(const ClientCancelled& event);
  void on(const ChannelOpened& event);
  void on(const ChannelLost& event);
  void on(const QuerySent& event);
  void on(const AnswerPart& event);
  void on(const AnswerEnd& event);
  void on(const EndpointsUpdated& event);
  void on(const TimerExpired& event);
  void on(const auto&) {}

  void saw(const OpenChannel& action);
  void saw(const SendQuery& action);
  void saw(const CancelOnEngine& action);
  void saw(const CloseChannel& action);
  void saw(const Deliver& action);
  void saw(const Discard& action);
  void saw(const Answer& action);
  void saw(const auto&) {}

  void send_is_allowed(const SendQuery& action, const Query& query, const Channel& channel);
  void effect_once(const SendQuery& action, const Query& query, const Engine& engine);
  void has_its_turn(const SendQuery& action, const Query& query);
  void within_budget(const SendQuery& action, const Query& query);
  void forget_before_window();
  void spares_cold(const SendQuery& action, const Query& query, Engine& engine);
  void keeps_place(const SendQuery& action, const Query& query, const Engine& engine);
  void honest(const Answer& action, const Query& query);
  void handed(const Channel& channel);
  void ended(Channel& channel, bool may_still_run);
  void not_ready(Engine& engine);
  void forget_removed();
  void forget_if_done(QueryId id);
  [[nodiscard]] const ClassSettings& class_of(const Query& query) const;
  Query* find(QueryId id);
  void violation(Invariant invariant, std::string what);

  // Of the settings, what the invariants name; the rest would only make copies dear.
  std::shared_ptr<const CoreSettings> s_;
  TimePoint now_{};
  std::unordered_map<SessionId, QueryId> asking_;
  std::unordered_map<QueryId, Query> queries_;
  std::unordered_map<ChannelId, Channel> channels_;
  std::map<EngineId, Engine> engines_;
  std::map<std::uint64_t, std::vector<QueryId>> lines_;  // by key, in the order taken
  std::map<std::uint64_t, Rest> rests_;
  std::set<std::pair<TimePoint, QueryId>> deadlines_;
  std::deque<TimePoint> taken_, further_;  // no older than the budget's window
  std::vector<InvariantViolation> violations_;
  std::uint64_t violation_count_ = 0;
};

}  // namespace paddlestand::core

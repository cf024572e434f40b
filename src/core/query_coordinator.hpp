// The conductor: events to the decision module, its actions out as effects. It owns one WorkloadManager, the
// ledger of queries and attempts, and the pools of links. It never decides admission, routing, repeats or
// refusals; it keeps what was decided true on the way: one final answer, no bytes behind it, no reuse of a
// link that a cancel could still strike, nothing sent to an engine that was told to drain while its link
// opened.
//
// A copy would do the same from there on, and shares nothing that changes: so the explorer branches.
//
// Not thread-safe: one host thread owns it. Events of links that were closed are passed over, since a host's
// completions may cross with CloseLink; every other event that makes no sense throws IllegalTransition.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

#include "ledger.hpp"
#include "pool.hpp"
#include "timer_queue.hpp"
#include "types.hpp"

namespace paddlestand::core {

struct Counts {
  std::size_t sessions = 0, queries_open = 0, attempts_out = 0;
  std::size_t links = 0, links_idle = 0, links_probing = 0;
  std::size_t bytes_buffered = 0;
  std::size_t timers = 0, own_timers = 0;  // all; those that are not the module's
};

class Conductor {
 public:
  explicit Conductor(CoreSettings settings);

  // Takes one event and appends what follows from it. `now` never goes back.
  void handle(TimePoint now, const CoreEvent& event, std::vector<Effect>& effects);

  // When TimeCame is wanted next, if at all.
  [[nodiscard]] std::optional<TimePoint> due() const;

  [[nodiscard]] TimePoint now() const { return now_; }  // of the last event
  [[nodiscard]] Counts counts() const;

  // Throws where the ledger contradicts itself: for tests, the explorer and builds with assertions.
  void check() const;

  // All that its future hangs on, but for its settings, as of its last event.
  void visit(StateVisitor& visitor);

 private:
  void on(const SessionOpened& event);
  void on(const SessionClosed& event);
  void on(const QueryArrived& event);
  void on(const CancelAsked& event);
  void on(const LinkUp& event);
  void on(const LinkLost& event);
  void on(const QuerySent& event);
  void on(const AnswerPart& event);
  void on(const AnswerEnd& event);
  void on(const EngineNote& event);
  void on(const ClientTook& event);
  void on(const FleetTold& event);
  void on(const Leave& event);
  void on(const TimeCame& event);

  // The module's side.
  void tell(const Event& event);
  void drain();
  void apply(const Send& action);
  void apply(const Cancel& action);
  void apply(const Refuse& action);
  void apply(const Fail& action);
  void apply(const SetTimer& action);
  void apply(const Probe& action);
  void apply(const SetTerms& action);
  void apply(const SubscribeFleet& action);
  void apply(const TellPeers& action);
  void apply(const Log& action);

  // Attempts.
  void start_on(LinkId id, LinkRecord& link, QueryRecord& query, std::uint32_t attempt);
  void cancel(QueryRecord& query, std::uint32_t attempt);
  void time_out(QueryRecord& query, std::uint32_t attempt);
  void end(QueryRecord& query, std::uint32_t attempt, Result result, const AnswerEnd* told = nullptr);

  // Links.
  LinkId open(EngineId engine, LinkUse use, QueryId query = 0);
  void close(LinkId id);
  void park(LinkId id, LinkRecord& link);
  void mark_sent(LinkRecord& link);
  void discard(LinkId id, LinkRecord& link);
  void end_probe(LinkId id, Result result, const AnswerEnd* told);
  void engine_not_ready(EngineId engine);

  // Answers.
  void deliver(LinkId id, LinkRecord& link, QueryRecord& query);
  void rest_if_full(LinkId id, LinkRecord& link, const SessionRecord& session);
  void answer(QueryRecord& query, AnswerKind kind, Repeatable repeatable, Duration retry_after = {},
              bool leaving = false);
  void never_goes_out(LinkId id);
  void forget_if_done(QueryId id);
  void leave_if_done();
  void on_timer(const Timer& timer);

  QueryRecord* find_query(QueryId id);
  LinkRecord* find_link(LinkId id);
  void act(Effect effect) { out_->push_back(std::move(effect)); }

  std::shared_ptr<const CoreSettings> settings_;  // never changed: copies have them together
  WorkloadManager module_;
  TimePoint now_{}, module_told_{};  // the last event; the module's last
  std::vector<Effect>* out_ = nullptr;

  std::deque<Event> told_;  // to the module, in order; empty between two events of the host
  bool draining_ = false;
  std::vector<Action> actions_;

  std::unordered_map<SessionId, SessionRecord> sessions_;
  std::unordered_map<QueryId, QueryRecord> queries_;
  std::unordered_map<LinkId, LinkRecord> links_;
  std::map<EngineId, Pool> pools_;
  TimerQueue timers_;
  std::set<std::pair<TimePoint, std::uint32_t>> module_timers_;
  LinkId last_link_ = 0;
  std::size_t buffered_ = 0;  // kept for links or not taken by clients
  std::size_t open_queries_ = 0;
  bool leaving_ = false, left_ = false;
};

}  // namespace paddlestand::core

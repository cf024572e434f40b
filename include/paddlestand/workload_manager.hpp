// The interface of the decision module: its settings, its events, its actions. Types only.
// The decisions themselves are in src/decision/.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace paddlestand {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::nanoseconds;  // a reading of the caller's clock; its zero has no meaning
using RequestId = std::uint64_t;
using EngineId = std::uint32_t;

enum class Idempotency : std::uint8_t { idempotent, idempotent_with_key, non_idempotent };
enum class IdempotencyScope : std::uint8_t { all, zone, cell };
enum class EngineState : std::uint8_t { removed, ready, draining };
enum class EndpointUpdate : std::uint8_t { delta, full, cached, failed };
enum class MemoryShortage : std::uint8_t { queue, reduce_grant, overcommit };
enum class ProgressKind : std::uint8_t { progress, spilling, waiting };

// How an attempt or a probe ended.
enum class AttemptResult : std::uint8_t {
  served,
  engine_error,  // may have run
  rejected,  // never ran: turned away
  timed_out,  // may have run, may still run
  connect_failed,  // never ran
  reset,  // may have run
  cancelled,  // may have run
  not_sent,  // never ran: not sent at all
};

struct ClassSettings {
  std::string name;
  Duration latency_objective{};
  double objective_per_run_time{};  // the aim grows by this times the query's work over its threads
  Duration deadline{};
  double priority_weight{};
  double late_answer_weight{};  // share of the worth for an answer after the aim
  Idempotency repeat{};
  IdempotencyScope idempotency_scope{};
  Duration idempotency_window{};  // keyed: how long engines remember a repeat
  bool ordered_by_key{};
  bool streamed{};
  std::optional<std::vector<std::uint32_t>> allowed_zones;
  std::optional<std::vector<std::uint32_t>> allowed_kinds;
  double threads{};
  bool writes_tables{};  // holds its group of tables on its engine while it runs
  bool waits_for_writers{};
};

struct KindSettings {
  double cores{};
  double memory_mb{};
};

struct TenantSettings {
  std::string name;
  double quota_per_s{};  // over all instances
};

struct RetryBudgetSettings {
  double floor{};
  double share{};
  Duration window{};
};

struct Settings {
  std::uint32_t instances{};
  std::uint32_t instance_index{};
  std::uint64_t seed{};
  std::uint32_t zone{};
  Duration clock_step{};  // the shortest time between two calls
  std::vector<ClassSettings> classes;
  std::vector<KindSettings> kinds;
  std::vector<TenantSettings> tenants;
  bool endpoints_on_subscription{};  // changes of the fleet come only when asked for
  bool engines_honor_grants{};
  bool engines_honor_priorities{};
  bool answers_report_cost{};
  double max_grant_share{};
  MemoryShortage memory_shortage{};
  Duration progress_report_period{};  // zero: no notes of progress
  bool may_cancel{};
  bool may_probe{};
  bool may_advise_retry{};
  bool may_hedge{};
  bool may_gossip{};
  // In points of the worth of a mean request: for each attempt that leaves the zone, each 256 bytes that
  // a peer is told.
  double cross_zone_price{};
  double gossip_price{};
  double gossip_entry_bytes{};  // that a told attempt takes in a message
  std::uint32_t max_attempts{};
  Duration max_retry_after{};
  Duration answer_slack{};
  Duration drain_grace{};
  double slow_start_capacity_share{};  // a starting engine has this share of its capacity, or more
  Duration slow_start_duration{};
  double overload_multiple{};
  Duration overload_window{};
  Duration ordering_settle_time{};
  Duration max_send_delay{};  // what is sent may go out so much later: its link must come up first
  std::optional<RetryBudgetSettings> retry_budget;
};

struct LoadReport {
  std::optional<double> queries;  // held by the engine
};

struct EngineEntry {
  EngineId engine{};
  EngineState state{};
  std::uint32_t kind{};
  std::uint32_t zone{};
  std::uint32_t cell{};
  double weight{};
  TimePoint started{};  // zero: long ago
};

// Events.
struct EndpointsChanged {
  EndpointUpdate scope{};
  std::span<const EngineEntry> engines;  // valid only during the call
};
struct RequestArrived {
  RequestId request{};
  std::uint32_t class_index{};
  std::uint32_t tenant{};
  std::uint64_t ordering_key{};  // zero: none
  Duration client_timeout{};
  std::optional<Duration> estimated_cost;  // the work of all threads, as time on one
  double estimated_memory_mb{};  // zero: not told
  double tables{};
  bool repeated{};
};
struct AnswerStarted {
  RequestId request{};
};
struct ProgressReported {
  RequestId request{};
  std::uint32_t attempt{};
  ProgressKind kind{};
  double level{};
};
struct AttemptEnded {
  RequestId request{};
  std::uint32_t attempt{};
  EngineId engine{};
  AttemptResult result{};
  Duration took{};
  bool request_over{};
  std::optional<Duration> work;  // served: the work that it needed, where told
  std::optional<double> memory_mb;  // served: the memory that it needed, where told
  LoadReport report;
};
struct RequestAbandoned {
  RequestId request{};
};
struct TimerFired {
  std::uint32_t token{};
};
struct ProbeEnded {
  EngineId engine{};
  AttemptResult result{};
  Duration took{};
  LoadReport report;
};
struct GossipEntry {
  EngineId engine{};
  double threads{};
  double memory_share{};  // granted, of the engine's memory
};
struct GossipReceived {
  std::uint32_t author{};  // position of the peer
  std::span<const GossipEntry> out;  // what it told of its attempts that are out; valid only during the call
};

using Event = std::variant<EndpointsChanged, RequestArrived, AnswerStarted, ProgressReported, AttemptEnded,
                           RequestAbandoned, TimerFired, ProbeEnded, GossipReceived>;

// Actions.
struct Send {
  RequestId request{};
  EngineId engine{};
  Duration timeout{};
};
struct Cancel {
  RequestId request{};
  std::uint32_t attempt{};
};
struct Reject {
  RequestId request{};
  Duration retry_after{};  // zero: no advice
};
struct Fail {
  RequestId request{};
};
struct SetTimer {
  std::uint32_t token{};
  Duration after{};
};
struct Probe {
  EngineId engine{};
};
struct SetResourceGrant {
  RequestId request{};
  std::uint8_t priority{};  // 0 to 3
  double memory_mb{};  // zero: the engine's choice
};
struct SubscribeEndpoints {};
struct SendGossip {  // all of them; what does not fit in one message is left out
  std::vector<GossipEntry> out;
};
struct Log {
  std::string text;
};

using Action = std::variant<Send, Cancel, Reject, Fail, SetTimer, Probe, SetResourceGrant, SubscribeEndpoints,
                            SendGossip, Log>;

// Walks over a state, field by field, always in the same order: to digest it, to write it down, to read it
// back. Times are seconds on the clock of what is walked over; `since` lies in the past, `until` matters only
// while it lies ahead. A table's entries are each announced by entry(); where a state is read back, table()
// tells how many to read.
class StateVisitor {
 public:
  enum class Name : std::uint8_t { engine, request, session, channel };

  virtual ~StateVisitor() = default;
  [[nodiscard]] virtual bool reads() const { return false; }
  virtual void clock(double& now) = 0;
  virtual void behind(double) {}  // what follows was last told the time so many seconds ago
  virtual void number(double& value) = 0;
  virtual void whole(std::uint64_t& value) = 0;
  virtual void since(double& time) = 0;
  virtual void until(double& time) = 0;
  virtual void counted(double& time) { since(time); }  // with others of its table, over a window
  virtual void name(Name kind, std::uint64_t& id) = 0;
  virtual void generator(std::mt19937_64& state) = 0;
  virtual std::size_t table(std::size_t entries, bool in_order) = 0;
  virtual void entry() = 0;
  virtual void end() = 0;
};

// One workload manager. It owns no clock, no thread and no I/O: the same events give the same actions.
class WorkloadManager {
 public:
  explicit WorkloadManager(Settings settings);
  ~WorkloadManager();
  WorkloadManager(const WorkloadManager& other);  // a second one that would do the same from here on
  WorkloadManager(WorkloadManager&&) noexcept;
  WorkloadManager& operator=(WorkloadManager&&) noexcept;

  // Takes one event and appends what follows from it to `actions`.
  void handle(TimePoint now, const Event& event, std::vector<Action>& actions);

  // All that its future hangs on, but for its settings, as of its last event.
  void visit(StateVisitor& visitor);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace paddlestand

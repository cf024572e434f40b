/// \file
/// The interface of the decision module: settings, events and actions, and the manager that turns one into
/// the other. The decisions are in src/decision/.
///
/// The module does no I/O and has no threads. Its host passes in what happens as events, each with the time,
/// and carries out the actions that come back, in order. One manager must not be called from two threads at
/// once.
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
/// A reading of the host's monotonic clock; its zero has no meaning.
using TimePoint = std::chrono::nanoseconds;
using RequestId = std::uint64_t;
using EngineId = std::uint32_t;

/// Whether a request may run twice.
enum class Idempotency : std::uint8_t { idempotent, idempotent_with_key, non_idempotent };
/// The engines that share knowledge of idempotency keys: all, those of a zone, or those of a cell.
enum class IdempotencyScope : std::uint8_t { all, zone, cell };
enum class EngineState : std::uint8_t { removed, ready, draining };
/// How a list of engines came about: a change, the complete list, a complete list from a cache, or none.
enum class EndpointUpdate : std::uint8_t { delta, full, cached, failed };
/// What engines do when memory runs short.
enum class MemoryShortage : std::uint8_t { queue, reduce_grant, overcommit };
enum class ProgressKind : std::uint8_t { progress, spilling, waiting };

/// How an attempt or a probe ended.
enum class AttemptResult : std::uint8_t {
  served,
  engine_error,  // may have run
  rejected,  // didn't run: the engine refused it
  timed_out,  // may have run, may still run
  connect_failed,  // didn't run
  reset,  // may have run
  cancelled,  // may have run
  not_sent,  // didn't run: it never left this process
};

/// Settings of one request class.
struct ClassSettings {
  std::string name;
  Duration latency_objective{};
  double objective_per_run_time{};  // added to the objective, times the request's work over its threads
  Duration deadline{};
  double priority_weight{};
  double late_answer_weight{};  // share of the priority weight that an answer after the objective earns
  Idempotency idempotency{};
  IdempotencyScope idempotency_scope{};
  Duration idempotency_window{};  // how long engines remember an idempotency key
  bool ordered_by_key{};
  bool streamed{};
  std::optional<std::vector<std::uint32_t>> allowed_zones;
  std::optional<std::vector<std::uint32_t>> allowed_kinds;
  double threads{};  // that a request of this class runs on
  bool writes_tables{};  // locks its group of tables on its engine while it runs
  bool waits_for_writers{};
};

/// One kind of engine.
struct KindSettings {
  double cores{};
  double memory_mb{};
};

/// One tenant.
struct TenantSettings {
  std::string name;
  double quota_per_s{};  // over all instances
};

/// Limit on retries: within any window at most `floor`, plus `share` of the requests that arrived in it.
struct RetryBudgetSettings {
  double floor{};
  double share{};
  Duration window{};
};

/// Settings of a manager.
struct Settings {
  std::uint32_t instances{};  // managers in the deployment
  std::uint32_t instance_index{};  // position of this one, from 0
  std::uint64_t seed{};
  std::uint32_t zone{};
  Duration clock_step{};  // the shortest time between two calls
  std::vector<ClassSettings> classes;
  std::vector<KindSettings> kinds;
  std::vector<TenantSettings> tenants;
  bool endpoints_on_subscription{};  // endpoint updates come only after SubscribeEndpoints
  bool engines_honor_grants{};
  bool engines_honor_priorities{};
  bool answers_report_cost{};
  double max_grant_share{};
  MemoryShortage memory_shortage{};
  Duration progress_report_period{};  // zero: engines report no progress
  bool may_cancel{};
  bool may_probe{};
  bool may_advise_retry{};
  bool may_hedge{};
  bool may_gossip{};
  // Prices, as shares of a mean request's priority weight: of each attempt outside the zone, and of each 256
  // bytes of gossip to a peer.
  double cross_zone_price{};
  double gossip_price{};
  double gossip_entry_bytes{};  // size of an announced attempt in a message
  std::uint32_t max_attempts{};
  Duration max_retry_after{};
  Duration answer_slack{};
  Duration drain_grace{};
  double slow_start_capacity_share{};  // least share of its capacity that a starting engine has
  Duration slow_start_duration{};
  double overload_multiple{};
  Duration overload_window{};
  Duration ordering_settle_time{};
  Duration max_send_delay{};  // a send may wait so long for its connection
  std::optional<RetryBudgetSettings> retry_budget;
};

/// What an engine reports of its load.
struct LoadReport {
  std::optional<double> queries;  // present on the engine
};

/// One engine of the endpoint list.
struct EngineEntry {
  EngineId engine{};
  EngineState state{};
  std::uint32_t kind{};
  std::uint32_t zone{};
  std::uint32_t cell{};
  double weight{};
  TimePoint started{};  // zero: unknown, long ago
};

// Events.

/// Discovery has a new list of engines, or a change of it.
struct EndpointsChanged {
  EndpointUpdate scope{};
  std::span<const EngineEntry> engines;  // valid only during the call
};
/// A client has sent a request.
struct RequestArrived {
  RequestId request{};
  std::uint32_t class_index{};
  std::uint32_t tenant{};
  std::uint64_t ordering_key{};  // zero: none
  Duration client_timeout{};
  std::optional<Duration> estimated_cost;  // work of all threads, as time on one
  double estimated_memory_mb{};  // zero: unknown
  double tables{};  // number of the group of tables that it uses
  bool repeated{};
};
/// The first part of an answer has gone to the client: the request can't be retried any more.
struct AnswerStarted {
  RequestId request{};
};
/// An engine has reported on an attempt.
struct ProgressReported {
  RequestId request{};
  std::uint32_t attempt{};
  ProgressKind kind{};
  double level{};  // share done, from 0 to 1, where `kind` is progress
};
/// An attempt has ended. Attempts are numbered from 0 in the order of their Send actions.
struct AttemptEnded {
  RequestId request{};
  std::uint32_t attempt{};
  EngineId engine{};
  AttemptResult result{};
  Duration elapsed{};
  bool request_over{};  // the client has its answer
  std::optional<Duration> work;  // served: actual work, where the engine reports it
  std::optional<double> memory_mb;  // served: memory used, where the engine reports it
  LoadReport report;
};
/// The client has given up: no answer is due.
struct RequestAbandoned {
  RequestId request{};
};
/// A timer of SetTimer is due.
struct TimerFired {
  std::uint32_t token{};
};
/// A health check has ended.
struct ProbeEnded {
  EngineId engine{};
  AttemptResult result{};
  Duration elapsed{};
  LoadReport report;
};
/// An attempt in flight, as announced to peers.
struct GossipEntry {
  EngineId engine{};
  double threads{};
  double memory_share{};  // granted, of the engine's memory
};
/// A peer has announced its attempts in flight.
struct GossipReceived {
  std::uint32_t author{};  // instance index of the peer
  std::span<const GossipEntry> out;  // all that it announces; valid only during the call
};

using Event = std::variant<EndpointsChanged, RequestArrived, AnswerStarted, ProgressReported, AttemptEnded,
                           RequestAbandoned, TimerFired, ProbeEnded, GossipReceived>;

// Actions.

/// Send the request to an engine, as its next attempt.
struct Send {
  RequestId request{};
  EngineId engine{};
  Duration timeout{};
};
/// Cancel an attempt; its end is reported by AttemptEnded.
struct Cancel {
  RequestId request{};
  std::uint32_t attempt{};
};
/// Answer the client that it may try again: the request did not run, or may safely run twice.
struct Reject {
  RequestId request{};
  Duration retry_after{};  // zero: no advice
};
/// Answer the client with an error.
struct Fail {
  RequestId request{};
};
/// Deliver TimerFired after a time.
struct SetTimer {
  std::uint32_t token{};
  Duration after{};
};
/// Check the health of an engine.
struct Probe {
  EngineId engine{};
};
/// Resources for the request's next attempt; comes before its Send.
struct SetResourceGrant {
  RequestId request{};
  std::uint8_t priority{};  // 0 to 3
  double memory_mb{};  // zero: the engine's choice
};
/// Subscribe to endpoint updates.
struct SubscribeEndpoints {};
/// Announce all attempts in `out` to every peer; what exceeds one message is dropped.
struct SendGossip {
  std::vector<GossipEntry> out;
};
/// Write a line to the log.
struct Log {
  std::string text;
};

using Action = std::variant<Send, Cancel, Reject, Fail, SetTimer, Probe, SetResourceGrant, SubscribeEndpoints,
                            SendGossip, Log>;

/// Visits a state, field by field, always in the same order: to hash it, to write it, to read it back. Times
/// are seconds on the clock of the visited object.
class StateVisitor {
 public:
  enum class Name : std::uint8_t { engine, request, session, channel };

  virtual ~StateVisitor() = default;
  /// Whether the fields are to be set from what the visitor holds.
  [[nodiscard]] virtual bool reads() const { return false; }
  virtual void clock(double& now) = 0;
  /// The object visited next got its last event so many seconds ago.
  virtual void behind(double) {}
  virtual void number(double& value) = 0;
  /// An integer, boolean or enumeration.
  virtual void integer(std::uint64_t& value) = 0;
  /// A time that lies in the past.
  virtual void since(double& time) = 0;
  /// A time that matters only while it lies ahead.
  virtual void until(double& time) = 0;
  /// A time that is counted over a window, with others of its table.
  virtual void counted(double& time) { since(time); }
  /// An identifier; a visitor may map it.
  virtual void name(Name kind, std::uint64_t& id) = 0;
  virtual void generator(std::mt19937_64& state) = 0;
  /// Starts a container, whose order matters or not. Returns its number of entries, which differs from
  /// `entries` only where a state is read back.
  virtual std::size_t table(std::size_t entries, bool in_order) = 0;
  /// Starts an entry of the container.
  virtual void entry() = 0;
  /// Ends the container.
  virtual void end() = 0;
};

/// One workload manager. It is deterministic: the same settings and events give the same actions.
class WorkloadManager {
 public:
  explicit WorkloadManager(Settings settings);
  ~WorkloadManager();
  /// The copy behaves as the original would from here on.
  WorkloadManager(const WorkloadManager& other);
  WorkloadManager(WorkloadManager&&) noexcept;
  WorkloadManager& operator=(WorkloadManager&&) noexcept;

  /// Handles one event and appends the actions that follow to `actions`. `now` must not run backwards. A
  /// request whose id is in use or whose class is unknown is answered with Fail.
  void handle(TimePoint now, const Event& event, std::vector<Action>& actions);

  /// Visits all state that future decisions depend on, except the settings, as of the last event.
  void visit(StateVisitor& visitor);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace paddlestand

/// \file
/// The interface of the decision module: its settings, the events that it handles, the actions that it
/// returns and the class WorkloadManager. The implementation is in src/decision/.
///
/// The module does no I/O and has no threads. Its host passes in events, each with the current time, and
/// carries out the returned actions in order. One manager must not be called from two threads at once.
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
/// Which engines share their record of idempotency keys: all, those of a zone, or those of a cell.
enum class IdempotencyScope : std::uint8_t { all, zone, cell };
enum class EngineState : std::uint8_t { removed, ready, draining };
/// What an endpoint update contains: changes only, the complete list, a complete list from a cache, or
/// nothing because discovery failed.
enum class EndpointUpdate : std::uint8_t { delta, full, cached, failed };
/// What engines do when memory runs short.
enum class MemoryShortage : std::uint8_t { queue, reduce_grant, overcommit };
enum class ProgressKind : std::uint8_t { progress, spilling, waiting };

/// How an attempt or a probe ended.
enum class AttemptResult : std::uint8_t {
  served,
  engine_error,  // may have run
  rejected,  // didn't run: the engine rejected it
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
  double objective_per_run_time{};  // the objective grows by this times work / threads
  Duration deadline{};
  double priority_weight{};
  double late_answer_weight{};  // share of the priority weight that applies to answers after the objective
  Idempotency idempotency{};
  IdempotencyScope idempotency_scope{};
  Duration idempotency_window{};  // how long engines remember an idempotency key
  bool ordered_by_key{};
  bool streamed{};
  std::optional<std::vector<std::uint32_t>> allowed_zones;
  std::optional<std::vector<std::uint32_t>> allowed_kinds;
  double threads{};  // threads that a request of this class uses
  bool writes_tables{};  // a request locks its table group on its engine while it runs
  bool waits_for_writers{};  // a request waits while another one locks its table group
};

/// Hardware of one kind of engine.
struct KindSettings {
  double cores{};
  double memory_mb{};
};

/// A tenant and its quota.
struct TenantSettings {
  std::string name;
  double quota_per_s{};  // requests per second over all managers
};

/// Limit on retries: within any window, at most `floor` plus `share` times the requests that arrived in it.
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
  // Prices, as shares of the mean request's priority weight: cross_zone_price of each attempt outside the
  // zone, gossip_price of each 256 bytes of gossip to a peer.
  double cross_zone_price{};
  double gossip_price{};
  double gossip_entry_bytes{};  // size of an announced attempt in a message
  std::uint32_t max_attempts{};
  Duration max_retry_after{};
  Duration answer_slack{};
  Duration drain_grace{};
  double slow_start_capacity_share{};  // lowest share of its capacity that an engine in slow start has
  Duration slow_start_duration{};
  // Work within `overload_window`, as a multiple of its capacity, that overloads an engine in slow start.
  double overload_multiple{};
  Duration overload_window{};
  Duration ordering_settle_time{};
  Duration max_send_delay{};  // longest time that a send waits for its connection
  std::optional<RetryBudgetSettings> retry_budget;
};

/// The load that an engine reports.
struct LoadReport {
  std::optional<double> queries;  // number of queries on the engine
};

/// One entry of the endpoint list.
struct EngineEntry {
  EngineId engine{};
  EngineState state{};
  std::uint32_t kind{};
  std::uint32_t zone{};
  std::uint32_t cell{};
  double weight{};
  TimePoint started{};  // start of its process; zero: unknown, taken as long ago
};

// Events.

/// Discovery has reported a new list of engines, changes to it, or a failure.
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
  std::optional<Duration> estimated_cost;  // work of all threads, as time on one thread
  double estimated_memory_mb{};  // zero: unknown
  double tables{};  // id of the table group that it uses
  bool repeated{};
};
/// The first part of an answer was sent to the client: the request can no longer be retried.
struct AnswerStarted {
  RequestId request{};
};
/// An engine has reported on an attempt.
struct ProgressReported {
  RequestId request{};
  std::uint32_t attempt{};
  ProgressKind kind{};
  double level{};  // completed share, from 0 to 1, if `kind` is progress
};
/// An attempt has ended. Attempts are numbered from 0 in the order of their Send actions.
struct AttemptEnded {
  RequestId request{};
  std::uint32_t attempt{};
  EngineId engine{};
  AttemptResult result{};
  Duration elapsed{};
  bool request_over{};  // the client has received its answer
  std::optional<Duration> work;  // served: actual work, where the engine reports it
  std::optional<double> memory_mb;  // served: memory used, where the engine reports it
  LoadReport report;
};
/// The client stopped waiting: the request needs no answer.
struct RequestAbandoned {
  RequestId request{};
};
/// A timer set by SetTimer has expired.
struct TimerFired {
  std::uint32_t token{};
};
/// A health check started by Probe has ended.
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
  double memory_share{};  // granted memory as a share of the engine's memory
};
/// A peer has announced its attempts in flight.
struct GossipReceived {
  std::uint32_t author{};  // instance index of the peer
  std::span<const GossipEntry> entries;  // all its announced attempts; valid only during the call
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
/// Answer the client that it may repeat the request, which did not run or may safely run twice.
struct Reject {
  RequestId request{};
  Duration retry_after{};  // zero: no advice
};
/// Answer the client with an error.
struct Fail {
  RequestId request{};
};
/// Deliver TimerFired after `after`.
struct SetTimer {
  std::uint32_t token{};
  Duration after{};
};
/// Check the health of an engine.
struct Probe {
  EngineId engine{};
};
/// Resources for the request's next attempt; emitted before its Send.
struct SetResourceGrant {
  RequestId request{};
  std::uint8_t priority{};  // 0 to 3
  double memory_mb{};  // zero: the engine decides
};
/// Subscribe to endpoint updates.
struct SubscribeEndpoints {};
/// Send all entries to every peer; entries that exceed one message are dropped.
struct SendGossip {
  std::vector<GossipEntry> entries;
};
/// Write a line to the log.
struct Log {
  std::string text;
};

using Action = std::variant<Send, Cancel, Reject, Fail, SetTimer, Probe, SetResourceGrant, SubscribeEndpoints,
                            SendGossip, Log>;

/// Visits a state field by field, always in the same order, to hash it, serialize it or restore it. Times are
/// seconds on the clock of the visited object.
class StateVisitor {
 public:
  enum class Name : std::uint8_t { engine, request, session, channel };

  virtual ~StateVisitor() = default;
  /// Whether the visitor sets the fields, to restore a state, instead of reading them.
  [[nodiscard]] virtual bool reads() const { return false; }
  /// The current time of the visited object.
  virtual void clock(double& now) = 0;
  /// The object visited next handled its last event `seconds` before the visit.
  virtual void behind(double /*seconds*/) {}
  virtual void number(double& value) = 0;
  /// An integer, boolean or enumeration.
  virtual void integer(std::uint64_t& value) = 0;
  /// A time in the past.
  virtual void since(double& time) = 0;
  /// A time that matters only while it is in the future.
  virtual void until(double& time) = 0;
  /// The time of an event that is counted over a sliding window.
  virtual void counted(double& time) { since(time); }
  /// An identifier; the visitor may replace it by another, for example to normalize ids.
  virtual void name(Name kind, std::uint64_t& id) = 0;
  /// The state of a random number generator.
  virtual void generator(std::mt19937_64& state) = 0;
  /// Starts a container; `in_order` is whether the order of its entries matters. Returns the number of
  /// entries, which differs from `entries` only when a state is restored.
  virtual std::size_t table(std::size_t entries, bool in_order) = 0;
  /// Starts the next entry of the container.
  virtual void entry() = 0;
  /// Ends the container.
  virtual void end() = 0;
};

/// One workload manager. It is deterministic: the same settings and events give the same actions.
class WorkloadManager {
 public:
  explicit WorkloadManager(Settings settings);
  ~WorkloadManager();
  /// Copies the complete state: the copy reacts to further events as the original would.
  WorkloadManager(const WorkloadManager& other);
  WorkloadManager(WorkloadManager&&) noexcept;
  WorkloadManager& operator=(WorkloadManager&&) noexcept;

  /// Handles one event and appends the actions that follow to `actions`. `now` must not decrease. A
  /// request whose id is in use or whose class is unknown is answered with Fail.
  void handle(TimePoint now, const Event& event, std::vector<Action>& actions);

  /// Visits all state that future decisions depend on, except the settings, as of the last event.
  void visit(StateVisitor& visitor);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace paddlestand

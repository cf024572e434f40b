// The interface of the decision module: its settings, its events, its actions. Types only.
// The decisions themselves are in src/workload_manager.cpp.
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

enum class Repeat : std::uint8_t { safe, keyed, unsafe };
enum class KeyScope : std::uint8_t { all, zone, cell };
enum class EngineState : std::uint8_t { gone, ready, draining };
enum class FleetScope : std::uint8_t { delta, full, cached, failed };
enum class Shortage : std::uint8_t { wait_in_line, cut_grant, overcommit };
enum class NoteKind : std::uint8_t { progress, spilling, waiting };

// How an attempt or a probe ended.
enum class Result : std::uint8_t {
  served,
  engine_error,  // may have run
  full,  // never ran: turned away
  timed_out,  // may have run, may still run
  connect_failed,  // never ran
  reset,  // may have run
  cancelled,  // may have run
  moot,  // never ran: not sent at all
};

struct ClassSettings {
  std::string name;
  Duration aim{};
  double aim_stretch{};  // the aim grows by this times the query's work over its threads
  Duration deadline{};
  double worth{};
  double late_worth{};  // share of the worth for an answer after the aim
  Repeat repeat{};
  KeyScope key_scope{};
  Duration key_window{};  // keyed: how long engines remember a repeat
  bool in_turn{};
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

struct AttemptBudget {
  double floor{};
  double share{};
  Duration window{};
};

struct Settings {
  std::uint32_t instances{};
  std::uint32_t position{};
  std::uint64_t seed{};
  std::uint32_t zone{};
  Duration clock_step{};  // the shortest time between two calls
  std::vector<ClassSettings> classes;
  std::vector<KindSettings> kinds;
  std::vector<TenantSettings> tenants;
  bool fleet_by_request{};  // changes of the fleet come only when asked for
  bool grants_heeded{};
  bool priorities_heeded{};
  bool answers_tell_cost{};
  double largest_grant_share{};
  Shortage when_memory_short{};
  Duration note_period{};  // zero: no notes of progress
  bool may_cancel{};
  bool may_probe{};
  bool may_advise_retry{};
  bool may_run_twice_at_once{};
  bool may_tell_peers{};
  // In points of the worth of a mean request: for each attempt that leaves the zone, each 256 bytes that
  // a peer is told.
  double zone_price{};
  double tell_price{};
  double told_attempt_bytes{};  // that a told attempt takes in a message
  std::uint32_t most_attempts{};
  Duration longest_retry_advice{};
  Duration answer_slack{};
  Duration drain_grace{};
  double cold_share{};  // a starting engine has this share of its capacity, or more
  Duration cold_time{};
  double fall_multiple{};
  Duration fall_window{};
  Duration order_settle{};
  Duration send_delay{};  // what is sent may go out so much later: its link must come up first
  std::optional<AttemptBudget> attempt_budget;
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
struct FleetChanged {
  FleetScope scope{};
  std::span<const EngineEntry> engines;  // valid only during the call
};
struct RequestArrived {
  RequestId request{};
  std::uint32_t class_index{};
  std::uint32_t tenant{};
  std::uint64_t order_key{};  // zero: none
  Duration patience{};
  std::optional<Duration> told_cost;  // the work of all threads, as time on one
  double told_memory_mb{};  // zero: not told
  double tables{};
  bool repeated{};
};
struct AnswerStarted {
  RequestId request{};
};
struct Note {
  RequestId request{};
  std::uint32_t attempt{};
  NoteKind kind{};
  double level{};
};
struct AttemptEnded {
  RequestId request{};
  std::uint32_t attempt{};
  EngineId engine{};
  Result result{};
  Duration took{};
  bool request_over{};
  std::optional<Duration> work;  // served: the work that it needed, where told
  std::optional<double> memory_mb;  // served: the memory that it needed, where told
  LoadReport report;
};
struct ClientLeft {
  RequestId request{};
};
struct TimerFired {
  std::uint32_t token{};
};
struct ProbeEnded {
  EngineId engine{};
  Result result{};
  Duration took{};
  LoadReport report;
};
struct ToldAttempt {
  EngineId engine{};
  double threads{};
  double memory_share{};  // granted, of the engine's memory
};
struct PeerMessage {
  std::uint32_t author{};  // position of the peer
  std::span<const ToldAttempt> out;  // what it told of its attempts that are out; valid only during the call
};

using Event = std::variant<FleetChanged, RequestArrived, AnswerStarted, Note, AttemptEnded, ClientLeft,
                           TimerFired, ProbeEnded, PeerMessage>;

// Actions.
struct Send {
  RequestId request{};
  EngineId engine{};
  Duration time_out{};
};
struct Cancel {
  RequestId request{};
  std::uint32_t attempt{};
};
struct Refuse {
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
struct SetTerms {
  RequestId request{};
  std::uint8_t priority{};  // 0 to 3
  double memory_mb{};  // zero: the engine's choice
};
struct SubscribeFleet {};
struct TellPeers {  // all of them; what does not fit in one message is left out
  std::vector<ToldAttempt> out;
};
struct Log {
  std::string text;
};

using Action =
    std::variant<Send, Cancel, Refuse, Fail, SetTimer, Probe, SetTerms, SubscribeFleet, TellPeers, Log>;

// Walks over a state, field by field, always in the same order: to digest it, to write it down, to read it
// back. Times are seconds on the clock of what is walked over; `since` lies in the past, `until` matters only
// while it lies ahead. A table's entries are each announced by entry(); where a state is read back, table()
// tells how many to read.
class StateVisitor {
 public:
  enum class Name : std::uint8_t { engine, request, session, link };

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

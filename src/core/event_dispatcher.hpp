/// Processes events one at a time: the actions that follow from an event are executed before the next event
/// is processed. Events that arrive in between are queued, with one exception: when the socket has accepted a
/// query's last byte, the query coordinator is notified before any other event. Otherwise an attempt that may
/// run would be treated as one that never ran.
///
/// No I/O and no clock: HostInterface provides both. Not thread-safe.
#pragma once

#include <deque>
#include <optional>

#include "invariant_monitor.hpp"
#include "query_coordinator.hpp"
#ifdef PADDLESTAND_SEEDED_DEFECTS
#include "seeded_coordinator.hpp"
#endif

namespace paddlestand::core {

namespace parts {
#ifdef PADDLESTAND_SEEDED_DEFECTS
using Coordinator = SeededCoordinator;
#else
using Coordinator = QueryCoordinator;
#endif
}  // namespace parts

/// Implemented by a host: provides the clock and executes actions. It may call EventDispatcher::dispatch
/// while it executes an action.
class HostInterface {
 public:
  virtual ~HostInterface() = default;
  [[nodiscard]] virtual TimePoint now() = 0;
  /// Called just before the query coordinator gets the event.
  virtual void on_event(const CoreEvent&) {}
  virtual WriteResult send(const SendQuery& action) = 0;
  virtual WriteResult send(const SendProbe& action) = 0;
  virtual void execute(const OpenChannel& action) = 0;
  virtual void execute(const CancelOnEngine& action) = 0;
  virtual void execute(const UpdateResourceGrant& action) = 0;
  virtual void execute(const CloseChannel& action) = 0;
  virtual void execute(const Deliver& action) = 0;
  virtual void execute(const Discard& action) = 0;
  virtual void execute(const PauseChannel& action) = 0;
  virtual void execute(const ResumeChannel& action) = 0;
  virtual void execute(const Answer& action) = 0;
  virtual void execute(const LogMessage& action) = 0;
  virtual void execute(const ShutdownComplete& action) = 0;
  /// Called when the monitor detects a violation of an invariant.
  virtual void on_violation(const InvariantViolation& violation) = 0;

 protected:
  HostInterface() = default;
  HostInterface(const HostInterface&) = default;
  HostInterface& operator=(const HostInterface&) = default;
};

class EventDispatcher {
 public:
  /// `watch`: whether events and actions are checked against the invariants (docs/invariants.md).
  EventDispatcher(const CoreSettings& settings, bool watch);

  /// Processes an event, after those that are pending.
  void dispatch(CoreEvent event, HostInterface& host);
  /// Whether an event is being processed, so that a further one would be queued.
  [[nodiscard]] bool is_dispatching() const { return dispatching_; }
  /// Ignores all events from now on.
  void stop() { stopped_ = true; }

  /// When the next TimerExpired is due, if any.
  [[nodiscard]] std::optional<TimePoint> due() const { return coordinator_.due(); }
  [[nodiscard]] Counts counts() const { return coordinator_.counts(); }
  [[nodiscard]] const QueryCoordinator& coordinator() const { return coordinator_; }
  [[nodiscard]] QueryCoordinator& coordinator() { return coordinator_; }
  [[nodiscard]] const std::optional<InvariantMonitor>& monitor() const { return monitor_; }
  void visit(StateVisitor& visitor);

 private:
  void process(const CoreEvent& event, HostInterface& host);
  void execute(const HostAction& action, HostInterface& host);
  void on_written(ChannelId channel, WriteResult result, HostInterface& host);
  void report_violations(HostInterface& host);

  parts::Coordinator coordinator_;
  std::optional<InvariantMonitor> monitor_;
  std::vector<HostAction> actions_;  // of the current event; a member to reuse its memory
  std::deque<CoreEvent> pending_events_;  // bounded: a few for each action of one event
  bool dispatching_ = false;
  bool stopped_ = false;
};

}  // namespace paddlestand::core

// Takes events one after another and has what follows from each carried out before the next is taken. What is
// told meanwhile waits its turn, except for one thing: whether a query's last byte was handed over is known
// to the query coordinator before anything else is, or an attempt that may run would pass for one that never
// did.
//
// No I/O, no clock: `HostInterface` are the host's. Not thread-safe.
#pragma once

#include <deque>
#include <optional>

#include "invariant_monitor.hpp"
#include "query_coordinator.hpp"

namespace paddlestand::core {

enum class WriteResult : std::uint8_t {
  complete,  // the socket took the last byte
  partial,  // QuerySent or ChannelLost is told later
  failed,  // nothing, or not all, was handed over, and the channel is gone
  suppressed,  // nothing was handed over, and nothing may be: no fault of the channel
};

// A host's. All but `execute` may be left as they are. It may call EventDispatcher::tell while it carries
// out.
class HostInterface {
 public:
  virtual ~HostInterface() = default;
  [[nodiscard]] virtual TimePoint now() = 0;
  virtual void on_event(const CoreEvent&) {}  // just before the query coordinator gets it
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
  virtual void on_violation(
      const InvariantViolation& violation) = 0;  // the manager broke a invariant of its own

 protected:
  HostInterface() = default;
  HostInterface(const HostInterface&) = default;
  HostInterface& operator=(const HostInterface&) = default;
};

class EventDispatcher {
 public:
  // `watch`: what is told and done is held against the invariants (docs/invariants.md).
  EventDispatcher(CoreSettings settings, bool watch);

  // Takes an event now, or after those that wait.
  void dispatch(CoreEvent event, HostInterface& host);
  // Whether an event is being taken, so that a further one would wait.
  [[nodiscard]] bool is_dispatching() const { return dispatching_; }
  // From here on nothing is taken any more.
  void stop() { stopped_ = true; }

  [[nodiscard]] std::optional<TimePoint> due() const { return coordinator_.due(); }
  [[nodiscard]] Counts counts() const { return coordinator_.counts(); }
  [[nodiscard]] const QueryCoordinator& coordinator() const { return coordinator_; }
  [[nodiscard]] QueryCoordinator& coordinator() { return coordinator_; }
  [[nodiscard]] const std::optional<InvariantMonitor>& monitor() const { return monitor_; }
  void visit(StateVisitor& visitor);

 private:
  void take(const CoreEvent& event, HostInterface& host);
  void sent(ChannelId channel, WriteResult how, HostInterface& host);
  void report(HostInterface& host);

  QueryCoordinator coordinator_;
  std::optional<InvariantMonitor> monitor_;
  std::vector<HostAction> effects_;  // of the present turn; kept for its room
  std::deque<CoreEvent>
      pending_events_;  // bounded by what one event can cause: a few for each of its effects
  bool dispatching_ = false, stopped_ = false;
};

}  // namespace paddlestand::core

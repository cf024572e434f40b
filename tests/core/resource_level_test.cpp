// A long run in which engines, ids and keys are never reused: the state kept for them must stay bounded.
#include <gtest/gtest.h>

#include "coordinator_harness.hpp"
#include "core/invariant_monitor.hpp"

namespace paddlestand::core::test {
namespace {

/// A coordinator and a monitor of the same events and actions.
class MonitoredCoordinator {
 public:
  explicit MonitoredCoordinator(const CoreSettings& settings) : coordinator(settings), monitor(settings) {}

  std::vector<HostAction> handle(const CoreEvent& event) {
    std::vector<HostAction> actions;
    monitor.on_event(now_, event);
    coordinator.handle(now_, event, actions);
    coordinator.check();
    for (const HostAction& action : actions) monitor.on_action(now_, action);
    return actions;
  }

  void advance(Duration by) {
    const TimePoint until = now_ + by;
    for (auto due = coordinator.due(); due && *due <= until; due = coordinator.due()) {
      now_ = std::max(now_, *due);
      handle(TimerExpired{});
    }
    now_ = until;
  }

  /// Number of entries in all tables of the coordinator and the monitor.
  [[nodiscard]] std::size_t entries() {
    EntryCounter found;
    coordinator.visit(found);
    monitor.visit(found);
    return found.total;
  }

  QueryCoordinator coordinator;
  InvariantMonitor monitor;

 private:
  TimePoint now_{1h};
};

std::optional<ChannelId> opened_channel(const std::vector<HostAction>& actions) {
  std::optional<ChannelId> channel;
  for (const HostAction& action : actions)
    if (const auto* open = std::get_if<OpenChannel>(&action)) channel = open->channel;
  return channel;
}

/// One query with an ordering key that is never used again, from its session's start to its end.
void run_query(MonitoredCoordinator& manager, QueryId query, bool is_answered) {
  manager.handle(SessionOpened{query});
  const auto channel =
      opened_channel(manager.handle(QueryArrived{query, query, 1, 0, query * 77, 5s, 20ms, 0, 0, false}));
  ASSERT_TRUE(channel);
  manager.handle(ChannelOpened{*channel});
  manager.handle(QuerySent{*channel});
  if (is_answered) {
    manager.handle(AnswerEnd{*channel, Ending::complete, 10, true, 10ms, 1.0, {}});
  } else {
    manager.handle(ChannelLost{*channel, ChannelLossReason::closed});
  }
  manager.handle(SessionClosed{query});
}

TEST(ResourceLevel, StateOfRemovedEnginesAndFinishedKeysIsReleased) {
  CoreSettings settings = small_core();
  settings.idle_channels_per_engine = 0;
  MonitoredCoordinator manager(settings);

  std::size_t after_a_hundred = 0;
  for (EngineId generation = 1; generation <= 400; ++generation) {
    manager.handle(EndpointsUpdated{EndpointUpdate::delta, {entry(generation)}});
    for (std::uint64_t i = 0; i < 3; ++i)
      ASSERT_NO_FATAL_FAILURE(run_query(manager, std::uint64_t{generation} * 10 + i, i != 2));
    manager.handle(EndpointsUpdated{EndpointUpdate::delta, {entry(generation, EngineState::draining)}});
    manager.handle(EndpointsUpdated{EndpointUpdate::delta, {entry(generation, EngineState::removed)}});
    manager.advance(1s);
    if (generation == 100) after_a_hundred = manager.entries();
  }

  for (const InvariantViolation& violation : manager.monitor.violations()) ADD_FAILURE() << violation.what;
  EXPECT_EQ(manager.coordinator.counts().channels, 0U);
  EXPECT_EQ(manager.coordinator.counts().sessions, 0U);
  // The module remembers an engine until its statistics have decayed, for about half a minute.
  EXPECT_LE(manager.entries(), after_a_hundred + 8);
  EXPECT_LE(after_a_hundred, 1200U);
}

}  // namespace
}  // namespace paddlestand::core::test

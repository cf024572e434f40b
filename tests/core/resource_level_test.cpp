// Long service: engines, ids and keys are ever new, and what is kept of them does not grow.
#include <gtest/gtest.h>

#include "coordinator_harness.hpp"
#include "core/invariant_monitor.hpp"

namespace paddlestand::core::test {
namespace {

TEST(Level, GenerationsOfEnginesAndKeysLeaveNothingBehind) {
  CoreSettings settings = small_core();
  settings.idle_channels_per_engine = 0;
  QueryCoordinator coordinator(settings);
  InvariantMonitor monitor(settings);
  TimePoint now = 1h;
  std::vector<HostAction> effects;
  const auto handle = [&](const CoreEvent& event) {
    monitor.on_event(now, event);
    effects.clear();
    coordinator.handle(now, event, effects);
    coordinator.check();
    for (const HostAction& action : effects) monitor.on_action(now, action);
    return effects;
  };
  const auto entries = [&] {
    Entries found;
    coordinator.visit(found);
    monitor.visit(found);
    return found.all;
  };
  std::size_t after_a_hundred = 0;
  for (EngineId generation = 1; generation <= 400; ++generation) {
    handle(EndpointsUpdated{EndpointUpdate::delta, {entry(generation)}});
    for (std::uint64_t i = 0; i < 3; ++i) {
      const QueryId query = generation * 10 + i;
      handle(SessionOpened{query});
      // In turn by a key that never comes again, keyed; the last is never answered by its engine.
      auto did = handle(QueryArrived{query, query, 1, 0, query * 77, 5s, 20ms, 0, 0, false});
      std::optional<ChannelId> channel;
      for (const HostAction& action : did)
        if (const auto* open = std::get_if<OpenChannel>(&action)) channel = open->channel;
      ASSERT_TRUE(channel);
      handle(ChannelOpened{*channel});
      handle(QuerySent{*channel});
      if (i == 2) {
        handle(ChannelLost{*channel, ChannelLossReason::closed});
      } else {
        handle(AnswerEnd{*channel, Ending::complete, 10, true, 10ms, 1.0, {}});
      }
      handle(SessionClosed{query});
    }
    handle(EndpointsUpdated{EndpointUpdate::delta, {entry(generation, EngineState::draining)}});
    handle(EndpointsUpdated{EndpointUpdate::delta, {entry(generation, EngineState::removed)}});
    const TimePoint until = now + 1s;
    for (auto due = coordinator.due(); due && *due <= until; due = coordinator.due()) {
      now = std::max(now, *due);
      handle(TimerExpired{});
    }
    now = until;
    if (generation == 100) after_a_hundred = entries();
  }
  for (const InvariantViolation& violation : monitor.violations()) ADD_FAILURE() << violation.what;
  EXPECT_EQ(coordinator.counts().channels, 0U);
  EXPECT_EQ(coordinator.counts().sessions, 0U);
  // The module remembers an engine for as long as what it saw of it has not faded: half a minute of them.
  EXPECT_LE(entries(), after_a_hundred + 8);
  EXPECT_LE(after_a_hundred, 1200U);
}

}  // namespace
}  // namespace paddlestand::core::test

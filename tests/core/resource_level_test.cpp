// Long service: engines, ids and keys are ever new, and what is kept of them does not grow.
#include <gtest/gtest.h>

#include "core/promises.hpp"
#include "core_desk.hpp"

namespace paddlestand::core::test {
namespace {

TEST(Level, GenerationsOfEnginesAndKeysLeaveNothingBehind) {
  CoreSettings settings = small_core();
  settings.idle_links_per_engine = 0;
  Conductor conductor(settings);
  Promises promises(settings);
  TimePoint now = 1h;
  std::vector<Effect> effects;
  const auto handle = [&](const CoreEvent& event) {
    promises.told(now, event);
    effects.clear();
    conductor.handle(now, event, effects);
    conductor.check();
    for (const Effect& effect : effects) promises.did(now, effect);
    return effects;
  };
  const auto entries = [&] {
    Entries found;
    conductor.visit(found);
    promises.visit(found);
    return found.all;
  };
  std::size_t after_a_hundred = 0;
  for (EngineId generation = 1; generation <= 400; ++generation) {
    handle(FleetTold{FleetScope::delta, {entry(generation)}});
    for (std::uint64_t i = 0; i < 3; ++i) {
      const QueryId query = generation * 10 + i;
      handle(SessionOpened{query});
      // In turn by a key that never comes again, keyed; the last is never answered by its engine.
      auto did = handle(QueryArrived{query, query, 1, 0, query * 77, 5s, 20ms, 0, 0, false});
      std::optional<LinkId> link;
      for (const Effect& effect : did)
        if (const auto* open = std::get_if<OpenLink>(&effect)) link = open->link;
      ASSERT_TRUE(link);
      handle(LinkUp{*link});
      handle(QuerySent{*link});
      if (i == 2) {
        handle(LinkLost{*link, LinkLoss::closed});
      } else {
        handle(AnswerEnd{*link, Ending::complete, 10, true, 10ms, 1.0, {}});
      }
      handle(SessionClosed{query});
    }
    handle(FleetTold{FleetScope::delta, {entry(generation, EngineState::draining)}});
    handle(FleetTold{FleetScope::delta, {entry(generation, EngineState::gone)}});
    const TimePoint until = now + 1s;
    for (auto due = conductor.due(); due && *due <= until; due = conductor.due()) {
      now = std::max(now, *due);
      handle(TimeCame{});
    }
    now = until;
    if (generation == 100) after_a_hundred = entries();
  }
  for (const Breach& breach : promises.breaches()) ADD_FAILURE() << breach.what;
  EXPECT_EQ(conductor.counts().links, 0U);
  EXPECT_EQ(conductor.counts().sessions, 0U);
  // The module remembers an engine for as long as what it saw of it has not faded: half a minute of them.
  EXPECT_LE(entries(), after_a_hundred + 8);
  EXPECT_LE(after_a_hundred, 1200U);
}

}  // namespace
}  // namespace paddlestand::core::test

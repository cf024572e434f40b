// Gossip between managers, checked on the whole manager by scripted events.
#include <gtest/gtest.h>

#include "manager_harness.hpp"

namespace paddlestand::test {
namespace {

Settings with_gossip() {
  Settings settings = small_site();
  settings.instances = 10;
  settings.engines_honor_grants = true;
  settings.memory_shortage = MemoryShortage::overcommit;
  settings.may_gossip = true;
  settings.gossip_price = 0.01;
  settings.gossip_entry_bytes = 3;
  return settings;
}

int messages_sent(const ManagerHarness& harness) {
  int count = 0;
  for (const auto& [at, action] : harness.log()) count += std::holds_alternative<SendGossip>(action) ? 1 : 0;
  return count;
}

TEST(PeerGossip, StartsAndEndsAreAnnouncedAtALimitedRate) {
  ManagerHarness harness(with_gossip());
  harness.fleet({engine(1), engine(2), engine(3), engine(4)});
  harness.advance(1s);
  harness.request(1, 1, 1s, 0, 15s);
  ASSERT_EQ(messages_sent(harness), 1);
  harness.end(1, AttemptResult::served, 1s);
  harness.advance(1s);
  EXPECT_EQ(messages_sent(harness), 2);
  harness.advance(60s);
  EXPECT_EQ(messages_sent(harness), 2);  // nothing is in flight, nothing to announce
  for (RequestId id = 10; id < 3000; ++id) {
    harness.request(id, 1, 1s, 0, 15s);
    if (harness.sends(id) > 0) harness.end(id, AttemptResult::served, 1s);
    harness.advance(1ms);
  }
  EXPECT_LE(messages_sent(harness), 2 + 3 + 3 * 35);  // 350 deliveries a second, over ten managers
}

TEST(PeerGossip, AnEngineThatPeersHaveFilledIsAvoidedUntilTheirGossipExpires) {
  ManagerHarness harness(with_gossip());
  harness.fleet({engine(1), engine(2)});
  harness.advance(1s);
  const std::vector<GossipEntry> out{{1, 4, 0.4}, {1, 4, 0.4}, {77, 4, 0.4}};
  harness.handle(GossipReceived{3, out});
  for (RequestId id = 1; id <= 8; ++id) {
    harness.request(id, 1, 1s, 0, 15s);
    harness.end(id, AttemptResult::served, 1s);
  }
  EXPECT_EQ(harness.sends_to(1), 0);
  harness.advance(6s);
  for (RequestId id = 11; id <= 30; ++id) {
    harness.request(id, 1, 1s, 0, 15s);
    harness.end(id, AttemptResult::served, 1s);
  }
  EXPECT_GT(harness.sends_to(1), 0);
}

TEST(PeerGossip, MessagesOfUnknownAuthorsAndOfItselfAreIgnored) {
  ManagerHarness harness(with_gossip());
  harness.fleet({engine(1)});
  harness.advance(1s);
  const std::vector<GossipEntry> out{{1, 7, 0.4}, {1, 7, 0.4}, {1, 7, 0.4}};
  for (const std::uint32_t author : {0U, 10U, 65535U, 4000000000U})
    harness.handle(GossipReceived{author, out});
  harness.request(1, 1, 1s, 0, 15s);
  EXPECT_EQ(harness.sends(1), 1);
}

TEST(PeerGossip, NothingIsAnnouncedWhereItIsNotAllowedOrTooExpensive) {
  for (const bool allowed : {false, true}) {
    Settings settings = with_gossip();
    settings.may_gossip = allowed;
    if (allowed) settings.gossip_price = 10;
    ManagerHarness harness(settings);
    harness.fleet({engine(1)});
    harness.advance(1s);
    harness.request(1, 1, 1s, 0, 15s);
    harness.advance(3s);
    EXPECT_EQ(messages_sent(harness), 0);
  }
}

}  // namespace
}  // namespace paddlestand::test

#include "decision/peer_gossip.hpp"

#include <gtest/gtest.h>

#include "decision_fixture.hpp"

namespace paddlestand::decision {
namespace {

Settings with_peers() {
  Settings settings = test::small_deployment();
  settings.instances = 3;
  settings.may_gossip = true;
  settings.memory_shortage = MemoryShortage::overcommit;
  return settings;
}

TEST(PeerGossip, AnAnnouncementReplacesTheEarlierOneOfItsAuthor) {
  DecisionFixture fixture(with_peers());
  const Engine& engine = fixture.add_engine(1);
  const std::vector<GossipEntry> earlier{{1, 4, 0.25}, {99, 4, 0.25}};
  const std::vector<GossipEntry> later{{1, 2, 0.125}};

  fixture.gossip.receive({1, earlier});
  EXPECT_EQ(engine.peer_threads, 4);
  EXPECT_EQ(engine.peer_memory, 4096);

  fixture.gossip.receive({1, later});
  EXPECT_EQ(engine.peer_threads, 2);
  EXPECT_EQ(engine.peer_memory, 2048);
}

TEST(PeerGossip, AnnouncementsOfASilentPeerExpire) {
  DecisionFixture fixture(with_peers());
  const Engine& engine = fixture.add_engine(1);
  const std::vector<GossipEntry> entries{{1, 4, 0.25}};
  fixture.gossip.receive({1, entries});

  fixture.state.now = 4.9;
  fixture.gossip.expire();
  EXPECT_EQ(engine.peer_threads, 4);

  fixture.state.now = 5;
  fixture.gossip.expire();
  EXPECT_EQ(engine.peer_threads, 0);
}

TEST(PeerGossip, AnnouncedAttemptsAreSentWithTheirShareOfMemory) {
  DecisionFixture fixture(with_peers());
  Engine& engine = fixture.add_engine(1);
  Request& request = fixture.add_request(1);
  request.estimated_memory = 819.2;  // the grant is a quarter larger: 1/16 of the engine's memory
  fixture.state.classes[0].is_announced = true;
  fixture.state.now = 1;
  fixture.lifecycle.start_attempt(request, engine);

  fixture.gossip.send_if_due();

  const auto messages = fixture.emitted<SendGossip>();
  ASSERT_EQ(messages.size(), 1U);
  ASSERT_EQ(messages[0].entries.size(), 1U);
  EXPECT_EQ(messages[0].entries[0].engine, 1U);
  EXPECT_DOUBLE_EQ(messages[0].entries[0].memory_share, 0.0625);
  EXPECT_EQ(fixture.state.unannounced_memory, 0);
}

}  // namespace
}  // namespace paddlestand::decision

// Tests of the complete manager.
namespace paddlestand::test {
namespace {

Settings with_gossip() {
  Settings settings = small_deployment();
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
  EXPECT_EQ(messages_sent(harness), 2);  // nothing is in flight, so nothing is announced
  for (RequestId id = 10; id < 3000; ++id) {
    harness.request(id, 1, 1s, 0, 15s);
    if (harness.sends(id) > 0) harness.end(id, AttemptResult::served, 1s);
    harness.advance(1ms);
  }
  EXPECT_LE(messages_sent(harness), 2 + 3 + 3 * 35);  // 350 messages per second, divided among ten managers
}

TEST(PeerGossip, AnEngineFilledByPeersIsAvoidedUntilTheirAnnouncementsExpire) {
  ManagerHarness harness(with_gossip());
  harness.fleet({engine(1), engine(2)});
  harness.advance(1s);
  const std::vector<GossipEntry> entries{{1, 4, 0.4}, {1, 4, 0.4}, {77, 4, 0.4}};
  harness.handle(GossipReceived{3, entries});
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
  const std::vector<GossipEntry> entries{{1, 7, 0.4}, {1, 7, 0.4}, {1, 7, 0.4}};
  for (const std::uint32_t author : {0U, 10U, 65535U, 4000000000U})
    harness.handle(GossipReceived{author, entries});
  harness.request(1, 1, 1s, 0, 15s);
  EXPECT_EQ(harness.sends(1), 1);
}

TEST(PeerGossip, NothingIsAnnouncedIfGossipIsNotAllowedOrTooExpensive) {
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

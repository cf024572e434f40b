// The command channel of a running server: events, reloads, successive engines at one address.
#include "peers.hpp"

namespace paddlestand::platform::test {
namespace {

using namespace std::string_literals;

using DiscoveryTest = PlatformServerTest;
using DiscoveryTwoEngineTest = TwoEngineTest;

/// Serves the given number of requests of a client, on connections to one engine.
void serve_all(const Listener& listener, RawClient& client, int requests) {
  for (int i = 0; i < requests;) {
    EnginePeer engine(listener);
    ASSERT_TRUE(engine.is_open());
    const auto request = engine.next();
    ASSERT_TRUE(request);
    engine.answer(0, request->id, "parts=1", "a\tb\tc\n");
    EXPECT_EQ(client.outcome(), "served:a\tb\tc\n");
    ++i;
    while (i < requests) {
      const auto more = engine.next(100);
      if (!more) break;
      engine.answer(0, more->id, "parts=1", "a\tb\tc\n");
      EXPECT_EQ(client.outcome(), "served:a\tb\tc\n");
      ++i;
    }
  }
}

TEST_F(DiscoveryTwoEngineTest, EventsAreAppliedOnceAndAMissingOneIsRequested) {
  RunningServer server(config());
  DiscoveryPeer discovery_peer(discovery_listener_);

  EXPECT_EQ(discovery_peer.requested_after, 1U);

  discovery_peer.send_event(2, {engine_record(2, engine_listeners_[1].port(), EngineState::draining)});
  discovery_peer.send_event(2, {engine_record(2, engine_listeners_[1].port())});  // a duplicate is ignored
  EXPECT_TRUE(wait_until([&] { return server.last_event() == 2; }));

  discovery_peer.send_event(4, {engine_record(1, engine_listeners_[0].port(), EngineState::removed)});
  EXPECT_TRUE(discovery_peer.wire.is_closed_by_peer());

  DiscoveryPeer second_peer(discovery_listener_);
  EXPECT_EQ(second_peer.requested_after, 2U);

  std::string partial_event;
  discovery::Event three;
  three.number = 3;
  three.records = {engine_record(3, engine_listeners_[0].port())};
  discovery::put_event(partial_event, three);
  second_peer.wire.write(partial_event.substr(0, 20));
  second_peer.wire.close();  // within an event
  DiscoveryPeer third_peer(discovery_listener_);
  EXPECT_EQ(third_peer.requested_after, 2U);

  third_peer.wire.write(partial_event);
  EXPECT_TRUE(wait_until([&] { return server.last_event() == 3; }));

  // The draining engine gets no requests; the successive engines at the other address do.
  RawClient client(server.port());
  for (int i = 1; i <= 4; ++i) client.send_request(i, 0x100U + static_cast<unsigned>(i));
  ASSERT_NO_FATAL_FAILURE(serve_all(engine_listeners_[0], client, 4));
  EXPECT_FALSE(EnginePeer(engine_listeners_[1], 0).is_open());
}

TEST_F(DiscoveryTest, AReloadMovesToAnotherCommandChannelAndAnInvalidFileChangesNothing) {
  const std::string path =
      ::testing::TempDir() + "paddlestand-platform-" + std::to_string(::getpid()) + ".json";
  RunningServer server(config(), path);
  DiscoveryPeer old_peer(discovery_listener_);

  old_peer.send_event(2, {engine_record(9, engine_listeners_[0].port())});
  EXPECT_TRUE(wait_until([&] { return server.last_event() == 2; }));

  RawClient client(server.port());
  client.send_request(1, 0x900);
  EnginePeer engine(engine_listeners_[0]);
  ASSERT_TRUE(engine.next());

  std::ofstream(path) << "{\"name\":";  // incomplete JSON
  server.reload();
  Listener new_listener;
  std::ofstream(path) << config_text(new_listener.port());  // read by a retry, without another signal
  DiscoveryPeer next(new_listener);
  EXPECT_EQ(next.requested_after, 2U);
  EXPECT_TRUE(old_peer.wire.is_closed_by_peer());

  server.run([](PlatformServer& p) {
    p.reload();
    p.reload();
    return 0;
  });  // two reloads in a row
  DiscoveryPeer last(new_listener);
  EXPECT_EQ(last.requested_after, 2U);

  engine.answer(0, 0x900, "parts=1", "a\tb\tc\n");
  EXPECT_EQ(client.outcome(), "served:a\tb\tc\n");

  ::unlink(path.c_str());
}

TEST_F(DiscoveryTest, AReloadFindsTheNewCommandChannelWhileTheOldOneIsDown) {
  const std::string path = ::testing::TempDir() + "paddlestand-down-" + std::to_string(::getpid()) + ".json";
  PlatformConfig settings = config();
  {
    Listener closed_listener;  // its port refuses connections after the destructor
    settings.discovery_endpoint.port = closed_listener.port();
  }
  RunningServer server(std::move(settings), path);
  Listener new_listener;
  std::ofstream(path) << config_text(new_listener.port());

  server.reload();
  DiscoveryPeer discovery_peer(new_listener);
  EXPECT_EQ(discovery_peer.requested_after, 1U);

  discovery_peer.send_event(2, {engine_record(9, engine_listeners_[0].port())});
  EXPECT_TRUE(wait_until([&] { return server.last_event() == 2; }));

  ::unlink(path.c_str());
}

// Successive engines with different ids at one address each serve a request.
TEST_F(DiscoveryTest, SuccessiveEnginesLeakNoConnectionAndNoAddress) {
  RunningServer server(config());
  DiscoveryPeer discovery_peer(discovery_listener_);
  RawClient client(server.port());
  std::uint64_t number = 1;

  discovery_peer.send_event(++number, {engine_record(1, engine_listeners_[0].port(), EngineState::removed)});
  for (EngineId generation = 2; generation < 62; ++generation) {
    discovery_peer.send_event(++number, {engine_record(generation, engine_listeners_[0].port())});
    ASSERT_TRUE(wait_until([&] { return server.last_event() == number; }));
    client.send_request(static_cast<int>(generation), 0x4000U + generation);
    EnginePeer engine(engine_listeners_[0]);  // not the connection of the previous engine
    const auto request = engine.next();
    ASSERT_TRUE(request) << generation;
    engine.answer(0, request->id, "parts=1", "a\tb\tc\n");
    ASSERT_EQ(client.outcome(), "served:a\tb\tc\n") << generation;
    discovery_peer.send_event(++number,
                              {engine_record(generation, engine_listeners_[0].port(), EngineState::removed)});
    ASSERT_TRUE(engine.wire().is_closed_by_peer()) << generation;
  }
  EXPECT_TRUE(wait_until([&] { return server.engine_connections() == 0; }));
  EXPECT_EQ(server.engines(), 0U);
  EXPECT_EQ(server.counts().channels, 0U);
  EXPECT_EQ(server.counts().sessions, 0U);
}

// The event arrives in the same turn of the event loop in which the silence timeout fires: it is applied or
// requested again.
TEST_F(DiscoveryTwoEngineTest, AnEventDuringTheHeartbeatTimeoutIsNotLost) {
  RunningServer server(config());
  std::optional<DiscoveryPeer> discovery_peer;

  discovery_peer.emplace(discovery_listener_);
  server.run([&](PlatformServer&) {
    std::this_thread::sleep_for(2300ms);  // longer than the silence timeout
    discovery_peer->send_event(2, {engine_record(3, engine_listeners_[0].port())});
    return 0;
  });
  if (!wait_until([&] { return server.last_event() == 2 || !discovery_peer->wire.read(1); })) FAIL();
  if (server.last_event() == 2) return;
  DiscoveryPeer second_peer(discovery_listener_);
  EXPECT_EQ(second_peer.requested_after, 1U);

  second_peer.send_event(2, {engine_record(3, engine_listeners_[0].port())});
  EXPECT_TRUE(wait_until([&] { return server.last_event() == 2; }));
}

}  // namespace
}  // namespace paddlestand::platform::test

// Starting without a command channel, and graceful shutdown after SIGTERM.
#include <atomic>

#include "peers.hpp"

namespace paddlestand::platform::test {
namespace {

using namespace std::string_literals;

using GracefulShutdownTest = PlatformServerTest;

// A restarted server knows the engines from its configuration but can't reach the command channel.
TEST_F(GracefulShutdownTest, AServerStartedWithoutACommandChannelIsReadyAndServes) {
  PlatformConfig settings = config();
  std::optional<Listener> closed_listener(std::in_place);
  settings.discovery_endpoint.port = closed_listener->port();
  closed_listener.reset();
  RunningServer server(std::move(settings));
  RawClient client(server.port());

  client.wire().write("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"isWell\"}\n");
  const auto health = client.next();
  ASSERT_TRUE(health.is_object());
  EXPECT_TRUE(health.as_object().at("result").as_object().at("green").as_bool());

  client.send_request(2, 0xb1);
  EnginePeer engine(engine_listeners_[0]);
  ASSERT_TRUE(engine.next());

  engine.answer(0, 0xb1, "parts=1", "a\tb\tc\n");
  EXPECT_EQ(client.outcome(), "served:a\tb\tc\n");
}

// SIGTERM while a reload is retried because of an unreadable file, the command channel is down and an engine
// hangs.
TEST_F(GracefulShutdownTest, AShutdownDuringAReloadWithoutACommandChannelCompletes) {
  const std::string path =
      ::testing::TempDir() + "paddlestand-shutdown-" + std::to_string(::getpid()) + ".json";
  std::ofstream(path) << "{\"name\":";
  PlatformConfig settings = config();

  for (ClassSettings& class_settings : settings.core.module.classes) class_settings.deadline = 400ms;
  std::optional<Listener> closed_listener(std::in_place);
  settings.discovery_endpoint.port = closed_listener->port();
  closed_listener.reset();
  boost::asio::io_context io(1);
  PlatformServer platform(io, std::move(settings), path, false);
  platform.start();
  std::thread loop([&] { io.run(); });
  RawClient client(platform.port());
  client.wire().write(RawClient::request_line(1, 0xb2, "report", "", 800));
  EnginePeer engine(engine_listeners_[0]);
  ASSERT_TRUE(engine.next());

  boost::asio::post(io, [&] {
    platform.reload();
    platform.begin_shutdown();
    platform.reload();
  });
  const std::string outcome = client.outcome();
  EXPECT_TRUE(outcome == "error:-32001" || outcome == "error:-32000") << outcome;

  client.wire().close();
  loop.join();
  ::unlink(path.c_str());
}

// Guards against ending the process with a request unread because its client waited for memory: other clients
// keep all of it with half requests until the end.
TEST_F(GracefulShutdownTest, ARequestThatWaitsForMemoryIsAnsweredBeforeTheEnd) {
  PlatformConfig settings = config();
  settings.limits.memory_mb = 1;  // allows four large messages at a time
  constexpr std::size_t large_messages = 4;
  for (ClassSettings& class_settings : settings.core.module.classes) class_settings.deadline = 400ms;
  const std::string small = base64("SELECT 1 FROM a_1.b");
  std::string request = RawClient::request_line(1, 0xb3, "report", "", 800);
  request.replace(request.find(small), small.size(), base64("SELECT '" + std::string(20'000, 'x') + "'"));
  boost::asio::io_context io(1);
  PlatformServer platform(io, std::move(settings), "", false);
  platform.start();
  std::atomic<bool> has_ended = false;
  std::thread loop([&] {
    io.run();
    has_ended = true;
  });

  std::vector<RawClient> holders;
  for (std::size_t i = 0; i < large_messages; ++i) {
    holders.emplace_back(platform.port());
    holders.back().wire().write(request.substr(0, 10'000));
  }
  std::this_thread::sleep_for(100ms);
  RawClient client(platform.port());
  client.wire().write(request);
  std::this_thread::sleep_for(100ms);
  boost::asio::post(io, [&] { platform.begin_shutdown(); });
  while (!has_ended) {
    for (RawClient& holder : holders) holder.wire().write_available("x");
    std::this_thread::sleep_for(20ms);
  }
  loop.join();
  platform.close_connections();
  EXPECT_EQ(client.outcome(), "error:-32001");
}

// The kernel has established the connection and received input before the event loop accepts it and the
// listener is closed.
TEST_F(GracefulShutdownTest, AConnectionQueuedInTheKernelIsAcceptedWhenTheListenerCloses) {
  RunningServer server(config());
  const std::uint16_t port = server.port();
  std::vector<RawClient> clients;

  server.run([&](PlatformServer& p) {
    for (int i = 0; i < 3; ++i) {
      clients.emplace_back(port);
      clients.back().send_request(1, 0x61U + static_cast<unsigned>(i));
    }
    p.stop_accepting();
    return 0;
  });
  for (int i = 0; i < 3; ++i) {
    EnginePeer engine(engine_listeners_[0]);
    const auto request = engine.next();
    ASSERT_TRUE(request);
    engine.answer(0, request->id, "parts=1", "a\tb\tc\n");
  }
  for (RawClient& client : clients) EXPECT_EQ(client.outcome(), "served:a\tb\tc\n");
}

// The connection is accepted in the same turn of the event loop in which the listener is closed. The order of
// handlers within a turn is up to the loop, so several turns are tried.
TEST_F(GracefulShutdownTest, AConnectionAcceptedInTheSameTurnAsTheCloseOfTheListenerIsServed) {
  for (int turns = 0; turns < 5; ++turns) {
    RunningServer server(config());
    const std::uint16_t port = server.port();
    std::optional<RawClient> client;
    std::promise<void> closed;
    std::function<void(PlatformServer&, int)> after = [&](PlatformServer& p, int remaining_turns) {
      if (remaining_turns == 0) {
        p.stop_accepting();
        closed.set_value();
        return;
      }
      boost::asio::post(p.io(), [&after, &p, remaining_turns] { after(p, remaining_turns - 1); });
    };
    server.run([&](PlatformServer& p) {
      client.emplace(port);
      client->send_request(1, 0x71);
      after(p, turns);
      return 0;
    });
    closed.get_future().get();
    EnginePeer engine(engine_listeners_[0]);
    ASSERT_TRUE(engine.next()) << turns;
    engine.answer(0, 0x71, "parts=1", "a\tb\tc\n");
    EXPECT_EQ(client->outcome(), "served:a\tb\tc\n") << turns;
  }
}

TEST_F(GracefulShutdownTest, IdleConnectionsAreShutDownAndTheServerStopsOnceTheyAreClosed) {
  PlatformConfig settings = config();
  settings.core.module.may_cancel = false;  // the attempt remains in progress regardless of timing
  boost::asio::io_context io(1);
  PlatformServer platform(io, std::move(settings), "", false);

  platform.start();
  std::thread loop([&] { io.run(); });
  RawClient idle_client(platform.port()), active_client(platform.port());
  idle_client.wire().write("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"isWell\"}\n");
  EXPECT_EQ(idle_client.outcome(), "done");

  active_client.send_request(1, 0x81);
  EnginePeer engine(engine_listeners_[0]);
  ASSERT_TRUE(engine.next());

  boost::asio::post(io, [&] { platform.begin_shutdown(); });
  EXPECT_TRUE(idle_client.wire().is_shut_down_by_peer());
  EXPECT_TRUE(
      idle_client.wire().write(RawClient::request_line(2, 0x82)));  // after the shutdown: never forwarded
  EXPECT_TRUE(idle_client.wire().is_shut_down_by_peer());

  active_client.send_request(2, 0x83);  // on a connection with an open request: rejected instead of lost
  EXPECT_EQ(active_client.outcome(), "error:-32001");
  EXPECT_EQ(active_client.last_id(), 2);

  engine.answer(0, 0x81, "parts=1", "a\tb\tc\n");
  EXPECT_EQ(active_client.outcome(), "served:a\tb\tc\n");
  EXPECT_TRUE(active_client.wire().is_shut_down_by_peer());
  EXPECT_FALSE(idle_client.wire().was_reset());

  idle_client.wire().close();
  active_client.wire().close();
  loop.join();
  EXPECT_FALSE(engine.next(0));
}

TEST_F(GracefulShutdownTest, TheTerminationGracePeriodFollowsFromTheLongestDeadline) {
  const auto grace_period = [&](Duration first, Duration second) {
    PlatformConfig settings = config();
    settings.core.module.classes[0].deadline = first;
    settings.core.module.classes[1].deadline = second;
    boost::asio::io_context io(1);
    return PlatformServer(io, std::move(settings), "", false).termination_grace_period();
  };

  EXPECT_EQ(grace_period(800ms, 1200ms), 1900ms);
  EXPECT_EQ(grace_period(800ms, 25s), 3700ms);
  EXPECT_EQ(grace_period(800ms, 0s), 3700ms);  // the maximum applies to a class without a deadline
}

// The engine hangs and the client timeout ends after SIGKILL: the request must be answered before SIGKILL.
TEST_F(GracefulShutdownTest, AHangingRequestWithAShortDeadlineIsAnsweredBeforeSigkill) {
  PlatformConfig settings = config();
  for (ClassSettings& class_settings : settings.core.module.classes) class_settings.deadline = 400ms;
  boost::asio::io_context io(1);
  PlatformServer platform(io, std::move(settings), "", false);
  platform.start();
  std::thread loop([&] { io.run(); });
  RawClient client(platform.port());
  client.wire().write(RawClient::request_line(1, 0x91, "report", "", 800));
  EnginePeer engine(engine_listeners_[0]);
  ASSERT_TRUE(engine.next());

  boost::asio::post(io, [&] { platform.begin_shutdown(); });
  const std::string outcome = client.outcome();
  EXPECT_TRUE(outcome == "error:-32001" || outcome == "error:-32000") << outcome;
  EXPECT_TRUE(client.wire().is_shut_down_by_peer());

  client.wire().close();
  loop.join();
}

TEST_F(GracefulShutdownTest, RequestsAfterSigtermAreAnsweredAndThenTheServerStops) {
  boost::asio::io_context io(1);
  PlatformServer platform(io, config(), "", false);

  platform.start();
  const std::uint16_t port = platform.port();
  std::thread loop([&] { io.run(); });
  const auto begin_shutdown = [&] {
    std::promise<void> done;
    boost::asio::post(io, [&] {
      platform.begin_shutdown();
      done.set_value();
    });
    done.get_future().get();
  };
  RawClient client(port);
  client.send_request(1, 0x900);
  EnginePeer engine(engine_listeners_[0]);
  ASSERT_TRUE(engine.next());

  begin_shutdown();
  begin_shutdown();  // the second call has no effect
  client.wire().write("{\"jsonrpc\":\"2.0\",\"id\":2,\"method\":\"isWell\"}\n");
  const auto health = client.next();
  ASSERT_TRUE(health.is_object());
  EXPECT_FALSE(health.as_object().at("result").as_object().at("green").as_bool());

  RawClient late_client(port);  // connections are still accepted for a short period
  late_client.send_request(1, 0x901);
  EnginePeer other(engine_listeners_[0]);
  ASSERT_TRUE(other.next());

  other.answer(0, 0x901, "parts=1", "d\te\tf\n");
  EXPECT_EQ(late_client.outcome(), "served:d\te\tf\n");

  engine.answer(0, 0x900, "parts=1", "a\tb\tc\n");
  EXPECT_EQ(client.outcome(), "served:a\tb\tc\n");

  loop.join();  // the event loop ends once all requests are answered
}

}  // namespace
}  // namespace paddlestand::platform::test

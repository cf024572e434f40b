// Attempts on real connections that close, hang or are established late: an attempt that may have run is not
// retried if that is unsafe, one that certainly did not run is retried, and nothing leaks.
#include "peers.hpp"

namespace paddlestand::platform::test {
namespace {

using namespace std::string_literals;

class AttemptTest : public TwoEngineTest {
 protected:
  PlatformConfig non_idempotent_config() {
    PlatformConfig settings = config();
    settings.core.module.classes[0].idempotency = Idempotency::non_idempotent;
    settings.core.module.may_cancel = false;  // attempts remain in progress regardless of timing
    return settings;
  }
  bool no_engine_is_connected() {
    EnginePeer first(engine_listeners_[0], 0), second(engine_listeners_[1], 0);
    return !first.is_open() && !second.is_open();
  }
};

// Guards against unbounded memory for answers in pages: the pages of one answer are requested when the memory
// for them is available, here after another answer has ended.
TEST_F(AttemptTest, PagesAreRequestedWhenMemoryIsAvailable) {
  PlatformConfig settings = non_idempotent_config();
  settings.limits.memory_mb = 1;  // allows one answer of eight pages at a time
  settings.core.connect_timeout = 20s;  // also the time limit for pages
  RunningServer server(std::move(settings));
  const std::string page = "a\tb\tc\n";
  constexpr int pages = 8;
  const auto answer_first_page = [&](EnginePeer& engine, std::uint64_t id) {
    engine.answer(0, id, "parts=" + std::to_string(pages), page);
  };
  const auto answer_requested_pages = [&](EnginePeer& engine, std::uint64_t id) {
    for (int number = 1; number < pages; ++number) {
      const auto request = engine.next();
      ASSERT_TRUE(request);
      EXPECT_EQ(request->code, static_cast<std::uint8_t>(engine_frames::Command::fetch_page));
      engine.answer(9, id, "part_no=" + std::to_string(number), page);
    }
  };
  std::string result;
  for (int number = 0; number < pages; ++number) result += page;

  RawClient first(server.port()), second(server.port());
  first.send_request(1, 0x61);
  EnginePeer first_engine = accept_any_engine();
  ASSERT_TRUE(first_engine.next());
  second.send_request(1, 0x62);
  EnginePeer second_engine = accept_any_engine();
  ASSERT_TRUE(second_engine.next());

  answer_first_page(first_engine, 0x61);
  ASSERT_TRUE(wait_until([&] { return first_engine.has_input(); }));
  answer_first_page(second_engine, 0x62);
  EXPECT_FALSE(second_engine.next(300));
  answer_requested_pages(first_engine, 0x61);
  EXPECT_EQ(first.outcome(), "served:" + result);
  answer_requested_pages(second_engine, 0x62);
  EXPECT_EQ(second.outcome(), "served:" + result);
}

// After each failure that leaves open whether the attempt ran, the client gets an error and nothing is
// retried.
TEST_F(AttemptTest, AnAttemptThatMayHaveRunIsNotRetriedForANonIdempotentRequest) {
  std::string good, corrupted;
  engine_frames::put_frame(good, engine_frames::Side::engine, 0, 0x51, "parts=2,work=9", "a\tb\tc\n");
  corrupted = good;
  corrupted[corrupted.size() - 6] = static_cast<char>(corrupted[corrupted.size() - 6] ^ 4);
  const std::vector<std::function<void(EnginePeer&)>> failures{
      [](EnginePeer& engine) { engine.wire().reset(); },
      [](EnginePeer& engine) { engine.wire().close(); },
      [](EnginePeer& engine) { engine.answer(4, 0x51); },
      [&](EnginePeer& engine) { engine.wire().write(corrupted); },
      [&](EnginePeer& engine) {
        engine.wire().write(good.substr(0, 20));
        engine.wire().close();
      },
      [&](EnginePeer& engine) {  // sends one of two pages
        engine.wire().write(good);
        engine.wire().close();
      },
      [&](EnginePeer& engine) { engine.wire().write(good); },  // the second page never arrives
      [&](EnginePeer& engine) { engine.wire().write(good.substr(0, 20)); },
  };

  for (std::size_t failure = 0; failure < failures.size(); ++failure) {
    RunningServer server(non_idempotent_config());
    RawClient client(server.port());
    client.send_request(1, 0x51);
    EnginePeer engine = accept_any_engine();
    ASSERT_TRUE(engine.next()) << failure;
    failures[failure](engine);
    EXPECT_EQ(client.outcome(), "error:-32000") << failure;
    EXPECT_EQ(server.counts().sessions, 0U) << failure;
    EXPECT_EQ(server.counts().attempts_out, 0U) << failure;
    EXPECT_TRUE(no_engine_is_connected()) << failure;
  }
}

// After each answer that guarantees that the attempt did not run, it is retried once.
TEST_F(AttemptTest, AnAttemptThatNeverRanIsRetriedForANonIdempotentRequest) {
  for (const std::uint8_t code : {std::uint8_t{3}, std::uint8_t{5}}) {
    RunningServer server(non_idempotent_config());
    RawClient client(server.port());
    client.send_request(1, 0x51);
    EnginePeer first = accept_any_engine();
    ASSERT_TRUE(first.next());
    first.answer(code, 0x51);
    std::optional<engine_frames::Frame> repeated;
    std::optional<EnginePeer> other;
    EXPECT_TRUE(wait_until([&] {
      repeated = first.next(1);
      if (repeated) return true;
      EnginePeer peer = EnginePeer(engine_listeners_[0], 1);
      if (!peer.is_open()) peer = EnginePeer(engine_listeners_[1], 1);
      if (peer.is_open()) other.emplace(std::move(peer));
      if (other) repeated = other->next(1);
      return repeated.has_value();
    }));
    ASSERT_TRUE(repeated);
    EXPECT_EQ(repeated->id, 0x51U);
    (other ? *other : first).answer(0, 0x51, "parts=1", "a\tb\tc\n");
    EXPECT_EQ(client.outcome(), "served:a\tb\tc\n");
    EXPECT_FALSE(first.next(0));
  }
}

// Connections to one engine are not established within the connect timeout. The requests waiting for them are
// sent to another engine. A connection established later carries no request and is closed.
TEST_F(AttemptTest, AConnectionEstablishedAfterItsTimeoutCarriesNoRequest) {
  FullListener late_listener;
  PlatformConfig settings = non_idempotent_config();
  settings.known[0].records[0].port = late_listener.port();
  RunningServer server(std::move(settings));
  RawClient client(server.port());
  std::vector<EnginePeer> peers;

  for (int id = 1; id <= 6; ++id) {
    client.send_request(id, 0x60U + static_cast<unsigned>(id));
    std::optional<engine_frames::Frame> request;
    EXPECT_TRUE(wait_until([&] {
      if (EnginePeer peer(engine_listeners_[1], 1); peer.is_open()) peers.push_back(std::move(peer));
      for (EnginePeer& peer : peers) {
        request = peer.next(1);
        if (!request) continue;
        peer.answer(0, request->id, "parts=1", "a\tb\tc\n");
        return true;
      }
      return false;
    })) << id;
    EXPECT_EQ(client.outcome(), "served:a\tb\tc\n") << id;
  }
  late_listener.accept_all();
  EXPECT_TRUE(wait_until([&] { return server.counts().channels == 0; }));

  const std::size_t open = peers.size();
  EXPECT_TRUE(wait_until([&] { return server.engine_connections() <= open; }));

  for (;;) {
    EnginePeer peer(late_listener, 1500);
    if (!peer.is_open()) break;
    const auto received = peer.next(0);
    EXPECT_TRUE(!received || received->code != 1)
        << "a request was sent on a connection established after its timeout";
  }
}

// The engine begins to drain while a connection to it is being opened: the waiting request is sent to another
// engine.
TEST_F(AttemptTest, DrainingDuringConnectSendsTheRequestToAnotherEngine) {
  FullListener full_listener;
  PlatformConfig settings = non_idempotent_config();
  settings.core.connect_timeout = 20s;
  settings.known[0].records = {engine_record(1, full_listener.port())};
  RunningServer server(std::move(settings));
  DiscoveryPeer discovery_peer(discovery_listener_);
  RawClient client(server.port());

  client.send_request(1, 0x71);
  EXPECT_TRUE(wait_until([&] { return server.counts().attempts_out == 1; }));

  discovery_peer.send_event(2, {engine_record(1, full_listener.port(), EngineState::draining),
                                engine_record(2, engine_listeners_[1].port())});
  EnginePeer other(engine_listeners_[1]);
  ASSERT_TRUE(other.next());

  other.answer(0, 0x71, "parts=1", "a\tb\tc\n");
  EXPECT_EQ(client.outcome(), "served:a\tb\tc\n");

  full_listener.accept_all();
  EnginePeer late_peer(full_listener, 1500);
  EXPECT_TRUE(!late_peer.is_open() || !late_peer.next(0));
  EXPECT_EQ(server.counts().channels, 0U);
}

// ---- Reuse of connections ----

// The engine closes an idle connection in the same turn in which the next request would be sent on it.
TEST_F(AttemptTest, ARequestIsNotSentOnAConnectionThatTheEngineHasClosed) {
  PlatformConfig settings = non_idempotent_config();
  settings.known[0].records.resize(1);
  RunningServer server(std::move(settings));
  const std::uint16_t port = server.port();
  RawClient client(port);

  client.send_request(1, 0x81);
  EnginePeer idle_engine(engine_listeners_[0]);
  ASSERT_TRUE(idle_engine.next());

  idle_engine.answer(0, 0x81, "parts=1", "a\tb\tc\n");
  EXPECT_EQ(client.outcome(), "served:a\tb\tc\n");

  // Runs on the event loop, so that both events have arrived before it polls, the request's socket first.
  server.run([&](PlatformServer&) {
    client.send_request(2, 0x82);
    idle_engine.wire().shut_down();
    return 0;
  });
  EnginePeer new_engine(engine_listeners_[0]);
  const auto request = new_engine.next();
  ASSERT_TRUE(request);
  EXPECT_EQ(request->id, 0x82U);

  new_engine.answer(0, 0x82, "parts=1", "d\te\tf\n");
  EXPECT_EQ(client.outcome(), "served:d\te\tf\n");
  EXPECT_FALSE(idle_engine.next(0));
}

// An answer and the end of its connection arrive in one read: the answer is served.
TEST_F(AttemptTest, AnAnswerRightBeforeTheConnectionClosesIsServed) {
  RunningServer server(non_idempotent_config());
  RawClient client(server.port());

  client.send_request(1, 0x91);
  EnginePeer engine = accept_any_engine();
  ASSERT_TRUE(engine.next());

  server.run([&](PlatformServer&) {
    engine.answer(0, 0x91, "parts=1", "a\tb\tc\n");
    engine.wire().close();
    return 0;
  });
  EXPECT_EQ(client.outcome(), "served:a\tb\tc\n");
  EXPECT_TRUE(wait_until([&] { return server.engine_connections() == 0; }));
}

// A duplicate of an answer arrives after the next request on the connection: it is not matched to any
// request.
TEST_F(AttemptTest, ADuplicateAnswerIsNotCreditedToTheNextRequest) {
  PlatformConfig settings = non_idempotent_config();
  settings.known[0].records.resize(1);
  RunningServer server(std::move(settings));
  RawClient client(server.port());

  client.send_request(1, 0xa1);
  EnginePeer engine(engine_listeners_[0]);
  ASSERT_TRUE(engine.next());

  engine.answer(0, 0xa1, "parts=1", "a\tb\tc\n");
  EXPECT_EQ(client.outcome(), "served:a\tb\tc\n");

  client.send_request(2, 0xa2);
  ASSERT_TRUE(engine.next());

  engine.answer(0, 0xa1, "parts=1", "a\tb\tc\n");
  engine.answer(0, 0xa2, "parts=1", "d\te\tf\n");
  EXPECT_EQ(client.outcome(), "served:d\te\tf\n");
  EXPECT_EQ(client.last_id(), 2);
}

}  // namespace
}  // namespace paddlestand::platform::test

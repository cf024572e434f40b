// Closing of client connections by either side: pending output is delivered, late input is not processed, and
// a disconnected client causes no further work. The peers force the order of events; no test depends on
// timing.
#include <deque>

#include "peers.hpp"

namespace paddlestand::platform::test {
namespace {

using namespace std::string_literals;

class ClientCloseTest : public PlatformServerTest {
 protected:
  /// Sends request 1 and returns the connection on which an engine has received it and does not answer.
  EnginePeer hold_first_request(RawClient& client, std::uint64_t trace) {
    client.send_request(1, trace);
    EnginePeer engine(engine_listeners_[0]);
    EXPECT_TRUE(engine.next());
    return engine;
  }
  /// Sends a request after `last_id` and answers it with a line of 64 KB that the client does not read.
  /// Returns its id.
  int answer_large_request(RunningServer& server, RawClient& client, unsigned first_trace, int last_id) {
    const int id = last_id + 1;
    const std::size_t open_requests = server.counts().sessions;
    client.send_request(id, first_trace + static_cast<unsigned>(id));
    std::optional<engine_frames::Frame> request;
    EnginePeer* engine = nullptr;
    EXPECT_TRUE(wait_until([&] {
      if (EnginePeer peer(engine_listeners_[0], 1); peer.is_open())
        answering_engines_.push_back(std::move(peer));
      for (EnginePeer& peer : answering_engines_) {
        request = peer.next(1);
        engine = &peer;
        if (request && request->code == 1) return true;
      }
      return false;
    }));
    if (!request) return id;
    std::string page;
    while (page.size() < 5900) page += "0123456789\t0123456789\t0123456789\n";
    engine->answer(0, request->id, "parts=8", page);
    for (int number = 1; number < 8; ++number)
      engine->answer(9, request->id, "part_no=" + std::to_string(number), page);
    EXPECT_TRUE(wait_until([&] { return server.counts().sessions == open_requests; }));
    return id;
  }
  /// Answers requests with ids from 2 until the server holds this many bytes; the rest is in socket buffers.
  /// Returns the last id.
  int answer_unread_requests(RunningServer& server, RawClient& client, unsigned first_trace,
                             std::size_t bytes) {
    int id = 1;
    while (server.unread_bytes() < bytes && id < 200)
      id = answer_large_request(server, client, first_trace, id);
    return id;
  }

  std::vector<EnginePeer> idle_engines_;

 private:
  std::deque<EnginePeer> answering_engines_;
};

// The manager closes a connection with unread input. Closing the socket directly would reset the connection.
TEST_F(ClientCloseTest, AConnectionRejectedWithUnreadInputIsShutDownAndNotReset) {
  RunningServer server(config());
  RawClient client(server.port());

  client.wire().write(std::string(200'000, 'x'));  // read in steps of 64 KiB; rejected at 96 KiB
  EXPECT_EQ(client.outcome(), "error:-32600");
  EXPECT_TRUE(client.wire().is_shut_down_by_peer());
  EXPECT_FALSE(client.wire().was_reset());

  client.wire().close();
  EXPECT_TRUE(wait_until([&] { return server.clients() == 0; }));
}

TEST_F(ClientCloseTest, ARequestAfterTheShutdownIsDroppedAndTheConnectionNotReset) {
  RunningServer server(config());
  RawClient client(server.port());

  client.wire().write("noise\n");
  EXPECT_EQ(client.outcome(), "error:-32700");
  EXPECT_TRUE(client.wire().is_shut_down_by_peer());
  EXPECT_TRUE(client.wire().write(RawClient::request_line(1, 0x21)));  // sent after the shutdown

  RawClient regular_client(server.port());
  regular_client.send_request(1, 0x22);
  EnginePeer engine(engine_listeners_[0]);
  const auto request = engine.next();
  ASSERT_TRUE(request);
  EXPECT_EQ(request->id, 0x22U);
  EXPECT_TRUE(wait_until([&] { return server.dropped_bytes() == RawClient::request_line(1, 0x21).size(); }));
  EXPECT_TRUE(client.wire().is_shut_down_by_peer());
  EXPECT_FALSE(client.wire().was_reset());

  engine.answer(0, 0x22, "parts=1", "a\tb\tc\n");
  EXPECT_EQ(regular_client.outcome(), "served:a\tb\tc\n");
  EXPECT_EQ(server.counts().sessions, 0U);
}

TEST_F(ClientCloseTest, AClientThatNeverClosesIsClosedByTheServer) {
  RunningServer server(config());
  RawClient client(server.port());
  client.wire().write("noise\n");
  EXPECT_TRUE(client.wire().is_shut_down_by_peer());
  EXPECT_TRUE(wait_until([&] { return server.clients() == 0; }));
}

TEST_F(ClientCloseTest, AClientThatKeepsWritingAfterItsRejectionIsClosed) {
  RunningServer server(config());
  RawClient client(server.port());

  client.wire().write("noise\n");
  const std::string more(std::size_t{64} * 1024, 'x');
  std::size_t written = 0;
  while (written < 256 * more.size() && client.wire().write(more)) written += more.size();
  EXPECT_LT(written, 256 * more.size());
  EXPECT_TRUE(wait_until([&] { return server.clients() == 0; }));
}

// For longer than the time limit of one message, every read ends inside some message. Each message itself is
// completed within the limit, so the client must not be rejected.
TEST_F(ClientCloseTest, AClientWhoseReadsAllEndInsideAMessageIsServed) {
  RunningServer server(config());
  RawClient client(server.port());
  EnginePeer engine;
  std::string remaining = RawClient::request_line(1, 0x301);

  client.wire().write(remaining.substr(0, 10));
  remaining.erase(0, 10);
  const int messages = 9;  // 0.8 s each
  for (int id = 1; id <= messages; ++id) {
    std::this_thread::sleep_for(800ms);
    const std::string next = RawClient::request_line(id + 1, 0x301U + static_cast<unsigned>(id));
    ASSERT_TRUE(client.wire().write(remaining + next.substr(0, 10))) << id;
    remaining = next.substr(10);
    if (!engine.is_open()) engine = EnginePeer(engine_listeners_[0]);
    const auto request = engine.next();
    ASSERT_TRUE(request) << id;
    engine.answer(0, request->id, "parts=1", "a\tb\tc\n");
    EXPECT_EQ(client.outcome(), "served:a\tb\tc\n") << id;
  }
}

// A slow writer sends a few bytes at a time, within the limits for pauses and for the whole message.
TEST_F(ClientCloseTest, ASlowWriterIsServed) {
  RunningServer server(config());
  RawClient client(server.port());
  const std::string line = RawClient::request_line(1, 0x31);
  const std::size_t part = line.size() / 7;

  for (std::size_t at = 0; at < line.size(); at += part) {
    if (at > 0) std::this_thread::sleep_for(500ms);
    ASSERT_TRUE(client.wire().write(std::string_view(line).substr(at, part)));
  }
  EnginePeer engine(engine_listeners_[0]);
  ASSERT_TRUE(engine.next());

  engine.answer(0, 0x31, "parts=1", "a\tb\tc\n");
  EXPECT_EQ(client.outcome(), "served:a\tb\tc\n");
}

// The client disconnects, in every possible way, while the connection to the engine is being established.
// Both the first request and one queued behind it are abandoned.
TEST_F(ClientCloseTest, NothingIsSentForAClientThatDisconnectedDuringConnect) {
  PlatformConfig settings = config();
  settings.core.connect_timeout = 20s;
  FullListener full_listener;  // no connection is established until the test accepts one
  settings.known[0].records[0].port = full_listener.port();
  RunningServer server(std::move(settings));
  RawClient cancelling_client(server.port()), closing_client(server.port()), resetting_client(server.port()),
      waiting_client(server.port());

  cancelling_client.send_request(1, 0x41);
  closing_client.send_request(1, 0x42);
  resetting_client.send_request(1, 0x43);
  EXPECT_TRUE(wait_until([&] { return server.counts().sessions == 3; }));

  cancelling_client.wire().write(cancel_line(0x41));
  closing_client.wire().close();
  resetting_client.wire().reset();
  EXPECT_TRUE(wait_until([&] { return server.counts().sessions == 0; }));

  waiting_client.send_request(1, 0x44);
  EXPECT_TRUE(wait_until([&] { return server.counts().sessions == 1; }));

  full_listener.accept_all();
  std::vector<EnginePeer> peers;
  EXPECT_TRUE(wait_until([&] {
    if (EnginePeer peer(full_listener, 1); peer.is_open()) peers.push_back(std::move(peer));
    for (EnginePeer& peer : peers) {
      const auto request = peer.next(1);
      if (!request) continue;
      EXPECT_EQ(request->id, 0x44U);
      peer.answer(0, request->id, "parts=1", "a\tb\tc\n");
      return true;
    }
    return false;
  }));
  EXPECT_EQ(waiting_client.outcome(), "served:a\tb\tc\n");
}

// The request and the close have both arrived when the event loop reads: no attempt is started.
TEST_F(ClientCloseTest, NothingIsSentForAClientThatDisconnectedRightAfterItsRequest) {
  RunningServer server(config());
  const std::uint16_t port = server.port();
  RawClient closed_client(port), reset_client(port), regular_client(port);

  for (RawClient* client : {&closed_client, &reset_client})
    client->wire().write("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"isWell\"}\n");
  EXPECT_EQ(closed_client.outcome(), "done");
  EXPECT_EQ(reset_client.outcome(), "done");

  server.run([&](PlatformServer&) {
    closed_client.send_request(2, 0x46);
    closed_client.wire().close();
    reset_client.send_request(2, 0x47);
    reset_client.wire().reset();
    return 0;
  });
  regular_client.send_request(1, 0x48);
  EnginePeer engine(engine_listeners_[0]);
  const auto request = engine.next();
  ASSERT_TRUE(request);
  EXPECT_EQ(request->id, 0x48U);
  EXPECT_EQ(server.counts().sessions, 1U);
  EXPECT_FALSE(EnginePeer(engine_listeners_[0], 0).is_open());
}

// A client that does not read its answers cancels another request. If the manager stopped reading because of
// the unread answers, it would miss the cancellation and the query would continue.
TEST_F(ClientCloseTest, ACancellationIsReadDespiteUnreadAnswers) {
  RunningServer server(config());
  RawClient client(server.port());

  EnginePeer held_engine = hold_first_request(client, 0x51);
  answer_unread_requests(server, client, 0x51, std::size_t{600} * 1024);
  client.wire().write(cancel_line(0x51));
  const auto cancel = held_engine.next();
  ASSERT_TRUE(cancel);
  EXPECT_EQ(cancel->code, 2);
  EXPECT_EQ(cancel->id, 0x51U);
}

// Guards against dropping the answers to open requests when a client with unread answers sends an invalid
// message.
TEST_F(ClientCloseTest, OpenRequestsAreAnsweredDespiteUnreadAnswersBeforeAnInvalidMessage) {
  RunningServer server(config());
  RawClient client(server.port());

  EnginePeer held_engine = hold_first_request(client, 0x51);
  const int last_id = answer_unread_requests(server, client, 0x51, std::size_t{600} * 1024);
  client.wire().write("noise\n");
  std::set<std::int64_t> answered;
  for (std::string outcome = client.outcome(); outcome != "nothing"; outcome = client.outcome())
    answered.insert(client.last_id());
  for (int id = 1; id <= last_id; ++id) EXPECT_TRUE(answered.contains(id)) << id;
}

// Guards against closing a slow reader, and against unbounded memory for its results: each request is
// answered, and results beyond the limit are replaced by errors.
TEST_F(ClientCloseTest, ResultsBeyondTheLimitOfUnreadAnswersBecomeErrors) {
  PlatformConfig settings = config();
  settings.limits.memory_mb = 4;  // allows 170 KiB of unread answers
  constexpr std::size_t max_unread_bytes = std::size_t{4} * 1024 * 1024 / 24;
  RunningServer server(std::move(settings));
  RawClient client(server.port());

  constexpr int requests_beyond_limit = 8;
  int last_id = answer_unread_requests(server, client, 0x51, max_unread_bytes / 2);
  for (int i = 0; i < requests_beyond_limit; ++i)
    last_id = answer_large_request(server, client, 0x51, last_id);
  EXPECT_LE(server.unread_bytes(), max_unread_bytes + std::size_t{requests_beyond_limit} * 200);
  int failed = 0;
  for (int id = 2; id <= last_id; ++id) {
    const std::string outcome = client.outcome();
    EXPECT_EQ(client.last_id(), id) << outcome;
    if (outcome == "error:-32000") ++failed;
  }
  EXPECT_GE(failed, requests_beyond_limit - 3);
}

// An answer, a cancellation, an invalid message and the client's close arrive in one turn of the event loop,
// in every order: the server keeps running, releases all resources and serves the next client.
TEST_F(ClientCloseTest, EventsOfOneTurnMayArriveInAnyOrder) {
  RunningServer server(config());
  const std::uint16_t port = server.port();
  std::vector<int> order{0, 1, 2, 3};
  std::uint64_t trace = 0x1000;

  do {
    RawClient client(port);
    client.send_request(1, ++trace);
    EnginePeer engine;
    std::optional<engine_frames::Frame> request;
    ASSERT_TRUE(wait_until([&] {
      if (EnginePeer peer(engine_listeners_[0], 1); peer.is_open()) idle_engines_.push_back(std::move(peer));
      for (EnginePeer& peer : idle_engines_) {
        while (auto next = peer.next(1))
          if (next->code == 1 && next->id == trace) {
            request = std::move(next);
            engine = std::move(peer);
            return true;
          }
      }
      return false;
    }));
    std::erase_if(idle_engines_, [](const EnginePeer& peer) { return !peer.is_open(); });
    server.run([&](PlatformServer&) {
      for (const int event : order) {
        if (event == 0) engine.answer(0, trace, "parts=1", "a\tb\tc\n");
        if (event == 1) client.wire().write(cancel_line(trace));
        if (event == 2) client.wire().write("noise\n");
        if (event == 3) client.wire().shut_down();
      }
      return 0;
    });
    EXPECT_TRUE(wait_until([&] { return server.clients() == 0; }));
    EXPECT_EQ(server.counts().sessions, 0U);
    EXPECT_EQ(server.counts().attempts_out, 0U);
    idle_engines_.push_back(std::move(engine));
  } while (std::next_permutation(order.begin(), order.end()));
}

// Idle clients use up the descriptors while the command channel is down. Once it is available again, the
// manager connects to it and to engines without exceeding the descriptor limit.
TEST_F(ClientCloseTest, IdleClientsDoNotExhaustDescriptorsForTheCommandChannelAndEngines) {
  PlatformConfig settings = config();
  settings.limits.descriptors = 128;
  std::optional<Listener> closed_listener(std::in_place);
  settings.discovery_endpoint.port = closed_listener->port();
  closed_listener.reset();  // the port is no longer in use
  const std::string path =
      ::testing::TempDir() + "paddlestand-silent-clients-" + std::to_string(::getpid()) + ".json";
  RunningServer server(std::move(settings), path);
  constexpr int client_count = 300;
  std::vector<RawClient> silent_clients;
  silent_clients.reserve(client_count);

  for (int i = 0; i < client_count; ++i) silent_clients.emplace_back(server.port());
  EXPECT_TRUE(wait_until([&] { return server.clients() >= 52; }));

  std::ofstream(path) << config_text(discovery_listener_.port());
  server.reload();
  DiscoveryPeer discovery_peer(discovery_listener_);
  EXPECT_EQ(discovery_peer.requested_after, 1U);

  discovery_peer.send_event(2, {engine_record(9, engine_listeners_[0].port())});
  EXPECT_TRUE(wait_until([&] { return server.last_event() == 2; }));

  RawClient regular_client(server.port());
  regular_client.send_request(1, 0xa1);
  EnginePeer engine(engine_listeners_[0]);
  ASSERT_TRUE(engine.next());
  EXPECT_LE(server.run([](PlatformServer& p) { return p.clients() + p.engine_connections(); }), 128U - 24U);

  engine.answer(0, 0xa1, "parts=1", "a\tb\tc\n");
  EXPECT_EQ(regular_client.outcome(), "served:a\tb\tc\n");

  ::unlink(path.c_str());
}

}  // namespace
}  // namespace paddlestand::platform::test

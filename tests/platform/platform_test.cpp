// The platform server over real sockets, against peers that the tests drive byte by byte: rejections, closed
// connections and corrupted answers. No test depends on timing.
#include "peers.hpp"

namespace paddlestand::platform::test {
namespace {

using namespace std::string_literals;

TEST_F(PlatformServerTest, APagedAnswerIsServedCompleteAndInOrder) {
  RunningServer server(config());
  RawClient client(server.port());

  client.wire().write(RawClient::request_line(
      7, 0xabc, "load", R"(,"nonce":"5c0f6e1a2b3d4c59a8b7c6d5e4f30211","entity":"7f3a9c21e0b4d655")"));
  EnginePeer engine(engine_listeners_[0]);
  const auto request = engine.next();
  ASSERT_TRUE(request);
  EXPECT_EQ(request->code, 1);
  EXPECT_EQ(request->id, 0xabcU);
  EXPECT_EQ(request->body, "SELECT 1 FROM a_1.b");
  EXPECT_EQ(engine_frames::field(request->fields, "kind"), "load");
  EXPECT_EQ(engine_frames::field(request->fields, "token"), "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");

  const auto granted_ms =
      engine_frames::parse_count(engine_frames::field(request->fields, "ms").value_or(""));
  EXPECT_TRUE(granted_ms && *granted_ms >= 1 && *granted_ms <= 7000);

  engine.answer(0, 0x999, "", "not\tasked\tfor\n");  // with an unknown id
  engine.answer(0, 0xabc, "parts=3,work=20,peak=10", "a\tb\tc\n");
  engine.answer(0, 0xabc, "parts=3,work=20,peak=10", "a\tb\tc\n");  // a duplicate
  for (const char* page : {"1", "2"}) {
    const auto page_request = engine.next();
    ASSERT_TRUE(page_request);
    EXPECT_EQ(page_request->code, 6);
    EXPECT_EQ(page_request->fields, page);
  }
  engine.answer(9, 0xabc, "part_no=2", "g\th\ti\n");
  engine.answer(9, 0xabc, "part_no=1", "d\te\tf\n");
  EXPECT_EQ(client.outcome(), "served:a\tb\tc\nd\te\tf\ng\th\ti\n");
  EXPECT_EQ(client.last_id(), 7);

  const auto discard_request = engine.next();
  ASSERT_TRUE(discard_request);
  EXPECT_EQ(discard_request->code, 7);

  // Late duplicates have no effect, and the connection remains in use.
  engine.answer(9, 0xabc, "part_no=1", "d\te\tf\n");
  client.send_request(8, 0xabd);
  ASSERT_TRUE(engine.next());

  engine.answer(0, 0xabd, "parts=1", "");
  EXPECT_EQ(client.outcome(), "served:");
}

// Each case corrupts the first answer differently. The query is safe to repeat, so the second engine serves
// it.
TEST_F(TwoEngineTest, ACorruptedAnswerClosesItsConnectionAndIsNeverServed) {
  std::string good, longer;
  engine_frames::put_frame(good, engine_frames::Side::engine, 0, 0x51, "parts=1,work=9", "a\tb\tc\n");
  engine_frames::put_frame(longer, engine_frames::Side::engine, 0, 0x51, "parts=1", "a\tb\n");
  std::string flipped = good;
  flipped[flipped.size() - 6] = static_cast<char>(flipped[flipped.size() - 6] ^ 4);
  const std::vector<std::string> corrupted{flipped,
                                           longer,
                                           "noise that is not a frame",
                                           "\x81\x02"s,
                                           "\x81\x00\x00\x04\xc0\x00\x00\x00"s,
                                           good.substr(0, good.size() - 3)};
  RunningServer server(config());
  std::uint64_t trace = 0x51;
  int id = 0;
  RawClient client(server.port());

  for (const std::string& bytes : corrupted) {
    client.wire().write(RawClient::request_line(++id, trace));
    EnginePeer first = accept_any_engine();
    const auto request = first.next();
    ASSERT_TRUE(request);
    first.wire().write(bytes);
    EXPECT_TRUE(first.wire().is_closed_by_peer()) << id;
    EnginePeer second = accept_any_engine();
    const auto repeated = second.next();
    ASSERT_TRUE(repeated) << id;
    EXPECT_EQ(repeated->id, trace);
    second.answer(0, trace, "parts=1,work=9", "x\ty\tz\n");
    EXPECT_EQ(client.outcome(), "served:x\ty\tz\n") << id;
    second.wire().close();
    EXPECT_TRUE(wait_until([&] { return server.engine_connections() == 0; }));
  }
}

TEST_F(TwoEngineTest, ARequestIsRetriedAfterAReset) {
  RunningServer server(config());
  RawClient client(server.port());

  client.send_request(1, 0x77);
  EnginePeer first = accept_any_engine();
  ASSERT_TRUE(first.next());

  first.wire().reset();
  EnginePeer second = accept_any_engine();
  ASSERT_TRUE(second.next());

  second.answer(0, 0x77, "parts=1", "a\tb\tc\n");
  EXPECT_EQ(client.outcome(), "served:a\tb\tc\n");
}

TEST_F(TwoEngineTest, ALateAnswerAfterACancelHasNoEffect) {
  RunningServer server(config());
  RawClient client(server.port());

  client.send_request(1, 0x61);
  EnginePeer engine = accept_any_engine();
  ASSERT_TRUE(engine.next());

  client.wire().write(cancel_line(0x61));
  const auto cancel = engine.next();
  ASSERT_TRUE(cancel);
  EXPECT_EQ(cancel->code, 2);
  EXPECT_EQ(cancel->id, 0x61U);

  engine.answer(0, 0x61, "parts=1", "late\t\t\n");
  client.send_request(2, 0x62);
  EnginePeer other = accept_any_engine();  // not the one with the cancelled stream
  const auto next = other.next();
  ASSERT_TRUE(next);
  EXPECT_EQ(next->id, 0x62U);

  other.answer(0, 0x62, "parts=1", "b\t\t\n");
  EXPECT_EQ(client.outcome(), "served:b\t\t\n");
  EXPECT_EQ(client.last_id(), 2);
  EXPECT_EQ(server.counts().sessions, 0U);
}

/// Inputs for which a client is rejected or its connection closed.
std::vector<std::string> invalid_inputs() {
  const std::string good = RawClient::request_line(1, 0x500);
  std::string many;
  for (int i = 1; i <= 33; ++i) many += RawClient::request_line(i, 0x600U + static_cast<unsigned>(i));
  return {
      "no json\n",
      "{\"jsonrpc\":\"2.0\"\n",
      std::string(200'000, 'x'),
      std::string(5000, '[') + "\n",
      good + "noise\n",  // a valid request followed by an invalid line
      RawClient::request_line(1, 0x501) + RawClient::request_line(1, 0x502),  // the same id twice
      RawClient::request_line(1, 0x503) + RawClient::request_line(2, 0x503),  // the same trace id twice
      RawClient::request_line(0, 0x504),
      RawClient::request_line(1, 0x505, "no-class"),
      RawClient::request_line(1, 0x506, "report", R"(,"need_mb":-5)"),
      RawClient::request_line(1, 0x507, "report", "", 2'000'000'000),
      RawClient::request_line(1, 0x508, "load"),
      many,
  };
}

TEST_F(PlatformServerTest, InvalidClientsAreRejectedOrClosedAndReachNoEngine) {
  RunningServer server(config());
  const std::uint16_t port = server.port();
  const std::string good = RawClient::request_line(1, 0x500);

  for (const std::string& bytes : invalid_inputs()) {
    RawClient client(port);
    client.wire().write(bytes);
    EXPECT_TRUE(client.wire().is_closed_by_peer()) << bytes.substr(0, 80);
  }
  // One client sends half a request, another sends nothing.
  RawClient incomplete_client(port), silent_client(port);
  incomplete_client.wire().write(good.substr(0, 40));
  EXPECT_TRUE(incomplete_client.wire().is_closed_by_peer());
  EXPECT_TRUE(silent_client.wire().is_closed_by_peer());

  EnginePeer engine(engine_listeners_[0], 0);
  EXPECT_FALSE(engine.is_open());
  EXPECT_EQ(server.counts().sessions, 0U);

  // Valid clients are served during and after this.
  RawClient regular_client(port);
  regular_client.send_request(1, 0x900);
  EnginePeer later_engine(engine_listeners_[0]);
  ASSERT_TRUE(later_engine.next());

  later_engine.answer(0, 0x900, "parts=1", "a\tb\tc\n");
  EXPECT_EQ(regular_client.outcome(), "served:a\tb\tc\n");
}

TEST_F(PlatformServerTest, ARequestCancelledInTheSameBatchReachesNoEngineAndFreesNoCapacity) {
  RunningServer server(config());
  std::string cancelled_requests, unknown;

  for (int i = 1; i <= 100; ++i) {
    cancelled_requests += RawClient::request_line(i, 0x700U + static_cast<unsigned>(i)) +
                          cancel_line(0x700U + static_cast<unsigned>(i));
    unknown += RawClient::request_line(i, 0x800U + static_cast<unsigned>(i)) + cancel_line(0xfffff);
  }
  RawClient cancelling_client(server.port());
  cancelling_client.wire().write(
      cancelled_requests.substr(0, cancelled_requests.find('\n', cancelled_requests.find("forget")) + 1));
  EXPECT_EQ(cancelling_client.outcome(), "error:-32001");

  // Cancelling requests that are not open does not raise the limit of 32.
  RawClient flooding_client(server.port());
  flooding_client.wire().write(unknown);
  EXPECT_EQ(flooding_client.outcome(), "error:-32001");
  EXPECT_TRUE(flooding_client.wire().is_closed_by_peer());
  EXPECT_EQ(server.counts().sessions, 0U);
  EXPECT_FALSE(EnginePeer(engine_listeners_[0], 0).is_open());
}

TEST_F(PlatformServerTest, TheTotalSizeOfOpenStatementsIsBounded) {
  PlatformConfig settings = config();
  settings.limits.memory_mb = 1;  // allows 128 KiB of statements
  RunningServer server(std::move(settings));
  const std::string large = "\"content\":\"" + base64("SELECT '" + std::string(60'000, 'x') + "'") + "\"";
  const auto line = [&](std::uint64_t trace) {
    std::string text = RawClient::request_line(1, trace);
    const auto from = text.find("\"content\"");
    return text.replace(from, text.find("}}", from) - from, large);
  };
  RawClient first(server.port()), second(server.port()), third(server.port());

  first.wire().write(line(0x31));
  EnginePeer one(engine_listeners_[0]);
  ASSERT_TRUE(one.next());

  second.wire().write(line(0x32));
  EnginePeer two(engine_listeners_[0]);
  ASSERT_TRUE(two.next());

  third.wire().write(line(0x33));
  EXPECT_EQ(third.outcome(), "error:-32001");

  one.answer(0, 0x31, "parts=1", "a\tb\tc\n");
  EXPECT_EQ(first.outcome(), "served:a\tb\tc\n");

  RawClient fourth(server.port());  // capacity is available again
  fourth.wire().write(line(0x34));
  ASSERT_TRUE(one.next());

  one.answer(0, 0x34, "parts=1", "d\te\tf\n");
  EXPECT_EQ(fourth.outcome(), "served:d\te\tf\n");
}

// Guards against failing a client's open requests because there is no memory for one more.
TEST_F(PlatformServerTest, ARequestBeyondTheSizeOfStatementsIsRefusedAlone) {
  PlatformConfig settings = config();
  settings.limits.memory_mb = 1;  // allows 128 KiB of statements
  RunningServer server(std::move(settings));
  RawClient client(server.port());
  const std::string large = base64("SELECT '" + std::string(60'000, 'x') + "'");
  const std::string small = base64("SELECT 1 FROM a_1.b");
  const auto large_line = [&](int id, std::uint64_t trace) {
    std::string text = RawClient::request_line(id, trace);
    return text.replace(text.find(small), small.size(), large);
  };

  client.wire().write(large_line(1, 0x35));
  EnginePeer engine(engine_listeners_[0]);
  ASSERT_TRUE(engine.next());
  client.wire().write(large_line(2, 0x36));
  EXPECT_EQ(client.outcome(), "error:-32001");
  EXPECT_EQ(client.last_id(), 2);

  engine.answer(0, 0x35, "parts=1", "a\tb\tc\n");
  EXPECT_EQ(client.outcome(), "served:a\tb\tc\n");
  client.send_request(3, 0x37);
  ASSERT_TRUE(engine.next());
  engine.answer(0, 0x37, "parts=1", "d\te\tf\n");
  EXPECT_EQ(client.outcome(), "served:d\te\tf\n");
}

TEST_F(PlatformServerTest, AnOpenRequestIsNotAffectedByAnotherClientsUseOfItsTrace) {
  RunningServer server(config());
  RawClient regular_client(server.port()), other(server.port());

  regular_client.send_request(1, 0x900);
  EnginePeer engine(engine_listeners_[0]);
  ASSERT_TRUE(engine.next());

  other.wire().write(RawClient::request_line(1, 0x900));
  EXPECT_EQ(other.outcome(), "error:-32602");
  EXPECT_TRUE(other.wire().is_closed_by_peer());

  engine.answer(0, 0x900, "parts=1", "a\tb\tc\n");
  EXPECT_EQ(regular_client.outcome(), "served:a\tb\tc\n");
}

TEST_F(PlatformServerTest, SilentConnectionsAreEvictedForNewOnes) {
  PlatformConfig settings = config();
  settings.limits.descriptors = 128;
  RunningServer server(std::move(settings));
  RawClient regular_client(server.port());

  regular_client.send_request(1, 0x900);
  EnginePeer engine(engine_listeners_[0]);
  ASSERT_TRUE(engine.next());

  constexpr int client_count = 300;
  std::vector<RawClient> silent_clients;
  silent_clients.reserve(client_count);
  for (int i = 0; i < client_count; ++i) silent_clients.emplace_back(server.port());
  RawClient late_client(server.port());
  late_client.send_request(1, 0x901);
  EnginePeer second(engine_listeners_[0]);
  ASSERT_TRUE(second.next());

  second.answer(0, 0x901, "parts=1", "d\te\tf\n");
  EXPECT_EQ(late_client.outcome(), "served:d\te\tf\n");

  engine.answer(0, 0x900, "parts=1", "a\tb\tc\n");
  EXPECT_EQ(regular_client.outcome(), "served:a\tb\tc\n");

  for (RawClient& client : silent_clients) EXPECT_TRUE(client.wire().is_closed_by_peer());
}

TEST_F(PlatformServerTest, AClientThatReadsNothingIsClosedAndReleasesItsResources) {
  PlatformConfig settings = config();
  settings.limits.memory_mb = 4;  // allows 512 KiB of unread answers, besides the socket buffers
  RunningServer server(std::move(settings));
  RawClient non_reading_client(server.port());
  std::string page;

  while (page.size() < 5900) page += "0123456789\t0123456789\t0123456789\n";
  EnginePeer engine(engine_listeners_[0], 0);
  for (int id = 1; id <= 2000; ++id) {
    if (!non_reading_client.wire().write(RawClient::request_line(id, 0x1000U + static_cast<unsigned>(id))))
      break;
    if (!engine.is_open()) engine = EnginePeer(engine_listeners_[0]);
    auto command = engine.next(200);
    while (command && command->code != 1) command = engine.next(200);
    if (!command) break;  // the server no longer requests pages
    engine.answer(0, command->id, "parts=8", page);
    for (int number = 1; number < 8; ++number)
      engine.answer(9, command->id, "part_no=" + std::to_string(number), page);
  }
  EXPECT_TRUE(wait_until([&] { return server.clients() == 0; }));
  EXPECT_EQ(server.counts().sessions, 0U);
}

TEST_F(PlatformServerTest, TheHealthCheckSucceedsOnceTheServerCanServe) {
  RunningServer server(config());
  RawClient client(server.port());
  client.wire().write("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"isWell\",\"params\":{}}\n");
  const auto health = client.next();
  ASSERT_TRUE(health.is_object());
  EXPECT_TRUE(health.as_object().at("result").as_object().at("green").as_bool());
}

}  // namespace
}  // namespace paddlestand::platform::test

// How connections of clients end, from either side: what was said arrives, what comes too late is not acted
// on, who has gone costs nothing more. The order is forced by the peers; nothing hangs on how long things
// take.
#include "peers.hpp"

namespace paddlestand::platform::test {
namespace {

using namespace std::string_literals;

class Ends : public Platforms {
 protected:
  std::vector<EngineSide> resting_;
};

// The manager decides on the end while bytes lie unread: closed over them, the connection would be reset.
TEST_F(Ends, AConnectionThatIsTurnedAwayOverUnreadBytesIsShutDownAndNotReset) {
  Served served(config());
  RawClient client(served.port());
  client.wire().write(std::string(200'000, 'x'));  // read in parts of 64 KiB; too long at 96 KiB
  EXPECT_EQ(client.outcome(), "error:-32600");
  EXPECT_TRUE(client.wire().ends_whole());
  EXPECT_FALSE(client.wire().was_reset());
  client.wire().close();
  EXPECT_TRUE(comes_true([&] { return served.run([](PlatformServer& p) { return p.clients(); }) == 0; }));
}

TEST_F(Ends, ARequestBehindTheShutdownIsDroppedAndTheConnectionNotReset) {
  Served served(config());
  RawClient client(served.port());
  client.wire().write("noise\n");
  EXPECT_EQ(client.outcome(), "error:-32700");
  EXPECT_TRUE(client.wire().ends_whole());
  EXPECT_TRUE(client.wire().write(RawClient::line(1, 0x21)));  // it crossed the shutdown
  RawClient usual(served.port());
  usual.ask(1, 0x22);
  EngineSide engine(engines_[0]);
  const auto request = engine.next();
  ASSERT_TRUE(request);
  EXPECT_EQ(request->id, 0x22U);
  EXPECT_TRUE(comes_true([&] {
    return served.run([](PlatformServer& p) { return p.dropped_bytes(); }) == RawClient::line(1, 0x21).size();
  }));
  EXPECT_TRUE(client.wire().ends_whole());
  EXPECT_FALSE(client.wire().was_reset());
  engine.answer(0, 0x22, "parts=1", "a\tb\tc\n");
  EXPECT_EQ(usual.outcome(), "served:a\tb\tc\n");
  EXPECT_EQ(served.counts().sessions, 0U);
}

TEST_F(Ends, AClientThatNeverClosesIsClosedForIt) {
  Served served(config());
  RawClient client(served.port());
  client.wire().write("noise\n");
  EXPECT_TRUE(client.wire().ends_whole());
  EXPECT_TRUE(comes_true([&] { return served.run([](PlatformServer& p) { return p.clients(); }) == 0; }));
}

TEST_F(Ends, AClientThatGoesOnWritingBehindItsEndIsClosed) {
  Served served(config());
  RawClient client(served.port());
  client.wire().write("noise\n");
  const std::string more(64 * 1024, 'x');
  std::size_t written = 0;
  while (written < 256 * more.size() && client.wire().write(more)) written += more.size();
  EXPECT_LT(written, 256 * more.size());
  EXPECT_TRUE(comes_true([&] { return served.run([](PlatformServer& p) { return p.clients(); }) == 0; }));
}

// Each read ends inside a message, for longer than a whole message may take; each message itself comes soon.
TEST_F(Ends, AClientWhoseReadsAllEndInsideAMessageIsServed) {
  Served served(config());
  RawClient client(served.port());
  EngineSide engine;
  std::string rest = RawClient::line(1, 0x301);
  client.wire().write(rest.substr(0, 10));
  rest.erase(0, 10);
  const int messages = 9;  // of 0.8 s each
  for (int id = 1; id <= messages; ++id) {
    std::this_thread::sleep_for(800ms);
    const std::string next = RawClient::line(id + 1, 0x301U + static_cast<unsigned>(id));
    ASSERT_TRUE(client.wire().write(rest + next.substr(0, 10))) << id;
    rest = next.substr(10);
    if (!engine.open()) engine = EngineSide(engines_[0]);
    const auto request = engine.next();
    ASSERT_TRUE(request) << id;
    engine.answer(0, request->id, "parts=1", "a\tb\tc\n");
    EXPECT_EQ(client.outcome(), "served:a\tb\tc\n") << id;
  }
}

// A slow writer sends a byte now and then; what is bounded is silence, and the message as a whole.
TEST_F(Ends, ASlowWriterIsServed) {
  Served served(config());
  RawClient client(served.port());
  const std::string line = RawClient::line(1, 0x31);
  const std::size_t part = line.size() / 7;
  for (std::size_t at = 0; at < line.size(); at += part) {
    if (at > 0) std::this_thread::sleep_for(500ms);
    ASSERT_TRUE(client.wire().write(std::string_view(line).substr(at, part)));
  }
  EngineSide engine(engines_[0]);
  ASSERT_TRUE(engine.next());
  engine.answer(0, 0x31, "parts=1", "a\tb\tc\n");
  EXPECT_EQ(client.outcome(), "served:a\tb\tc\n");
}

// ---- Who has gone ----

// The engine holds its connection back; the client leaves meanwhile, each way that there is. The one whose
// request stands first is given up as well as the one that waits behind it.
TEST_F(Ends, NothingIsSentForAClientThatLeftWhileTheConnectionWasOpening) {
  PlatformConfig settings = config();
  settings.core.connect_timeout = 20s;
  Full full;  // its queue of connections is full: none comes up until the test takes one
  settings.known[0].records[0].port = full.port();
  Served served(std::move(settings));
  RawClient forgets(served.port()), closes(served.port()), resets(served.port()), stays(served.port());
  forgets.ask(1, 0x41);
  closes.ask(1, 0x42);
  resets.ask(1, 0x43);
  EXPECT_TRUE(comes_true([&] { return served.counts().sessions == 3; }));
  forgets.wire().write(forget_of(0x41));
  closes.wire().close();
  resets.wire().reset();
  EXPECT_TRUE(comes_true([&] { return served.counts().sessions == 0; }));
  stays.ask(1, 0x44);
  EXPECT_TRUE(comes_true([&] { return served.counts().sessions == 1; }));
  full.let_in();
  std::vector<EngineSide> sides;
  EXPECT_TRUE(comes_true([&] {
    if (EngineSide side(full, 1); side.open()) sides.push_back(std::move(side));
    for (EngineSide& side : sides) {
      const auto request = side.next(1);
      if (!request) continue;
      EXPECT_EQ(request->id, 0x44U);
      side.answer(0, request->id, "parts=1", "a\tb\tc\n");
      return true;
    }
    return false;
  }));
  EXPECT_EQ(stays.outcome(), "served:a\tb\tc\n");
}

// Its request and its end are there together when the loop comes to read: nothing is begun for it.
TEST_F(Ends, NothingIsSentForAClientThatAskedAndWentInOneBreath) {
  Served served(config());
  const std::uint16_t port = served.port();
  RawClient asked(port), reset(port), usual(port);
  for (RawClient* one : {&asked, &reset})
    one->wire().write("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"isWell\"}\n");
  EXPECT_EQ(asked.outcome(), "done");
  EXPECT_EQ(reset.outcome(), "done");
  served.run([&](PlatformServer&) {
    asked.ask(2, 0x46);
    asked.wire().close();
    reset.ask(2, 0x47);
    reset.wire().reset();
    return 0;
  });
  usual.ask(1, 0x48);
  EngineSide engine(engines_[0]);
  const auto request = engine.next();
  ASSERT_TRUE(request);
  EXPECT_EQ(request->id, 0x48U);
  EXPECT_EQ(served.counts().sessions, 1U);
  EXPECT_FALSE(EngineSide(engines_[0], 0).open());
}

// Its answers stand unread; it takes back another request then. A client that is not read for its backlog
// would not be heard, and its request would go on.
TEST_F(Ends, AForgetIsHeardBehindAnswersThatAreNotRead) {
  Served served(config());
  RawClient client(served.port());
  std::string page;
  while (page.size() < 5900) page += "0123456789\t0123456789\t0123456789\n";
  client.ask(1, 0x51);
  EngineSide held(engines_[0]);
  ASSERT_TRUE(held.next());
  // Each 64 KB as a line; what is beyond the sockets' own buffers stands at the manager.
  int id = 1;
  std::vector<EngineSide> sides;
  while (served.run([](PlatformServer& p) { return p.unread_bytes(); }) < 600 * 1024 && id < 200) {
    ++id;
    client.ask(id, 0x51U + static_cast<unsigned>(id));
    std::optional<engine_frames::Frame> request;
    EngineSide* at = nullptr;
    EXPECT_TRUE(comes_true([&] {
      if (EngineSide side(engines_[0], 1); side.open()) sides.push_back(std::move(side));
      for (EngineSide& side : sides) {
        request = side.next(1);
        at = &side;
        if (request && request->code == 1) return true;
      }
      return false;
    }));
    ASSERT_TRUE(request);
    at->answer(0, request->id, "parts=8", page);
    for (int number = 1; number < 8; ++number)
      at->answer(9, request->id, "part_no=" + std::to_string(number), page);
    EXPECT_TRUE(comes_true([&] { return served.counts().sessions == 1; }));
  }
  client.wire().write(forget_of(0x51));
  const auto given_up = held.next();
  ASSERT_TRUE(given_up);
  EXPECT_EQ(given_up->code, 2);
  EXPECT_EQ(given_up->id, 0x51U);
}

// An answer, a forget, a message that can't be taken and the client's end, all there in one turn of the loop,
// in every order: the manager goes on, owes nothing, and the next client is served.
TEST_F(Ends, AllThatCanComeInOneTurnMayComeInEveryOrder) {
  Served served(config());
  const std::uint16_t port = served.port();
  std::vector<int> order{0, 1, 2, 3};
  std::uint64_t trace = 0x1000;
  do {
    RawClient client(port);
    client.ask(1, ++trace);
    EngineSide engine;
    std::optional<engine_frames::Frame> request;
    ASSERT_TRUE(comes_true([&] {
      if (EngineSide side(engines_[0], 1); side.open()) resting_.push_back(std::move(side));
      for (EngineSide& side : resting_) {
        while (auto next = side.next(1))
          if (next->code == 1 && next->id == trace) {
            request = std::move(next);
            engine = std::move(side);
            return true;
          }
      }
      return false;
    }));
    std::erase_if(resting_, [](const EngineSide& side) { return !side.open(); });
    served.run([&](PlatformServer&) {
      for (const int what : order) {
        if (what == 0) engine.answer(0, trace, "parts=1", "a\tb\tc\n");
        if (what == 1) client.wire().write(forget_of(trace));
        if (what == 2) client.wire().write("noise\n");
        if (what == 3) client.wire().shut_down();
      }
      return 0;
    });
    EXPECT_TRUE(comes_true([&] { return served.run([](PlatformServer& p) { return p.clients(); }) == 0; }));
    EXPECT_EQ(served.counts().sessions, 0U);
    EXPECT_EQ(served.counts().attempts_out, 0U);
    resting_.push_back(std::move(engine));
  } while (std::next_permutation(order.begin(), order.end()));
}

// Silent clients fill the descriptors while the command channel is down. When it is back it is found, engines
// are reached, and no more descriptors are held than allowed.
TEST_F(Ends, IdleClientsLeaveDescriptorsToTheCommandChannelAndToEngines) {
  PlatformConfig settings = config();
  settings.limits.descriptors = 128;
  std::optional<Listener> down(std::in_place);
  settings.discovery_endpoint.port = down->port();
  down.reset();  // its port is nobody's
  const std::string path = ::testing::TempDir() + "paddlestand-crowd-" + std::to_string(::getpid()) + ".json";
  Served served(std::move(settings), path);
  std::vector<RawClient> silent;
  for (int i = 0; i < 300; ++i) silent.emplace_back(served.port());
  EXPECT_TRUE(comes_true([&] { return served.run([](PlatformServer& p) { return p.clients(); }) >= 52; }));
  std::ofstream(path) << config_text(channel_.port());
  served.run([](PlatformServer& p) { return p.reload(), 0; });
  Told told(channel_);
  EXPECT_EQ(told.from, 1U);
  told.event(2, {engine_at(9, engines_[0].port())});
  EXPECT_TRUE(comes_true([&] { return served.run([](PlatformServer& p) { return p.last_event(); }) == 2; }));
  RawClient usual(served.port());
  usual.ask(1, 0xa1);
  EngineSide engine(engines_[0]);
  ASSERT_TRUE(engine.next());
  EXPECT_LE(served.run([](PlatformServer& p) { return p.clients() + p.engine_connections(); }), 128U - 24U);
  engine.answer(0, 0xa1, "parts=1", "a\tb\tc\n");
  EXPECT_EQ(usual.outcome(), "served:a\tb\tc\n");
  ::unlink(path.c_str());
}

// ---- Leaving ----

using Leaves = Platforms;

// The restarted one: its known events, no command channel.
TEST_F(Leaves, OneThatStartsWithoutACommandChannelIsReadyAndServes) {
  PlatformConfig settings = config();
  std::optional<Listener> down(std::in_place);
  settings.discovery_endpoint.port = down->port();
  down.reset();
  Served served(std::move(settings));
  RawClient client(served.port());
  client.wire().write("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"isWell\"}\n");
  const auto well = client.next();
  ASSERT_TRUE(well.is_object());
  EXPECT_TRUE(well.as_object().at("result").as_object().at("green").as_bool());
  client.ask(2, 0xb1);
  EngineSide engine(engines_[0]);
  ASSERT_TRUE(engine.next());
  engine.answer(0, 0xb1, "parts=1", "a\tb\tc\n");
  EXPECT_EQ(client.outcome(), "served:a\tb\tc\n");
}

// SIGTERM while a reload waits for a file that can be read, the command channel is away and an engine hangs.
TEST_F(Leaves, ALeaveDuringAReloadWithoutACommandChannelEndsByItself) {
  const std::string path = ::testing::TempDir() + "paddlestand-leave-" + std::to_string(::getpid()) + ".json";
  std::ofstream(path) << "{\"name\":";
  PlatformConfig settings = config();
  for (ClassSettings& k : settings.core.module.classes) k.deadline = 400ms;
  std::optional<Listener> down(std::in_place);
  settings.discovery_endpoint.port = down->port();
  down.reset();
  boost::asio::io_context io(1);
  PlatformServer platform(io, std::move(settings), path, false);
  platform.start();
  std::thread loop([&] { io.run(); });
  RawClient client(platform.port());
  client.wire().write(RawClient::line(1, 0xb2, "report", "", 800));
  EngineSide engine(engines_[0]);
  ASSERT_TRUE(engine.next());
  boost::asio::post(io, [&] { platform.reload(), platform.begin_shutdown(), platform.reload(); });
  const std::string said = client.outcome();
  EXPECT_TRUE(said == "error:-32001" || said == "error:-32000") << said;
  client.wire().close();
  loop.join();
  ::unlink(path.c_str());
}

// The kernel has accepted it and it has written; the loop has not seen it when the listener is closed.
TEST_F(Leaves, AConnectionThatTheLoopHasNotSeenIsTakenWhenTheListenerCloses) {
  Served served(config());
  const std::uint16_t port = served.port();
  std::vector<RawClient> clients;
  served.run([&](PlatformServer& p) {
    for (int i = 0; i < 3; ++i) {
      clients.emplace_back(port);
      clients.back().ask(1, 0x61U + static_cast<unsigned>(i));
    }
    p.stop_accepting();
    return 0;
  });
  for (int i = 0; i < 3; ++i) {
    EngineSide engine(engines_[0]);
    const auto request = engine.next();
    ASSERT_TRUE(request);
    engine.answer(0, request->id, "parts=1", "a\tb\tc\n");
  }
  for (RawClient& client : clients) EXPECT_EQ(client.outcome(), "served:a\tb\tc\n");
}

// Just accepted for the loop, in the very turn in which the listener is closed. Where in the queue of the
// loop that falls is the loop's affair: one of these turns is it.
TEST_F(Leaves, AConnectionAcceptedInTheTurnOfTheCloseIsTaken) {
  for (int turns = 0; turns < 5; ++turns) {
    Served served(config());
    const std::uint16_t port = served.port();
    std::optional<RawClient> client;
    std::promise<void> closed;
    std::function<void(PlatformServer&, int)> after = [&](PlatformServer& p, int left) {
      if (left == 0) return p.stop_accepting(), closed.set_value();
      boost::asio::post(p.io(), [&after, &p, left] { after(p, left - 1); });
    };
    served.run([&](PlatformServer& p) {
      client.emplace(port);
      client->ask(1, 0x71);
      after(p, turns);
      return 0;
    });
    closed.get_future().get();
    EngineSide engine(engines_[0]);
    ASSERT_TRUE(engine.next()) << turns;
    engine.answer(0, 0x71, "parts=1", "a\tb\tc\n");
    EXPECT_EQ(client->outcome(), "served:a\tb\tc\n") << turns;
  }
}

TEST_F(Leaves, RestingConnectionsAreShutDownAndTheProcessEndsWhenTheyAreClosed) {
  PlatformConfig settings = config();
  settings.core.module.may_cancel = false;  // the attempt stays out, however long the test takes
  boost::asio::io_context io(1);
  PlatformServer platform(io, std::move(settings), "", false);
  platform.start();
  std::thread loop([&] { io.run(); });
  RawClient rests(platform.port()), asks(platform.port());
  rests.wire().write("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"isWell\"}\n");
  EXPECT_EQ(rests.outcome(), "done");
  asks.ask(1, 0x81);
  EngineSide engine(engines_[0]);
  ASSERT_TRUE(engine.next());
  boost::asio::post(io, [&] { platform.begin_shutdown(); });
  EXPECT_TRUE(rests.wire().ends_whole());
  EXPECT_TRUE(rests.wire().write(RawClient::line(2, 0x82)));  // crosses the shutdown: never sent on
  EXPECT_TRUE(rests.wire().ends_whole());
  asks.ask(2, 0x83);  // on a connection that still holds one: refused, not lost
  EXPECT_EQ(asks.outcome(), "error:-32001");
  EXPECT_EQ(asks.last_id(), 2);
  engine.answer(0, 0x81, "parts=1", "a\tb\tc\n");
  EXPECT_EQ(asks.outcome(), "served:a\tb\tc\n");
  EXPECT_TRUE(asks.wire().ends_whole());
  EXPECT_FALSE(rests.wire().was_reset());
  rests.wire().close();
  asks.wire().close();
  loop.join();
  EXPECT_FALSE(engine.next(0));
}

TEST_F(Leaves, TheTimeToLeaveFollowsFromTheLongestDeadline) {
  const auto life = [&](Duration first, Duration second) {
    PlatformConfig settings = config();
    settings.core.module.classes[0].deadline = first;
    settings.core.module.classes[1].deadline = second;
    boost::asio::io_context io(1);
    return PlatformServer(io, std::move(settings), "", false).termination_grace_period();
  };
  EXPECT_EQ(life(800ms, 1200ms), 1900ms);
  EXPECT_EQ(life(800ms, 25s), 3700ms);
  EXPECT_EQ(life(800ms, 0s), 3700ms);  // without a deadline it is the longest that counts
}

// Its client would wait beyond the kill, the engine hangs: the answer has to come before.
TEST_F(Leaves, WhatHangsUnderAShortDeadlineIsAnsweredBeforeTheKill) {
  PlatformConfig settings = config();
  for (ClassSettings& k : settings.core.module.classes) k.deadline = 400ms;
  boost::asio::io_context io(1);
  PlatformServer platform(io, std::move(settings), "", false);
  platform.start();
  std::thread loop([&] { io.run(); });
  RawClient client(platform.port());
  client.wire().write(RawClient::line(1, 0x91, "report", "", 800));
  EngineSide engine(engines_[0]);
  ASSERT_TRUE(engine.next());
  boost::asio::post(io, [&] { platform.begin_shutdown(); });
  const std::string said = client.outcome();
  EXPECT_TRUE(said == "error:-32001" || said == "error:-32000") << said;
  EXPECT_TRUE(client.wire().ends_whole());
  client.wire().close();
  loop.join();
}

}  // namespace
}  // namespace paddlestand::platform::test

// Attempts at engines whose connections end, hang or come up late, on real connections: what may have run is
// not sent again where that would be unsafe, what surely never ran goes elsewhere, and nothing stays behind.
#include "peers.hpp"

namespace paddlestand::platform::test {
namespace {

using namespace std::string_literals;

class Attempts : public TwoEngines {
 protected:
  PlatformConfig with_unsafe() {
    PlatformConfig settings = config();
    settings.core.module.classes[0].repeat = Idempotency::non_idempotent;
    settings.core.module.may_cancel = false;  // attempts stay out, however long a test takes
    return settings;
  }
  static std::size_t discovery_servers(Served& served) {
    return served.run([](PlatformServer& p) { return p.engine_connections(); });
  }
  bool nobody_is_asked() {
    EngineSide first(engines_[0], 0), second(engines_[1], 0);
    return !first.open() && !second.open();
  }
};

// Each way in which an attempt may have run: the client is told that it failed, and nothing is sent again.
TEST_F(Attempts, WhatMayHaveRunIsNotSentAgainWhereThatIsUnsafe) {
  std::string good, spoilt;
  engine_frames::put_frame(good, engine_frames::Side::engine, 0, 0x51, "parts=2,work=9", "a\tb\tc\n");
  spoilt = good;
  spoilt[spoilt.size() - 6] = static_cast<char>(spoilt[spoilt.size() - 6] ^ 4);
  const std::vector<std::function<void(EngineSide&)>> ways{
      [](EngineSide& e) { e.wire().reset(); },
      [](EngineSide& e) { e.wire().close(); },
      [](EngineSide& e) { e.answer(4, 0x51); },
      [&](EngineSide& e) { e.wire().write(spoilt); },
      [&](EngineSide& e) { e.wire().write(good.substr(0, 20)), e.wire().close(); },
      [&](EngineSide& e) { e.wire().write(good), e.wire().close(); },  // one page of two
      [&](EngineSide& e) { e.wire().write(good); },  // and its rest never comes
      [&](EngineSide& e) { e.wire().write(good.substr(0, 20)); },
  };
  for (std::size_t way = 0; way < ways.size(); ++way) {
    Served served(with_unsafe());
    RawClient client(served.port());
    client.ask(1, 0x51);
    EngineSide engine = whichever();
    ASSERT_TRUE(engine.next()) << way;
    ways[way](engine);
    EXPECT_EQ(client.outcome(), "error:-32000") << way;
    EXPECT_EQ(served.counts().sessions, 0U) << way;
    EXPECT_EQ(served.counts().attempts_out, 0U) << way;
    EXPECT_TRUE(nobody_is_asked()) << way;
  }
}

// Each way in which it surely never ran: it is sent elsewhere, once.
TEST_F(Attempts, WhatNeverRanIsSentElsewhereAlsoWhereARepeatIsUnsafe) {
  for (const std::uint8_t code : {std::uint8_t{3}, std::uint8_t{5}}) {
    Served served(with_unsafe());
    RawClient client(served.port());
    client.ask(1, 0x51);
    EngineSide first = whichever();
    ASSERT_TRUE(first.next());
    first.answer(code, 0x51);
    std::optional<engine_frames::Frame> again;
    std::optional<EngineSide> other;
    EXPECT_TRUE(comes_true([&] {
      again = first.next(1);
      if (again) return true;
      EngineSide side = EngineSide(engines_[0], 1);
      if (!side.open()) side = EngineSide(engines_[1], 1);
      if (side.open()) other.emplace(std::move(side));
      if (other) again = other->next(1);
      return again.has_value();
    }));
    ASSERT_TRUE(again);
    EXPECT_EQ(again->id, 0x51U);
    (other ? *other : first).answer(0, 0x51, "parts=1", "a\tb\tc\n");
    EXPECT_EQ(client.outcome(), "served:a\tb\tc\n");
    EXPECT_FALSE(first.next(0));
  }
}

// One engine's connections do not come up within the time to connect. What waited for one goes elsewhere;
// when they come up after all nothing is sent on them, and none is kept open.
TEST_F(Attempts, AConnectionThatComesUpLateCarriesNothing) {
  Full late;
  PlatformConfig settings = with_unsafe();
  settings.known[0].records[0].port = late.port();
  Served served(std::move(settings));
  RawClient client(served.port());
  std::vector<EngineSide> sides;
  for (int id = 1; id <= 6; ++id) {
    client.ask(id, 0x60U + static_cast<unsigned>(id));
    std::optional<engine_frames::Frame> request;
    EXPECT_TRUE(comes_true([&] {
      if (EngineSide side(engines_[1], 1); side.open()) sides.push_back(std::move(side));
      for (EngineSide& side : sides) {
        request = side.next(1);
        if (!request) continue;
        side.answer(0, request->id, "parts=1", "a\tb\tc\n");
        return true;
      }
      return false;
    })) << id;
    EXPECT_EQ(client.outcome(), "served:a\tb\tc\n") << id;
  }
  late.let_in();
  EXPECT_TRUE(comes_true([&] { return served.counts().channels == 0; }));
  const std::size_t open = sides.size();
  EXPECT_TRUE(comes_true([&] { return discovery_servers(served) <= open; }));
  for (;;) {
    EngineSide side(late, 1500);
    if (!side.open()) break;
    const auto came = side.next(0);
    EXPECT_TRUE(!came || came->code != 1) << "a request on a connection that came up late";
  }
}

// The engine is told to drain while a connection to it is opening: what waits goes elsewhere.
TEST_F(Attempts, ADrainWhileTheConnectionOpensSendsTheRequestElsewhere) {
  Full opening;
  PlatformConfig settings = with_unsafe();
  settings.core.connect_timeout = 20s;
  settings.known[0].records = {engine_at(1, opening.port())};
  Served served(std::move(settings));
  Told told(channel_);
  RawClient client(served.port());
  client.ask(1, 0x71);
  EXPECT_TRUE(comes_true([&] { return served.counts().attempts_out == 1; }));
  told.event(2, {engine_at(1, opening.port(), EngineState::draining), engine_at(2, engines_[1].port())});
  EngineSide other(engines_[1]);
  ASSERT_TRUE(other.next());
  other.answer(0, 0x71, "parts=1", "a\tb\tc\n");
  EXPECT_EQ(client.outcome(), "served:a\tb\tc\n");
  opening.let_in();
  EngineSide late(opening, 1500);
  EXPECT_TRUE(!late.open() || !late.next(0));
  EXPECT_EQ(served.counts().channels, 0U);
}

// ---- Hand-overs ----

// The engine closes a resting connection in the turn in which the next request is to go out on it.
TEST_F(Attempts, ARequestDoesNotGoOutOnAConnectionWhoseEndIsHere) {
  PlatformConfig settings = with_unsafe();
  settings.known[0].records.resize(1);
  Served served(std::move(settings));
  const std::uint16_t port = served.port();
  RawClient client(port);
  client.ask(1, 0x81);
  EngineSide resting(engines_[0]);
  ASSERT_TRUE(resting.next());
  resting.answer(0, 0x81, "parts=1", "a\tb\tc\n");
  EXPECT_EQ(client.outcome(), "served:a\tb\tc\n");
  // On the loop: both are there before it looks, the request's socket first.
  served.run([&](PlatformServer&) {
    client.ask(2, 0x82);
    resting.wire().shut_down();
    return 0;
  });
  EngineSide fresh(engines_[0]);
  const auto request = fresh.next();
  ASSERT_TRUE(request);
  EXPECT_EQ(request->id, 0x82U);
  fresh.answer(0, 0x82, "parts=1", "d\te\tf\n");
  EXPECT_EQ(client.outcome(), "served:d\te\tf\n");
  EXPECT_FALSE(resting.next(0));
}

// An answer and its connection's end in one read: it counts.
TEST_F(Attempts, AnAnswerRightBeforeTheConnectionsEndIsServed) {
  Served served(with_unsafe());
  RawClient client(served.port());
  client.ask(1, 0x91);
  EngineSide engine = whichever();
  ASSERT_TRUE(engine.next());
  served.run([&](PlatformServer&) {
    engine.answer(0, 0x91, "parts=1", "a\tb\tc\n");
    engine.wire().close();
    return 0;
  });
  EXPECT_EQ(client.outcome(), "served:a\tb\tc\n");
  EXPECT_TRUE(comes_true([&] { return discovery_servers(served) == 0; }));
}

// A second copy of an answer, behind the next request on that connection: it is nobody's.
TEST_F(Attempts, ASecondAnswerIsNotTakenForTheNextRequests) {
  PlatformConfig settings = with_unsafe();
  settings.known[0].records.resize(1);
  Served served(std::move(settings));
  RawClient client(served.port());
  client.ask(1, 0xa1);
  EngineSide engine(engines_[0]);
  ASSERT_TRUE(engine.next());
  engine.answer(0, 0xa1, "parts=1", "a\tb\tc\n");
  EXPECT_EQ(client.outcome(), "served:a\tb\tc\n");
  client.ask(2, 0xa2);
  ASSERT_TRUE(engine.next());
  engine.answer(0, 0xa1, "parts=1", "a\tb\tc\n");
  engine.answer(0, 0xa2, "parts=1", "d\te\tf\n");
  EXPECT_EQ(client.outcome(), "served:d\te\tf\n");
  EXPECT_EQ(client.last_id(), 2);
}

// ---- The command channel ----

// The event comes in the very turn in which its silence is found: it is taken, or asked for again.
TEST_F(Attempts, AnEventInTheTurnOfTheBeatsTimeOutIsNotLost) {
  Served served(config());
  std::optional<Told> told;
  told.emplace(channel_);
  served.run([&](PlatformServer&) {
    std::this_thread::sleep_for(2300ms);  // beyond two beats
    told->event(2, {engine_at(3, engines_[0].port())});
    return 0;
  });
  const auto last = [&] { return served.run([](PlatformServer& p) { return p.last_event(); }); };
  if (!comes_true([&] { return last() == 2 || !told->wire.read(1); })) FAIL();
  if (last() == 2) return;
  Told again(channel_);
  EXPECT_EQ(again.from, 1U);
  again.event(2, {engine_at(3, engines_[0].port())});
  EXPECT_TRUE(comes_true([&] { return last() == 2; }));
}

}  // namespace
}  // namespace paddlestand::platform::test

// The platform's host over real sockets, against peers that a test drives byte by byte. What is refused, cut
// or spoilt on the way is caused here; no test depends on how long anything takes.
#include "peers.hpp"

namespace paddlestand::platform::test {
namespace {

using namespace std::string_literals;

TEST_F(Platforms, AnAnswerInPagesIsServedWholeAndInOrder) {
  Served served(config());
  RawClient client(served.port());
  client.wire().write(RawClient::line(
      7, 0xabc, "load", R"(,"nonce":"5c0f6e1a2b3d4c59a8b7c6d5e4f30211","entity":"7f3a9c21e0b4d655")"));
  EngineSide engine(engines_[0]);
  const auto request = engine.next();
  ASSERT_TRUE(request);
  EXPECT_EQ(request->code, 1);
  EXPECT_EQ(request->id, 0xabcU);
  EXPECT_EQ(request->body, "SELECT 1 FROM a_1.b");
  EXPECT_EQ(engine_frames::field(request->fields, "kind"), "load");
  EXPECT_EQ(engine_frames::field(request->fields, "token"), "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
  const auto wait = engine_frames::count_in(engine_frames::field(request->fields, "ms").value_or(""));
  EXPECT_TRUE(wait && *wait >= 1 && *wait <= 7000);
  engine.answer(0, 0x999, "", "not\tasked\tfor\n");  // under an unknown id
  engine.answer(0, 0xabc, "parts=3,work=20,peak=10", "a\tb\tc\n");
  engine.answer(0, 0xabc, "parts=3,work=20,peak=10", "a\tb\tc\n");  // a second copy
  for (const char* page : {"1", "2"}) {
    const auto wanted = engine.next();
    ASSERT_TRUE(wanted);
    EXPECT_EQ(wanted->code, 6);
    EXPECT_EQ(wanted->fields, page);
  }
  engine.answer(9, 0xabc, "part_no=2", "g\th\ti\n");
  engine.answer(9, 0xabc, "part_no=1", "d\te\tf\n");
  EXPECT_EQ(client.outcome(), "served:a\tb\tc\nd\te\tf\ng\th\ti\n");
  EXPECT_EQ(client.last_id(), 7);
  const auto no_more = engine.next();
  ASSERT_TRUE(no_more);
  EXPECT_EQ(no_more->code, 7);
  // Late copies of it strike nothing, and the channel goes on.
  engine.answer(9, 0xabc, "part_no=1", "d\te\tf\n");
  client.ask(8, 0xabd);
  ASSERT_TRUE(engine.next());
  engine.answer(0, 0xabd, "parts=1", "");
  EXPECT_EQ(client.outcome(), "served:");
}

// Each spoils the first answer in its own way; the query is safe to repeat, and is served by the second.
TEST_F(TwoEngines, ASpoiltAnswerEndsItsConnectionAndIsNeverServed) {
  std::string good, longer;
  engine_frames::put_frame(good, engine_frames::Side::engine, 0, 0x51, "parts=1,work=9", "a\tb\tc\n");
  engine_frames::put_frame(longer, engine_frames::Side::engine, 0, 0x51, "parts=1", "a\tb\n");
  std::string flipped = good;
  flipped[flipped.size() - 6] = static_cast<char>(flipped[flipped.size() - 6] ^ 4);
  const std::vector<std::string> spoilt{flipped,
                                        longer,
                                        "noise that is no frame",
                                        "\x81\x02"s,
                                        "\x81\x00\x00\x04\xc0\x00\x00\x00"s,
                                        good.substr(0, good.size() - 3)};
  Served served(config());
  std::uint64_t trace = 0x51;
  int id = 0;
  RawClient client(served.port());
  for (const std::string& bytes : spoilt) {
    client.wire().write(RawClient::line(++id, trace));
    EngineSide first = whichever();
    const auto request = first.next();
    ASSERT_TRUE(request);
    std::string sent = bytes;
    first.wire().write(sent);
    EXPECT_TRUE(first.wire().ends()) << id;
    EngineSide second = whichever();
    const auto again = second.next();
    ASSERT_TRUE(again) << id;
    EXPECT_EQ(again->id, trace);
    second.answer(0, trace, "parts=1,work=9", "x\ty\tz\n");
    EXPECT_EQ(client.outcome(), "served:x\ty\tz\n") << id;
    second.wire().close();
    EXPECT_TRUE(comes_true(
        [&] { return served.run([](PlatformServer& p) { return p.engine_connections(); }) == 0; }));
  }
}

TEST_F(TwoEngines, AResetUnderARequestIsTriedAgain) {
  Served served(config());
  RawClient client(served.port());
  client.ask(1, 0x77);
  EngineSide first = whichever();
  ASSERT_TRUE(first.next());
  first.wire().reset();
  EngineSide second = whichever();
  ASSERT_TRUE(second.next());
  second.answer(0, 0x77, "parts=1", "a\tb\tc\n");
  EXPECT_EQ(client.outcome(), "served:a\tb\tc\n");
}

TEST_F(TwoEngines, ALateAnswerBehindAGiveUpStrikesNothing) {
  Served served(config());
  RawClient client(served.port());
  client.ask(1, 0x61);
  EngineSide engine = whichever();
  ASSERT_TRUE(engine.next());
  client.wire().write(forget_of(0x61));
  const auto given_up = engine.next();
  ASSERT_TRUE(given_up);
  EXPECT_EQ(given_up->code, 2);
  EXPECT_EQ(given_up->id, 0x61U);
  engine.answer(0, 0x61, "parts=1", "late\t\t\n");
  client.ask(2, 0x62);
  EngineSide other = whichever();  // not on the channel that may still say something
  const auto next = other.next();
  ASSERT_TRUE(next);
  EXPECT_EQ(next->id, 0x62U);
  other.answer(0, 0x62, "parts=1", "b\t\t\n");
  EXPECT_EQ(client.outcome(), "served:b\t\t\n");
  EXPECT_EQ(client.last_id(), 2);
  EXPECT_EQ(served.counts().sessions, 0U);
}

TEST_F(Platforms, BadClientsAreToldOrClosedAndReachNoEngine) {
  Served served(config());
  const std::uint16_t port = served.port();
  const std::string good = RawClient::line(1, 0x500);
  std::string many, taken_back;
  for (int i = 1; i <= 33; ++i) many += RawClient::line(i, 0x600U + static_cast<unsigned>(i));
  const std::vector<std::string> bad{
      "no json\n",
      "{\"jsonrpc\":\"2.0\"\n",
      std::string(200'000, 'x'),
      std::string(5000, '[') + "\n",
      good + "noise\n",  // the good one behind which noise came
      RawClient::line(1, 0x501) + RawClient::line(1, 0x502),  // two under one number
      RawClient::line(1, 0x503) + RawClient::line(2, 0x503),  // two under one trace
      RawClient::line(0, 0x504),
      RawClient::line(1, 0x505, "no-class"),
      RawClient::line(1, 0x506, "report", R"(,"need_mb":-5)"),
      RawClient::line(1, 0x507, "report", "", 2'000'000'000),
      RawClient::line(1, 0x508, "load"),
      many,
  };
  for (const std::string& bytes : bad) {
    RawClient client(port);
    client.wire().write(bytes);
    EXPECT_TRUE(client.wire().ends()) << bytes.substr(0, 80);
  }
  // Half a request, and nothing more; then one who says nothing at all.
  RawClient half(port), silent(port);
  half.wire().write(good.substr(0, 40));
  EXPECT_TRUE(half.wire().ends());
  EXPECT_TRUE(silent.wire().ends());
  EngineSide engine(engines_[0], 0);
  EXPECT_FALSE(engine.open());
  EXPECT_EQ(served.counts().sessions, 0U);
  // The usual ones are served meanwhile and after.
  RawClient usual(port);
  usual.ask(1, 0x900);
  EngineSide now(engines_[0]);
  ASSERT_TRUE(now.next());
  now.answer(0, 0x900, "parts=1", "a\tb\tc\n");
  EXPECT_EQ(usual.outcome(), "served:a\tb\tc\n");
}

TEST_F(Platforms, WhatIsTakenBackInTheSameBreathReachesNoEngineAndMakesNoRoom) {
  Served served(config());
  std::string back, unknown;
  for (int i = 1; i <= 100; ++i) {
    back +=
        RawClient::line(i, 0x700U + static_cast<unsigned>(i)) + forget_of(0x700U + static_cast<unsigned>(i));
    unknown += RawClient::line(i, 0x800U + static_cast<unsigned>(i)) + forget_of(0xfffff);
  }
  RawClient taking(served.port());
  taking.wire().write(back.substr(0, back.find("\n", back.find("forget")) + 1));
  EXPECT_EQ(taking.outcome(), "error:-32001");
  RawClient flood(served.port());  // forgets of what is not open make no room for more than 32
  flood.wire().write(unknown);
  EXPECT_EQ(flood.outcome(), "error:-32001");
  EXPECT_TRUE(flood.wire().ends());
  EXPECT_EQ(served.counts().sessions, 0U);
  EXPECT_FALSE(EngineSide(engines_[0], 0).open());
}

TEST_F(Platforms, StatementsOfOpenRequestsAreBoundedTogether) {
  PlatformConfig settings = config();
  settings.limits.memory_mb = 1;  // 128 KiB of statements
  Served served(std::move(settings));
  const std::string large = "\"content\":\"" + base64("SELECT '" + std::string(60'000, 'x') + "'") + "\"";
  const auto line = [&](std::uint64_t trace) {
    std::string text = RawClient::line(1, trace);
    const auto from = text.find("\"content\"");
    return text.replace(from, text.find("}}", from) - from, large);
  };
  RawClient first(served.port()), second(served.port()), third(served.port());
  first.wire().write(line(0x31));
  EngineSide one(engines_[0]);
  ASSERT_TRUE(one.next());
  second.wire().write(line(0x32));
  EngineSide two(engines_[0]);
  ASSERT_TRUE(two.next());
  third.wire().write(line(0x33));
  EXPECT_EQ(third.outcome(), "error:-32001");
  one.answer(0, 0x31, "parts=1", "a\tb\tc\n");
  EXPECT_EQ(first.outcome(), "served:a\tb\tc\n");
  RawClient fourth(served.port());  // there is room again
  fourth.wire().write(line(0x34));
  ASSERT_TRUE(one.next());
  one.answer(0, 0x34, "parts=1", "d\te\tf\n");
  EXPECT_EQ(fourth.outcome(), "served:d\te\tf\n");
}

TEST_F(Platforms, AnOpenRequestIsNotHarmedByAnotherClientsUseOfItsTrace) {
  Served served(config());
  RawClient usual(served.port()), other(served.port());
  usual.ask(1, 0x900);
  EngineSide engine(engines_[0]);
  ASSERT_TRUE(engine.next());
  other.wire().write(RawClient::line(1, 0x900));
  EXPECT_EQ(other.outcome(), "error:-32602");
  EXPECT_TRUE(other.wire().ends());
  engine.answer(0, 0x900, "parts=1", "a\tb\tc\n");
  EXPECT_EQ(usual.outcome(), "served:a\tb\tc\n");
}

TEST_F(Platforms, HundredsOfSilentConnectionsMakeRoom) {
  PlatformConfig settings = config();
  settings.limits.descriptors = 128;
  Served served(std::move(settings));
  RawClient usual(served.port());
  usual.ask(1, 0x900);
  EngineSide engine(engines_[0]);
  ASSERT_TRUE(engine.next());
  std::vector<RawClient> silent;
  for (int i = 0; i < 300; ++i) silent.emplace_back(served.port());
  RawClient late(served.port());
  late.ask(1, 0x901);
  EngineSide second(engines_[0]);
  ASSERT_TRUE(second.next());
  second.answer(0, 0x901, "parts=1", "d\te\tf\n");
  EXPECT_EQ(late.outcome(), "served:d\te\tf\n");
  engine.answer(0, 0x900, "parts=1", "a\tb\tc\n");
  EXPECT_EQ(usual.outcome(), "served:a\tb\tc\n");
  for (RawClient& one : silent) EXPECT_TRUE(one.wire().ends());
}

TEST_F(Platforms, AClientThatReadsNothingIsClosedAndCostsNoMore) {
  PlatformConfig settings = config();
  settings.limits.memory_mb =
      4;  // half a megabyte of answers that nobody reads, beside what the sockets take
  Served served(std::move(settings));
  RawClient deaf(served.port());
  std::string page;
  while (page.size() < 5900) page += "0123456789\t0123456789\t0123456789\n";
  EngineSide engine(engines_[0], 0);
  for (int id = 1; id <= 2000; ++id) {
    if (!deaf.wire().write(RawClient::line(id, 0x1000U + static_cast<unsigned>(id)))) break;
    if (!engine.open()) engine = EngineSide(engines_[0]);
    auto command = engine.next(200);
    while (command && command->code != 1) command = engine.next(200);
    if (!command) break;  // it is not read any more
    engine.answer(0, command->id, "parts=8", page);
    for (int number = 1; number < 8; ++number)
      engine.answer(9, command->id, "part_no=" + std::to_string(number), page);
  }
  EXPECT_TRUE(comes_true([&] { return served.run([](PlatformServer& p) { return p.clients(); }) == 0; }));
  EXPECT_EQ(served.counts().sessions, 0U);
}

// ---- The list of engines ----

TEST_F(TwoEngines, EventsAreTakenOnceAndAMissingOneIsAskedFor) {
  Served served(config());
  const auto last = [&] { return served.run([](PlatformServer& p) { return p.last_event(); }); };
  Told told(channel_);
  EXPECT_EQ(told.from, 1U);
  told.event(2, {engine_at(2, engines_[1].port(), EngineState::draining)});
  told.event(2, {engine_at(2, engines_[1].port())});  // told twice: the second is passed over
  EXPECT_TRUE(comes_true([&] { return last() == 2; }));
  told.event(4, {engine_at(1, engines_[0].port(), EngineState::removed)});
  EXPECT_TRUE(told.wire.ends());
  Told again(channel_);
  EXPECT_EQ(again.from, 2U);
  std::string half;
  discovery::Event three;
  three.number = 3;
  three.records = {engine_at(3, engines_[0].port())};
  discovery::put_event(half, three);
  again.wire.write(half.substr(0, 20));
  again.wire.close();  // in the middle of an event
  Told third(channel_);
  EXPECT_EQ(third.from, 2U);
  third.wire.write(half);
  EXPECT_TRUE(comes_true([&] { return last() == 3; }));
  // The drained engine gets nothing; those at the other address, one id after the other, do.
  RawClient client(served.port());
  for (int i = 1; i <= 4; ++i) client.ask(i, 0x100U + static_cast<unsigned>(i));
  for (int i = 0; i < 4;) {
    EngineSide engine(engines_[0]);
    ASSERT_TRUE(engine.open());
    const auto request = engine.next();
    ASSERT_TRUE(request);
    engine.answer(0, request->id, "parts=1", "a\tb\tc\n");
    EXPECT_EQ(client.outcome(), "served:a\tb\tc\n");
    ++i;
    while (i < 4) {
      const auto more = engine.next(100);
      if (!more) break;
      engine.answer(0, more->id, "parts=1", "a\tb\tc\n");
      EXPECT_EQ(client.outcome(), "served:a\tb\tc\n");
      ++i;
    }
  }
  EXPECT_FALSE(EngineSide(engines_[1], 0).open());
}

TEST_F(Platforms, AReloadMovesToAnotherCommandChannelAndABrokenFileChangesNothing) {
  const std::string path =
      ::testing::TempDir() + "paddlestand-platform-" + std::to_string(::getpid()) + ".json";
  Served served(config(), path);
  Told old(channel_);
  old.event(2, {engine_at(9, engines_[0].port())});
  EXPECT_TRUE(comes_true([&] { return served.run([](PlatformServer& p) { return p.last_event(); }) == 2; }));
  RawClient client(served.port());
  client.ask(1, 0x900);
  EngineSide engine(engines_[0]);
  ASSERT_TRUE(engine.next());
  std::ofstream(path) << "{\"name\":";  // half written
  served.run([](PlatformServer& p) { return p.reload(), 0; });
  Listener fresh;
  std::ofstream(path) << config_text(fresh.port());  // it is read again without another signal
  Told next(fresh);
  EXPECT_EQ(next.from, 2U);
  EXPECT_TRUE(old.wire.ends());
  served.run([](PlatformServer& p) { return p.reload(), p.reload(), 0; });  // a signal behind a signal
  Told last(fresh);
  EXPECT_EQ(last.from, 2U);
  engine.answer(0, 0x900, "parts=1", "a\tb\tc\n");
  EXPECT_EQ(client.outcome(), "served:a\tb\tc\n");
  ::unlink(path.c_str());
}

TEST_F(Platforms, AReloadFindsTheNewCommandChannelWhileTheOldOneIsDown) {
  const std::string path = ::testing::TempDir() + "paddlestand-down-" + std::to_string(::getpid()) + ".json";
  PlatformConfig settings = config();
  {
    Listener down;  // its port is nobody's once it is gone
    settings.discovery_endpoint.port = down.port();
  }
  Served served(std::move(settings), path);
  Listener fresh;
  std::ofstream(path) << config_text(fresh.port());
  served.run([](PlatformServer& p) { return p.reload(), 0; });
  Told told(fresh);
  EXPECT_EQ(told.from, 1U);
  told.event(2, {engine_at(9, engines_[0].port())});
  EXPECT_TRUE(comes_true([&] { return served.run([](PlatformServer& p) { return p.last_event(); }) == 2; }));
  ::unlink(path.c_str());
}

// New ids at one address, one after another, each with a request of its own.
TEST_F(Platforms, GenerationsOfEnginesLeaveNoChannelAndNoAddress) {
  Served served(config());
  Told told(channel_);
  RawClient client(served.port());
  std::uint64_t number = 1;
  told.event(++number, {engine_at(1, engines_[0].port(), EngineState::removed)});
  for (EngineId generation = 2; generation < 62; ++generation) {
    told.event(++number, {engine_at(generation, engines_[0].port())});
    ASSERT_TRUE(
        comes_true([&] { return served.run([](PlatformServer& p) { return p.last_event(); }) == number; }));
    client.ask(static_cast<int>(generation), 0x4000U + generation);
    EngineSide engine(engines_[0]);  // a channel of its own: the last one's was another engine's
    const auto request = engine.next();
    ASSERT_TRUE(request) << generation;
    engine.answer(0, request->id, "parts=1", "a\tb\tc\n");
    ASSERT_EQ(client.outcome(), "served:a\tb\tc\n") << generation;
    told.event(++number, {engine_at(generation, engines_[0].port(), EngineState::removed)});
    ASSERT_TRUE(engine.wire().ends()) << generation;
  }
  EXPECT_TRUE(
      comes_true([&] { return served.run([](PlatformServer& p) { return p.engine_connections(); }) == 0; }));
  EXPECT_EQ(served.run([](PlatformServer& p) { return p.engines(); }), 0U);
  EXPECT_EQ(served.counts().channels, 0U);
  EXPECT_EQ(served.counts().sessions, 0U);
}

// ---- Leaving ----

TEST_F(Platforms, AfterTermWhatStillComesIsAnsweredAndThenItEnds) {
  boost::asio::io_context io(1);
  PlatformServer platform(io, config(), "", false);
  platform.start();
  const std::uint16_t port = platform.port();
  std::thread loop([&] { io.run(); });
  const auto leave = [&] {
    std::promise<void> done;
    boost::asio::post(io, [&] { platform.begin_shutdown(), done.set_value(); });
    done.get_future().get();
  };
  RawClient client(port);
  client.ask(1, 0x900);
  EngineSide engine(engines_[0]);
  ASSERT_TRUE(engine.next());
  leave();
  leave();  // a second one changes nothing
  client.wire().write("{\"jsonrpc\":\"2.0\",\"id\":2,\"method\":\"isWell\"}\n");
  const auto well = client.next();
  ASSERT_TRUE(well.is_object());
  EXPECT_FALSE(well.as_object().at("result").as_object().at("green").as_bool());
  RawClient late(port);  // connections still come for a while
  late.ask(1, 0x901);
  EngineSide other(engines_[0]);
  ASSERT_TRUE(other.next());
  other.answer(0, 0x901, "parts=1", "d\te\tf\n");
  EXPECT_EQ(late.outcome(), "served:d\te\tf\n");
  engine.answer(0, 0x900, "parts=1", "a\tb\tc\n");
  EXPECT_EQ(client.outcome(), "served:a\tb\tc\n");
  loop.join();  // by itself, once nothing is held
}

TEST_F(Platforms, WellIsGreenOnceItCanServe) {
  Served served(config());
  RawClient client(served.port());
  client.wire().write("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"isWell\",\"params\":{}}\n");
  const auto well = client.next();
  ASSERT_TRUE(well.is_object());
  EXPECT_TRUE(well.as_object().at("result").as_object().at("green").as_bool());
}

}  // namespace
}  // namespace paddlestand::platform::test

/// Failures of engines, clients and files, and shortages of system resources, over real sockets. No duration
/// is asserted. A check that no further message arrives waits for a short time.
#include <optional>

#include "failure_fixtures.hpp"

namespace paddlestand::service::test {
namespace {

TEST(HardCase, EngineStopsRespondingBeforeTheFirstRowMidAnswerOrBeforeReadyForQuery) {
  Engine engine;
  RunningManager manager(manager_settings({engine->port()}));
  for (const char* fault : {"mute-first", "mute-mid", "mute-end"}) {
    engine.command(fault);
    RawClient client(manager.port());

    EXPECT_EQ(client.execute("select 1 /*class='settle',deadline_ms='400',sim_rows='6'*/"), "EZ") << fault;
    EXPECT_EQ(client.error_code(), "57014");
    EXPECT_EQ(pg::read_advice(client.error_hint()).harmless, false);
    EXPECT_FALSE(client.receives_more());

    engine.command("normal");
    EXPECT_EQ(client.execute("select 1 /*deadline_ms='10000'*/"), "TDCZ") << fault;
  }
  EXPECT_TRUE(manager.becomes_idle());
}

TEST(HardCase, EngineStopsRespondingAfterPartOfALargeAnswerWasDelivered) {
  Engine engine;
  RunningManager manager(manager_settings({engine->port()}));
  engine.command("mute-mid");
  RawClient client(manager.port());
  const std::string types =
      client.execute("select 1 /*deadline_ms='700',sim_rows='2000',sim_row_bytes='500'*/");

  EXPECT_EQ(types.substr(0, 2), "TD");
  EXPECT_EQ(types.substr(types.size() - 2), "EZ");
  EXPECT_EQ(types.find('E'), types.size() - 2);
  EXPECT_FALSE(client.receives_more());
}

TEST(HardCase, CancelOfQueuedRunningAndFinishedQueriesAndWithAWrongKey) {
  Engine engine;
  RunningManager manager(manager_settings({engine->port()}));
  const std::uint16_t port = manager.port();
  RawClient client(port);

  client.send_query("select 1 /*sim_work_ms='60000',sim_id='c1'*/");
  ASSERT_TRUE(wait_until([&] { return manager.counts().attempts_out == 1; }));

  std::string wrong_key = client.cancel_key();
  wrong_key.back() = static_cast<char>(wrong_key.back() ^ 1);
  send_cancel(port, wrong_key);
  EXPECT_EQ(manager.counts().queries_open, 1U);

  send_cancel(port, client.cancel_key());
  EXPECT_EQ(client.read_answer(), "EZ");
  EXPECT_EQ(client.error_code(), "57014");
  EXPECT_EQ(client.execute("select 2"), "TDCZ");

  send_cancel(port, client.cancel_key());  // no query is in flight
  EXPECT_EQ(client.execute("select 3"), "TDCZ");
  EXPECT_FALSE(client.receives_more());

  RunningManager without_engines(manager_settings({}));
  RawClient queued(without_engines.port());
  queued.send_query("select 1 /*cost_ms='10'*/");
  ASSERT_TRUE(wait_until([&] { return without_engines.counts().queries_open == 1; }));
  send_cancel(without_engines.port(), queued.cancel_key());
  EXPECT_EQ(queued.read_answer(), "EZ");
  EXPECT_EQ(queued.error_code(), "57014");
}

TEST(HardCase, ClientDisconnectsWithANonIdempotentQueryInFlight) {
  const std::string log = ::testing::TempDir() + "truth-disconnect-" + std::to_string(getpid()) + ".jsonl";
  test_engine::TestEngineSettings engine_settings;
  engine_settings.truth_log = log;
  Engine first(engine_settings), second(engine_settings);
  RunningManager manager(manager_settings({first->port(), second->port()}));

  {
    RawClient client(manager.port());
    client.send_query("select 1 /*class='settle',sim_work_ms='60000',sim_id='abandoned'*/");
    ASSERT_TRUE(wait_until([&] { return manager.counts().attempts_out == 1; }));
    ASSERT_TRUE(wait_until([&] { return count_events(events_of(log, "abandoned"), "started") == 1; }));
  }

  EXPECT_TRUE(manager.becomes_idle());
  EXPECT_TRUE(wait_until([&] { return count_events(events_of(log, "abandoned"), "cancelled") == 1; }));
  EXPECT_EQ(count_events(events_of(log, "abandoned"), "received"), 1U);
  unlink(log.c_str());
}

TEST(HardCase, ALateCancelNeverCancelsTheNextQueryOnAnEngine) {
  Engine engine;
  RunningManager manager(manager_settings({engine->port()}));
  const std::uint16_t port = manager.port();
  RawClient cancelling(port), other(port);

  for (int i = 0; i < 60; ++i) {
    // The query ends before its cancel arrives, at the same time or afterwards.
    cancelling.send_query("select 1 /*sim_work_ms='" + std::to_string(i % 4) + "'*/");
    send_cancel(port, cancelling.cancel_key());
    ASSERT_EQ(other.execute("select 2 /*sim_work_ms='1'*/"), "TDCZ") << other.error_code();
    const std::string types = cancelling.read_answer();
    ASSERT_TRUE(types == "TDCZ" || types == "EZ") << types;
  }
}

TEST(HardCase, ARetriedQueryWhoseAnswerWasLostIsAnsweredOnce) {
  Engine lossy, good;
  RunningManager manager(manager_settings({lossy->port(), good->port()}));
  RawClient client(manager.port());

  for (int i = 0; i < 6; ++i) ASSERT_EQ(client.execute("select 1 /*cost_ms='1'*/"), "TDCZ");

  lossy.command("lose 1");

  for (int i = 0; i < 10; ++i)
    ASSERT_EQ(client.execute("select 1 /*cost_ms='1'*/"), "TDCZ") << client.error_code();
  EXPECT_FALSE(client.receives_more());
}

TEST(HardCase, QueryByteByByteAndAThousandPipelinedQueries) {
  Engine engine;
  RunningManager manager(manager_settings({engine->port()}));
  RawClient client(manager.port());

  std::string bytes;
  pg::put_query(bytes, "select 1");
  for (const char c : bytes) client.send({&c, 1});

  EXPECT_EQ(client.read_answer(), "TDCZ");

  std::string pipelined;
  for (int i = 0; i < 1000; ++i) pg::put_query(pipelined, "select 1 /*sim_work_ms='0.01'*/");
  std::thread writer([&] { client.send(pipelined); });

  for (int i = 0; i < 1000; ++i) ASSERT_EQ(client.read_answer(), "TDCZ") << i;
  writer.join();
  EXPECT_FALSE(client.receives_more());
}

TEST(HardCase, AMessageLengthOfAGigabyteIsRejected) {
  RunningManager manager(manager_settings({}));
  RawClient client(manager.port());

  client.send({"Q\x40\0\0\0", 5});

  EXPECT_EQ(client.read_answer(), "E");
  EXPECT_EQ(client.error_code(), "08P01");
  EXPECT_TRUE(client.is_closed_by_server());

  RawClient early(manager.port(), Login::skip);
  early.send({"\x40\0\0\0", 4});  // before the login
  EXPECT_EQ(early.read_answer(), "E");
}

TEST(HardCase, AClientThatDoesNotReadIsBufferedUpToItsWindowAndDelaysNoOther) {
  Engine engine;
  RunningManager manager(
      manager_settings({engine->port()}, "<buffers answer=\"64KiB\" client=\"256KiB\" total=\"1MiB\"/>"));
  RawClient stalled(manager.port()), other(manager.port());

  stalled.send_query("select 1 /*deadline_ms='60000',sim_rows='60000',sim_row_bytes='1000'*/");
  // The buffered amount settles between half of the window and the window plus one read. It decreases when
  // the kernel accepts bytes late.
  ASSERT_TRUE(wait_until([&] { return manager.counts().bytes_buffered > 128 * 1024; }));

  for (int i = 0; i < 20; ++i) {
    ASSERT_EQ(other.execute("select 1"), "TDCZ");
    EXPECT_LT(manager.counts().bytes_buffered, 1200U * 1024);
  }

  const std::string types = stalled.read_answer();
  EXPECT_EQ(types.size(), 60003U);
  EXPECT_EQ(types.substr(types.size() - 2), "CZ");
  EXPECT_TRUE(manager.becomes_idle());
}

TEST(HardCase, APipeliningClientThatDoesNotReadIsBufferedUpToItsWindow) {
  Engine engine;
  RunningManager manager(
      manager_settings({engine->port()}, "<buffers answer=\"64KiB\" client=\"256KiB\" total=\"64MiB\"/>"));
  RawClient stalled(manager.port()), other(manager.port());

  constexpr int queries = 400;  // 20 MB of answers, each small enough to be buffered completely
  std::string pipelined;
  for (int i = 0; i < queries; ++i) {
    pg::put_query(pipelined,
                  "select 1 /*deadline_ms='60000',sim_work_ms='0.01',sim_rows='50',sim_row_bytes='1000'*/");
  }
  stalled.send(pipelined);
  ASSERT_TRUE(wait_until([&] { return manager.counts().bytes_buffered > std::size_t{200} * 1024; }));

  for (int i = 0; i < 200; ++i) {
    ASSERT_EQ(other.execute("select 1"), "TDCZ");
    EXPECT_LT(manager.counts().bytes_buffered, 400U * 1024);
  }

  for (int i = 0; i < queries; ++i) ASSERT_EQ(stalled.read_answer().size(), 53U) << i;
  EXPECT_TRUE(manager.becomes_idle());
}

TEST(HardCase, EngineRefusesConnectionsOrNeverResponds) {
  Engine refusing, silent, good;
  refusing.command("refuse");
  silent.command("vanish");
  RunningManager manager(manager_settings({refusing->port(), silent->port(), good->port()}));
  RawClient client(manager.port());

  for (int i = 0; i < 12; ++i)
    ASSERT_EQ(client.execute("select 1 /*class='settle'*/"), "TDCZ") << client.error_code();
}

TEST(HardCase, EngineListenQueueIsFull) {
  const FullListenQueue queue;
  ASSERT_TRUE(queue.is_full());
  Engine good;
  RunningManager manager(manager_settings({queue.port(), good->port()}));
  RawClient client(manager.port());

  for (int i = 0; i < 6; ++i)
    ASSERT_EQ(client.execute("select 1 /*class='settle'*/"), "TDCZ") << client.error_code();
}

TEST(HardCase, EngineRejectsForLackOfCapacity) {
  Engine full, good;
  full.command("full");
  RunningManager manager(manager_settings({full->port(), good->port()}));
  RawClient client(manager.port());

  for (int i = 0; i < 12; ++i)
    ASSERT_EQ(client.execute("select 1 /*class='settle'*/"), "TDCZ") << client.error_code();
}

TEST(HardCase, DescriptorsRunOutAndAreFreed) {
  Engine engine;
  RunningManager manager(manager_settings({engine->port()}));
  const std::uint16_t port = manager.port();
  RawClient established(port);
  ASSERT_EQ(established.execute("select 1"), "TDCZ");  // leaves an idle channel

  std::optional<DescriptorShortage> shortage(std::in_place);
  RawClient waiting(port, Login::skip);
  ASSERT_TRUE(waiting.is_connected());  // by the kernel; accept() fails for lack of a descriptor

  EXPECT_EQ(established.execute("select 1"), "TDCZ");

  shortage.reset();
  std::string startup;
  const std::vector<std::pair<std::string, std::string>> parameters{{"user", "ann"}};
  pg::put_startup(startup, parameters);
  waiting.send(startup);

  EXPECT_EQ(waiting.read_answer().back(), 'Z');
  EXPECT_EQ(waiting.execute("select 1"), "TDCZ");
}

TEST(HardCase, SessionsOverTheLimitAreRejectedWithAReason) {
  auto text = manager_settings({});
  text.replace(text.find("most-sessions=\"300\""), 19, "most-sessions=\"2\"");
  RunningManager manager(text);
  RawClient first(manager.port()), second(manager.port());
  RawClient rejected(manager.port(), Login::skip);

  EXPECT_EQ(rejected.read_answer(), "E");
  EXPECT_EQ(rejected.error_code(), "53300");
}

TEST(HardCase, ScramAuthenticatesOnlyWithTheRightPassword) {
  pg::Users users;
  users.mock_secret = "secret";
  users.verifiers["ann"] = pg::Verifier::of_password("right", "0123456789abcdef");
  RunningManager manager(manager_settings({}), users);
  const std::uint16_t port = manager.port();

  EXPECT_EQ(scram_login(port, "ann", "right"), "logged in");
  EXPECT_EQ(scram_login(port, "ann", "wrong"), "28P01");
  EXPECT_EQ(scram_login(port, "bob", "right"), "28P01");
}

TEST(HardCase, EachInvalidTagIsRejectedWithOneError) {
  Engine engine;
  RunningManager manager(manager_settings({engine->port()}));
  RawClient client(manager.port());

  for (const char* tags : {"class='nope'", "cost_ms='-1'", "cost_ms='1e300'", "cost_ms='x'",
                           "deadline_ms='0'", "memory_mb='nan'", "tenant='nobody'", "repeat='yes'"}) {
    EXPECT_EQ(client.execute("select 1 /*" + std::string(tags) + "*/"), "EZ") << tags;
    EXPECT_EQ(client.error_code(), "22023") << tags;
  }

  EXPECT_EQ(client.execute("select 1 /*traceparent='00-x',unknown='y'*/"), "TDCZ");
}

TEST(HardCase, GracefulShutdownAnswersQueriesInFlightAndClosesIdleSessions) {
  Engine engine;
  RunningManager manager(manager_settings({engine->port()}));
  RawClient idle(manager.port()), busy(manager.port());

  busy.send_query("select 1 /*sim_work_ms='300'*/");
  ASSERT_TRUE(wait_until([&] { return manager.counts().attempts_out == 1; }));

  manager.begin_shutdown();

  EXPECT_EQ(idle.read_answer(), "E");
  EXPECT_EQ(idle.error_code(), "57P01");
  const std::string types = busy.read_answer();
  EXPECT_EQ(types, "TDCZ");
  EXPECT_EQ(busy.read_answer(), "E");
}

TEST(HardCase, EngineListIsReloadedInvalidOnesAreIgnoredAndDrainsAreFollowed) {
  const TemporaryFolder folder;
  test_engine::TestEngineSettings engine_settings;
  engine_settings.truth_log = folder.path("truth.jsonl");
  Engine first(engine_settings);
  engine_settings.name = "second";
  Engine second(engine_settings);
  folder.replace_engine_list(engine_element(1, first->port(), "ready") + "</engines>");
  RunningManager manager(manager_settings_with_list_file(), trusted_users(), folder.path("manager.xml"));
  RawClient client(manager.port());

  ASSERT_EQ(client.execute("select 1 /*cost_ms='1',sim_id='a'*/"), "TDCZ");

  folder.replace_engine_list(engine_element(1, first->port(), "rea"));  // truncated
  std::this_thread::sleep_for(60ms);
  ASSERT_EQ(client.execute("select 1 /*cost_ms='1',sim_id='b'*/"), "TDCZ");

  folder.remove("engines.xml");
  std::this_thread::sleep_for(60ms);
  ASSERT_EQ(client.execute("select 1 /*cost_ms='1',sim_id='c'*/"), "TDCZ");

  // The draining state alone keeps queries from the first engine; they are sent to the second one.
  folder.replace_engine_list(engine_element(1, first->port(), "draining") +
                             engine_element(2, second->port(), "ready") + "</engines>");
  // The idle channels of the draining engine are closed.
  ASSERT_TRUE(wait_until([&] { return manager.counts().channels_idle == 0; }));

  for (int i = 0; i < 5; ++i) ASSERT_EQ(client.execute("select 1 /*cost_ms='1',sim_id='d'*/"), "TDCZ");
  const auto events = events_of(engine_settings.truth_log, "d");
  EXPECT_EQ(count_events(events, "received"), 5U);
  for (const auto& event : events) EXPECT_EQ(event["engine"], "second");

  second.command("drain");
  first.command("die-not");  // an unknown command, which has no effect
  EXPECT_EQ(client.execute("select 1 /*cost_ms='1',sim_id='e'*/"), "TDCZ");  // on the open channel

  // A reload of an invalid settings file changes nothing.
  folder.write("manager.xml", "<manager");
  manager.reload();
  EXPECT_EQ(client.execute("select 1 /*cost_ms='1'*/"), "TDCZ");

  // Nor does a reload of a missing settings file.
  folder.remove("manager.xml");
  manager.reload();
  EXPECT_EQ(client.execute("select 1 /*cost_ms='1'*/"), "TDCZ");
}

TEST(HardCase, DescriptorsAndTimersDoNotLeak) {
  Engine engine;
  RunningManager manager(manager_settings({engine->port()}));
  const auto open_descriptors = [] {
    int open = 0;
    for (int descriptor = 0; descriptor < 1024; ++descriptor) open += fcntl(descriptor, F_GETFD) >= 0 ? 1 : 0;
    return open;
  };

  int before = 0;
  for (int round = 0; round < 60; ++round) {
    RawClient client(manager.port());
    for (int i = 0; i < 10; ++i) ASSERT_EQ(client.execute("select 1 /*sim_work_ms='0.1'*/"), "TDCZ");
    if (round % 3 == 0) {
      client.send_query("select 1 /*sim_work_ms='60000'*/");  // the client disconnects while it runs
    }
    if (round == 5) {
      ASSERT_TRUE(manager.becomes_idle());
      before = open_descriptors();
    }
  }

  ASSERT_TRUE(manager.becomes_idle());
  // Both ends of the channels to the engine, eight at most, are in this process; descriptors that leak in
  // each round would exceed the margin.
  EXPECT_TRUE(wait_until([&] { return open_descriptors() <= before + 20; }))
      << open_descriptors() << " " << before;
  EXPECT_LT(manager.counts().timers, 1000U);
}

}  // namespace
}  // namespace paddlestand::service::test

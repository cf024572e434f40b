// Found in the sweep of incident 32, of its class: something that has ended, and its successor of the same
// name. The order of events is given at each test; each failed on the program before the sweep.
#include "incident_test.hpp"

namespace paddlestand::platform::test {
namespace {

using namespace std::string_literals;

constexpr std::uint64_t request_trace = 0x7700000000000002;
constexpr int tiny_buffer = 2048;

// ---- A cancel that is not transmitted ----

class EngineThatDoesNotRead : public IncidentTest {
 protected:
  EngineThatDoesNotRead() : IncidentTest(2, {.receive_buffer = tiny_buffer}) {}

  static std::string large_request(int number) {
    const std::string statement = "SELECT '" + std::string(60'000, 'x') + "' FROM a_1.b";
    return R"({"jsonrpc":"2.0","id":)" + std::to_string(number) +
           R"(,"method":"report","params":{"trace":"7700000000000002","patience":5000,"weight":20,"content":")" +
           base64(statement) + "\"}}\n";
  }
};

// The first engine does not read: its connection's buffers are full of a request. The manager cuts the
// attempt and sends the next one to the other engine. The cancel waits behind the request, and so would an
// orderly close: once the engine reads again it has the complete request, which runs beside the second
// attempt.
TEST_F(EngineThatDoesNotRead, HasNoAttemptOnceTheNextOneBegins) {
  ASSERT_TRUE(client().wire().write(large_request(next_number())));
  ASSERT_TRUE(comes_true([&] { return engine(0).has_input() || engine(1).has_input(); }));

  CountingEngine& non_reading_engine = engine(0).has_input() ? engine(0) : engine(1);
  CountingEngine& other = engine(0).has_input() ? engine(1) : engine(0);
  Connection* second = nullptr;
  ASSERT_TRUE(comes_true([&] {
    other.poll([&](Connection& connection, const auto& frame) {
      second = frame.id == request_trace ? &connection : second;
    });
    return second != nullptr;
  })) << manager().log();

  // Now it reads, all that there is.
  for (int i = 0; i < 100; ++i) {
    non_reading_engine.poll([](Connection&, const auto&) {});
    std::this_thread::sleep_for(2ms);
  }
  EXPECT_EQ(non_reading_engine.attempts_started(request_trace), 0U)
      << "it got the whole of a request that was given up";

  other.serve(*second, request_trace);
  EXPECT_EQ(client().outcome(), "served:a\tb\tc\n");
}

// ---- An engine that is removed and restarted ----

class OneEngine : public IncidentTest {
 protected:
  OneEngine() : IncidentTest(1) {}
};

// The list says in one breath that the engine is gone and that it is ready, started anew under its id and at
// its address. Connections to the earlier process are still open, and idle: what is asked now goes out on a
// new one, to the process that is there now.
TEST_F(OneEngine, ARestartedEngineIsReachedOnNewConnections) {
  const std::uint64_t earlier = engine().last_connection();
  const DiscoveryPeer discovery_peer(discovery_server());
  auto removed = engine_record(1, engine().port(), EngineState::removed);
  auto ready = engine_record(1, engine().port());

  ready.entry.started = std::chrono::system_clock::now().time_since_epoch() - std::chrono::hours(1);
  discovery_peer.send_event(2, {removed});
  discovery_peer.send_event(3, {ready});
  const std::string ready_is_logged = R"("event":"engine_updated","engine":1,"state":1,"discovery_event":3})";
  ASSERT_TRUE(comes_true([&] { return manager().log().find(ready_is_logged) != std::string::npos; }));

  client().send_request(next_number(), request_trace);
  std::uint64_t on_connection = 0;
  const std::string outcome = outcome_while(client(), [&](auto& engine, auto& connection, const auto& frame) {
    if (frame.id == request_trace && frame.code == 1) on_connection = connection.number;
    serve_request(engine, connection, frame);
  });
  EXPECT_EQ(outcome, "served:a\tb\tc\n");
  EXPECT_GT(on_connection, earlier);
}

// ---- A request that is sent once more ----

// A client's connection ends under a request; it sends the request once more, under the same id, on a new
// connection. The manager reads the new request before the end of the old connection. The earlier attempt is
// given up, the new request goes out on another connection and is served; it was called a wrong one.
TEST_F(OneEngine, ServesARepeatedRequestBeforeTheCloseOfItsOldConnectionIsRead) {
  auto old_client = std::make_unique<RawClient>(manager().port());
  old_client->send_request(1, request_trace);
  ASSERT_TRUE(run_until([&] { return engine().attempts_started(request_trace) == 1; },
                        [](auto&, auto&, const auto&) {}));

  RawClient new_client(manager().port());
  ASSERT_EQ(new_client.outcome(1), "nothing");

  manager().stop();
  new_client.send_request(1, request_trace);
  old_client.reset();
  manager().resume();
  EXPECT_EQ(outcome_while(new_client, serve_request), "served:a\tb\tc\n") << manager().log();
  EXPECT_EQ(max_concurrent_attempts(), 1U);
  EXPECT_EQ(engine().reused_ids(), 0U);
}

// An id is reused by a later request while a duplicate of the earlier answer is still on its way.
TEST_F(OneEngine, ADuplicateAnswerIsNotCreditedToALaterRequestWithTheSameId) {
  client().send_request(next_number(), request_trace);
  Connection* first = nullptr;
  ASSERT_EQ(outcome_while(client(),
                          [&](auto& engine, auto& connection, const auto& frame) {
                            if (frame.id == request_trace) first = &connection;
                            serve_request(engine, connection, frame);
                          }),
            "served:a\tb\tc\n");

  RawClient other(manager().port());
  other.send_request(1, request_trace);
  const std::string outcome = outcome_while(other, [&](auto& engine, auto& connection, const auto& frame) {
    if (frame.id != request_trace || frame.code != 1) return;
    first->peer.answer(0, request_trace, "parts=1,work=5", "of\tthe\tfirst\n");
    after(50ms, engine, connection, [](auto& engine, auto& same_connection) {
      engine.serve(same_connection, request_trace, "of\tthe\tsecond\n");
    });
  });
  EXPECT_EQ(outcome, "served:of\tthe\tsecond\n");
}

// ---- Commands behind the end of their attempt ----

// The engine answers an error to the first page that is asked for. Of an attempt that has ended nothing more
// is said on its connection: no further pages are asked for, nothing is given up, no priority is changed.
TEST_F(OneEngine, NoCommandIsSentAboutAnEndedAttempt) {
  client().send_request(next_number(), request_trace);
  bool has_ended = false;
  std::uint64_t ended_on = 0;
  std::size_t commands_after_end = 0;
  const std::string outcome = outcome_while(client(), [&](auto& engine, auto& connection, const auto& frame) {
    if (frame.id != request_trace) return;
    if (has_ended && connection.number == ended_on) ++commands_after_end;
    if (frame.code == 1 && engine.attempts_started(request_trace) == 1) {
      engine.answer(connection, engine_frames::Reply::error, request_trace);
      has_ended = true;
      ended_on = connection.number;
    } else if (frame.code == 1) {
      after(100ms, engine, connection,
            [](auto& engine, auto& same_connection) { engine.serve(same_connection, request_trace); });
    }
  });
  EXPECT_EQ(outcome, "served:a\tb\tc\n");
  EXPECT_EQ(commands_after_end, 0U);
}

// ---- Connections that are shared, since descriptors are short ----

class FewDescriptors : public IncidentTest {
 protected:
  FewDescriptors() : IncidentTest(1, {.max_descriptors = 12}) {}  // three connections to the engine
};

// Each request's first attempt is over already when it comes, and the engine says so twice, while others run
// on its connection. Each has one attempt out at a time, and what its second one is answered.
TEST_F(FewDescriptors, DuplicatesOnSharedConnectionsEndNoOtherAttempt) {
  constexpr int requests = 6;
  const int first_number = next_number();

  for (int i = 0; i < requests; ++i)
    client().send_request(i == 0 ? first_number : next_number(), request_trace + static_cast<unsigned>(i));
  for (int answers = 0; answers < requests; ++answers) {
    const std::string outcome =
        outcome_while(client(), [&](auto& engine, auto& connection, const auto& frame) {
          if (frame.code != 1) return;
          const std::uint64_t id = frame.id;
          if (engine.attempts_started(id) > 1)
            return after(100ms, engine, connection,
                         [id](auto& engine, auto& same_connection) { engine.serve(same_connection, id); });
          after(20ms, engine, connection, [id](auto& engine, auto& same_connection) {
            engine.answer(same_connection, engine_frames::Reply::over, id);
            same_connection.peer.answer(static_cast<std::uint8_t>(engine_frames::Reply::over), id);
          });
        });
    EXPECT_EQ(outcome, "served:a\tb\tc\n") << manager().log();
  }
  EXPECT_EQ(max_concurrent_attempts(), 1U);
  EXPECT_EQ(engine().reused_ids(), 0U);
  EXPECT_LE(engine().connections(), 3U);
  EXPECT_EQ(manager().count_logged("violation"), 0U);
}

}  // namespace
}  // namespace paddlestand::platform::test

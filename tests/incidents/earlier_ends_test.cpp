/// Defects of the class of incident 32, found in a sweep after it: something that has ended is confused with
/// its successor of the same name. The order of events is given at each test; each failed on the program
/// before the sweep.
#include "incident_test.hpp"

namespace paddlestand::platform::test {
namespace {

using engine_frames::Command;
using engine_frames::Reply;

constexpr std::uint64_t request_trace = 0x7700000000000002;
constexpr int tiny_buffer = 2048;  // bytes

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

// The first engine does not read: its connection's buffers are full of a request. The manager cancels
// the attempt and sends the next one to the other engine. The cancel waits behind the request, and so would
// an orderly close: once the engine reads again it has the complete request, which runs beside the second
// attempt.
TEST_F(EngineThatDoesNotRead, HasNoAttemptOnceTheNextOneBegins) {
  ASSERT_TRUE(client().wire().write(large_request(next_number())));
  ASSERT_TRUE(wait_until([&] { return engine(0).has_input() || engine(1).has_input(); }));

  CountingEngine& non_reading_engine = engine(0).has_input() ? engine(0) : engine(1);
  CountingEngine& other = engine(0).has_input() ? engine(1) : engine(0);
  Connection* second = nullptr;
  ASSERT_TRUE(wait_until([&] {
    other.poll([&](Connection& connection, const auto& frame) {
      second = frame.id == request_trace ? &connection : second;
    });
    return second != nullptr;
  })) << manager().log();

  // The engine reads again, all that there is.
  constexpr int reads = 100;
  for (int i = 0; i < reads; ++i) {
    non_reading_engine.poll([](Connection&, const auto&) {});
    std::this_thread::sleep_for(2ms);
  }
  EXPECT_EQ(non_reading_engine.attempts_started(request_trace), 0U)
      << "it received a complete request that was cancelled";

  other.serve(*second, request_trace);
  EXPECT_EQ(client().outcome(), "served:a\tb\tc\n");
}

// ---- An engine that is removed and restarted ----

class OneEngine : public IncidentTest {
 protected:
  OneEngine() : IncidentTest(1) {}
};

// Two endpoint events arrive at once: the engine is removed, and it is ready, with a new process under its id
// and at its address. Connections to the earlier process are still open, and idle: the next request is sent
// on a new one, to the new process.
TEST_F(OneEngine, ARestartedEngineIsReachedOnNewConnections) {
  const std::uint64_t earlier = engine().last_connection();
  const DiscoveryPeer discovery_peer(discovery_server());
  auto removed = engine_record(1, engine().port(), EngineState::removed);
  auto ready = engine_record(1, engine().port());

  ready.entry.started = std::chrono::system_clock::now().time_since_epoch() - std::chrono::hours(1);
  discovery_peer.send_event(2, {removed});
  discovery_peer.send_event(3, {ready});
  const std::string ready_is_logged = R"("event":"engine_updated","engine":1,"state":1,"discovery_event":3})";
  ASSERT_TRUE(wait_until([&] { return manager().log().find(ready_is_logged) != std::string::npos; }));

  client().send_request(next_number(), request_trace);
  std::uint64_t on_connection = 0;
  const std::string outcome = outcome_while(client(), [&](auto& engine, auto& connection, const auto& frame) {
    if (frame.id == request_trace && is(frame, Command::request)) on_connection = connection.number;
    serve_request(engine, connection, frame);
  });
  EXPECT_EQ(outcome, "served:a\tb\tc\n");
  EXPECT_GT(on_connection, earlier);
}

// ---- A request that a client repeats ----

// A client's connection ends while its request is open; it repeats the request, under the same id, on a new
// connection. The manager reads the new request before the end of the old connection. The earlier attempt is
// cancelled, the new request is sent on another connection and is served. Before the fix it was answered as
// invalid.
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

// An id is reused by a later request while a duplicate of the earlier answer is in transit.
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
    if (frame.id != request_trace || !is(frame, Command::request)) return;
    first->peer.answer(static_cast<std::uint8_t>(Reply::ok), request_trace, "parts=1,work=5",
                       "of\tthe\tfirst\n");
    after(50ms, engine, connection, [](auto& engine, auto& same_connection) {
      engine.serve(same_connection, request_trace, "of\tthe\tsecond\n");
    });
  });
  EXPECT_EQ(outcome, "served:of\tthe\tsecond\n");
}

// ---- Commands after the end of their attempt ----

// The engine answers the first attempt with an error. Nothing more is sent about an attempt that has ended on
// its connection: no request for further pages, no cancel, no change of priority.
TEST_F(OneEngine, NoCommandIsSentAboutAnEndedAttempt) {
  client().send_request(next_number(), request_trace);
  bool has_ended = false;
  std::uint64_t ended_on = 0;
  std::size_t commands_after_end = 0;
  const std::string outcome = outcome_while(client(), [&](auto& engine, auto& connection, const auto& frame) {
    if (frame.id != request_trace) return;
    if (has_ended && connection.number == ended_on) ++commands_after_end;
    const bool is_request = is(frame, Command::request);
    if (is_request && engine.attempts_started(request_trace) == 1) {
      engine.answer(connection, Reply::error, request_trace);
      has_ended = true;
      ended_on = connection.number;
    } else if (is_request) {
      after(100ms, engine, connection,
            [](auto& engine, auto& same_connection) { engine.serve(same_connection, request_trace); });
    }
  });
  EXPECT_EQ(outcome, "served:a\tb\tc\n");
  EXPECT_EQ(commands_after_end, 0U);
}

// ---- Connections that are shared because there are few descriptors ----

class FewDescriptors : public IncidentTest {
 protected:
  FewDescriptors() : IncidentTest(1, {.max_descriptors = 12}) {}  // three connections to the engine
};

// The engine answers each request's first attempt with `over`, twice, while others run on its connection.
// Each request has one active attempt at a time, and its answer is that of the second one.
TEST_F(FewDescriptors, DuplicatesOnSharedConnectionsEndNoOtherAttempt) {
  constexpr int requests = 6;
  const int first_number = next_number();

  for (int i = 0; i < requests; ++i)
    client().send_request(i == 0 ? first_number : next_number(), request_trace + static_cast<unsigned>(i));
  for (int answers = 0; answers < requests; ++answers) {
    const std::string outcome =
        outcome_while(client(), [&](auto& engine, auto& connection, const auto& frame) {
          if (!is(frame, Command::request)) return;
          const std::uint64_t id = frame.id;
          if (engine.attempts_started(id) > 1) {
            after(100ms, engine, connection,
                  [id](auto& engine, auto& same_connection) { engine.serve(same_connection, id); });
            return;
          }
          after(20ms, engine, connection, [id](auto& engine, auto& same_connection) {
            engine.answer(same_connection, Reply::expired, id);
            same_connection.peer.answer(static_cast<std::uint8_t>(Reply::expired), id);
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

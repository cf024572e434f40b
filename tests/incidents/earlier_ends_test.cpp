/// Regression tests for defects like incident 32: an attempt, engine process or connection that has ended is
/// confused with its successor of the same id or address. Each test states the order of events; each of them
/// failed on the version before the fixes.
#include "incident_test.hpp"

namespace paddlestand::platform::test {
namespace {

using engine_frames::Command;
using engine_frames::Reply;

constexpr std::uint64_t request_trace = 0x7700000000000002;
constexpr int small_receive_buffer = 2048;  // bytes

// ---- A cancel that stays in the send buffer ----

class NonReadingEngine : public IncidentTest {
 protected:
  NonReadingEngine() : IncidentTest(2, {.receive_buffer = small_receive_buffer}) {}

  static std::string large_request(int number) {
    const std::string statement = "SELECT '" + std::string(60'000, 'x') + "' FROM a_1.b";
    return R"({"jsonrpc":"2.0","id":)" + std::to_string(number) +
           R"(,"method":"report","params":{"trace":"7700000000000002","patience":5000,"weight":20,"content":")" +
           base64(statement) + "\"}}\n";
  }
};

// The first engine does not read, so a large request fills the buffers of its connection. The manager cancels
// the attempt and sends the next one to the other engine. The cancel, like a graceful close, would be queued
// behind the request: once the engine reads again, it would receive the complete request and run it
// concurrently with the second attempt. The manager must reset the connection instead.
TEST_F(NonReadingEngine, NeverReceivesACancelledRequestCompletely) {
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

  // The engine reads all remaining input.
  constexpr int reads = 100;
  for (int i = 0; i < reads; ++i) {
    non_reading_engine.poll([](Connection&, const auto&) {});
    std::this_thread::sleep_for(2ms);
  }
  EXPECT_EQ(non_reading_engine.attempts_started(request_trace), 0U)
      << "the engine received the complete cancelled request";

  other.serve(*second, request_trace);
  EXPECT_EQ(client().outcome(), "served:a\tb\tc\n");
}

// ---- An engine that is removed and restarted ----

class OneEngine : public IncidentTest {
 protected:
  OneEngine() : IncidentTest(1) {}
};

// Two discovery events arrive together: the engine is removed, and a new process is ready under the same id
// and address. Idle connections to the earlier process are still open. The next request must be sent to the
// new process, on a new connection.
TEST_F(OneEngine, ARestartedEngineIsReachedOnNewConnections) {
  const std::uint64_t last_old_connection = engine().last_connection();
  const DiscoveryPeer discovery_peer(discovery_server());
  auto removed = engine_record(1, engine().port(), EngineState::removed);
  auto ready = engine_record(1, engine().port());

  ready.entry.started = std::chrono::system_clock::now().time_since_epoch() - std::chrono::hours(1);
  discovery_peer.send_event(2, {removed});
  discovery_peer.send_event(3, {ready});
  const std::string ready_is_logged = R"("event":"engine_updated","engine":1,"state":1,"discovery_event":3})";
  ASSERT_TRUE(wait_until([&] { return manager().log().find(ready_is_logged) != std::string::npos; }));

  client().send_request(next_number(), request_trace);
  std::uint64_t request_connection = 0;
  const std::string outcome = outcome_while(client(), [&](auto& engine, auto& connection, const auto& frame) {
    if (frame.id == request_trace && is_command(frame, Command::request))
      request_connection = connection.number;
    serve_request(engine, connection, frame);
  });
  EXPECT_EQ(outcome, "served:a\tb\tc\n");
  EXPECT_GT(request_connection, last_old_connection);
}

// ---- A request repeated on a new connection ----

// A client's connection ends while its request is open, and the client repeats the request under the same id
// on a new connection. The manager reads the new request before the close of the old connection. It must
// cancel the earlier attempt, send the new request on another connection and serve it. Before the fix it
// answered the new request as invalid.
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

// A later request has the same id as an answered one, and a duplicate of the earlier answer arrives.
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
    if (frame.id != request_trace || !is_command(frame, Command::request)) return;
    first->peer.answer(static_cast<std::uint8_t>(Reply::ok), request_trace, "parts=1,work=5",
                       "of\tthe\tfirst\n");
    run_after(50ms, engine, connection, [](auto& engine, auto& same_connection) {
      engine.serve(same_connection, request_trace, "of\tthe\tsecond\n");
    });
  });
  EXPECT_EQ(outcome, "served:of\tthe\tsecond\n");
}

// ---- Commands for an attempt that has ended ----

// The engine answers the first attempt with an error. After that the manager must send no command for it on
// its connection: no request for further pages, no cancel, no change of priority.
TEST_F(OneEngine, NoCommandIsSentForAnEndedAttempt) {
  client().send_request(next_number(), request_trace);
  bool has_ended = false;
  std::uint64_t ended_connection = 0;
  std::size_t commands_after_end = 0;
  const std::string outcome = outcome_while(client(), [&](auto& engine, auto& connection, const auto& frame) {
    if (frame.id != request_trace) return;
    if (has_ended && connection.number == ended_connection) ++commands_after_end;
    const bool is_request = is_command(frame, Command::request);
    if (is_request && engine.attempts_started(request_trace) == 1) {
      engine.answer(connection, Reply::error, request_trace);
      has_ended = true;
      ended_connection = connection.number;
    } else if (is_request) {
      run_after(100ms, engine, connection,
                [](auto& engine, auto& same_connection) { engine.serve(same_connection, request_trace); });
    }
  });
  EXPECT_EQ(outcome, "served:a\tb\tc\n");
  EXPECT_EQ(commands_after_end, 0U);
}

// ---- Connections shared because of a low descriptor limit ----

class LowDescriptorLimit : public IncidentTest {
 protected:
  /// Allows three connections to the engine.
  LowDescriptorLimit() : IncidentTest(1, {.max_descriptors = 12}) {}
};

// The engine answers the first attempt of each request twice with `over`, while other requests run on the
// same connection. Each request must have one active attempt at a time and get the answer of its second
// attempt.
TEST_F(LowDescriptorLimit, DuplicateAnswersOnSharedConnectionsEndNoOtherAttempt) {
  constexpr int requests = 6;
  const int first_number = next_number();

  for (int i = 0; i < requests; ++i)
    client().send_request(i == 0 ? first_number : next_number(), request_trace + static_cast<unsigned>(i));
  for (int answers = 0; answers < requests; ++answers) {
    const std::string outcome =
        outcome_while(client(), [&](auto& engine, auto& connection, const auto& frame) {
          if (!is_command(frame, Command::request)) return;
          const std::uint64_t id = frame.id;
          if (engine.attempts_started(id) > 1) {
            run_after(100ms, engine, connection,
                      [id](auto& engine, auto& same_connection) { engine.serve(same_connection, id); });
            return;
          }
          run_after(20ms, engine, connection, [id](auto& engine, auto& same_connection) {
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

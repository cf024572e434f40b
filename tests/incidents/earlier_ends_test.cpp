// Found in the sweep of incident 32, of its class: something that has ended, and its successor of the same
// name. The order of events is told at each test; each failed on the program before the sweep.
#include "incident_run.hpp"

namespace paddlestand::platform::test {
namespace {

using namespace std::string_literals;

constexpr std::uint64_t asked_id = 0x7700000000000002;
constexpr int tiny_buffer = 2048;

// ---- A cancel that does not leave ----

class EngineThatDoesNotRead : public IncidentRun {
 protected:
  EngineThatDoesNotRead() : IncidentRun(2, {.receive_buffer = tiny_buffer}) {}

  static std::string large_request(int number) {
    const std::string statement = "SELECT '" + std::string(60'000, 'x') + "' FROM a_1.b";
    return R"({"jsonrpc":"2.0","id":)" + std::to_string(number) +
           R"(,"method":"report","params":{"trace":"7700000000000002","patience":5000,"weight":20,"content":")" +
           base64(statement) + "\"}}\n";
  }
};

// The first engine does not read: its connection's buffers are full of a request. The manager cuts the
// attempt and sends the next one to the other engine. The cancel waits behind the request, and so would an
// orderly close: once the engine reads again it has a whole request, which runs beside the second attempt.
TEST_F(EngineThatDoesNotRead, HasNoAttemptOnceTheNextOneBegins) {
  ASSERT_TRUE(client().wire().write(large_request(next_number())));
  ASSERT_TRUE(comes_true([&] { return engine(0).has_input() || engine(1).has_input(); }));
  CountingEngine& deaf = engine(0).has_input() ? engine(0) : engine(1);
  CountingEngine& other = engine(0).has_input() ? engine(1) : engine(0);
  Connection* second = nullptr;
  ASSERT_TRUE(comes_true([&] {
    other.step([&](Connection& on, const auto& frame) { second = frame.id == asked_id ? &on : second; });
    return second != nullptr;
  })) << manager().log();
  // Now it reads, all that there is.
  for (int i = 0; i < 100; ++i) {
    deaf.step([](Connection&, const auto&) {});
    std::this_thread::sleep_for(2ms);
  }
  EXPECT_EQ(deaf.begun(asked_id), 0U) << "it got the whole of a request that was given up";
  other.serve(*second, asked_id);
  EXPECT_EQ(client().outcome(), "served:a\tb\tc\n");
}

// ---- An engine that is gone and ready again ----

class OneEngine : public IncidentRun {
 protected:
  OneEngine() : IncidentRun(1) {}
};

// The list says in one breath that the engine is gone and that it is ready, started anew under its id and at
// its address. Connections to the earlier process are still open, and idle: what is asked now goes out on a
// new one, to the process that is there now.
TEST_F(OneEngine, StartedAnewIsSpokenToOnNewConnections) {
  const std::uint64_t earlier = engine().last_connection();
  const Told told(discovery_server());
  auto gone = engine_at(1, engine().port(), EngineState::removed);
  auto ready = engine_at(1, engine().port());
  ready.entry.started = std::chrono::system_clock::now().time_since_epoch() - std::chrono::hours(1);
  told.event(2, {gone});
  told.event(3, {ready});
  ASSERT_TRUE(comes_true([&] { return manager().log().find("event 3") != std::string::npos; }));
  client().ask(next_number(), asked_id);
  std::uint64_t on_connection = 0;
  const std::string outcome = outcome_while(client(), [&](auto& engine, auto& on, const auto& frame) {
    if (frame.id == asked_id && frame.code == 1) on_connection = on.number;
    serve_all(engine, on, frame);
  });
  EXPECT_EQ(outcome, "served:a\tb\tc\n");
  EXPECT_GT(on_connection, earlier);
}

// ---- A request that is sent once more ----

// A client's connection ends under a request; it sends the request once more, under the same id, on a new
// connection. The manager reads the new request before the end of the old connection. The earlier attempt is
// given up, the new request goes out on another connection and is served; it was called a wrong one.
TEST_F(OneEngine, ServesARequestThatIsSentOnceMoreBeforeItsOldConnectionsEndIsRead) {
  auto old_client = std::make_unique<RawClient>(manager().port());
  old_client->ask(1, asked_id);
  ASSERT_TRUE(run_until([&] { return engine().begun(asked_id) == 1; }, [](auto&, auto&, const auto&) {}));
  RawClient fresh(manager().port());
  ASSERT_EQ(fresh.outcome(1), "nothing");
  manager().stop();
  fresh.ask(1, asked_id);
  old_client.reset();
  manager().go_on();
  EXPECT_EQ(outcome_while(fresh, serve_all), "served:a\tb\tc\n") << manager().log();
  EXPECT_EQ(most_out(), 1U);
  EXPECT_EQ(engine().ids_used_again(), 0U);
}

// An id is used again by a later request while a copy of the earlier answer is still to come.
TEST_F(OneEngine, ACopyOfAnAnswerIsNotTakenForThatOfALaterRequestWithTheSameId) {
  client().ask(next_number(), asked_id);
  Connection* first = nullptr;
  ASSERT_EQ(outcome_while(client(),
                          [&](auto& engine, auto& on, const auto& frame) {
                            if (frame.id == asked_id) first = &on;
                            serve_all(engine, on, frame);
                          }),
            "served:a\tb\tc\n");
  RawClient other(manager().port());
  other.ask(1, asked_id);
  const std::string outcome = outcome_while(other, [&](auto& engine, auto& on, const auto& frame) {
    if (frame.id != asked_id || frame.code != 1) return;
    first->side.answer(0, asked_id, "parts=1,work=5", "of\tthe\tfirst\n");
    after(50ms, engine, on,
          [](auto& engine, auto& then) { engine.serve(then, asked_id, "of\tthe\tsecond\n"); });
  });
  EXPECT_EQ(outcome, "served:of\tthe\tsecond\n");
}

// ---- Commands behind the end of their attempt ----

// The engine answers an error to the first page that is asked for. Of an attempt that has ended nothing more
// is said on its connection: no further pages are asked for, nothing is given up, no priority is changed.
TEST_F(OneEngine, NothingIsSaidOfAnAttemptThatHasEnded) {
  client().ask(next_number(), asked_id);
  bool ended = false;
  std::uint64_t ended_on = 0;
  std::size_t said_behind = 0;
  const std::string outcome = outcome_while(client(), [&](auto& engine, auto& on, const auto& frame) {
    if (frame.id != asked_id) return;
    if (ended && on.number == ended_on) ++said_behind;
    if (frame.code == 1 && engine.begun(asked_id) == 1) {
      engine.answer(on, engine_frames::Reply::error, asked_id);
      ended = true, ended_on = on.number;
    } else if (frame.code == 1) {
      after(100ms, engine, on, [](auto& engine, auto& then) { engine.serve(then, asked_id); });
    }
  });
  EXPECT_EQ(outcome, "served:a\tb\tc\n");
  EXPECT_EQ(said_behind, 0U);
}

// ---- Connections that are shared, since descriptors are short ----

class FewDescriptors : public IncidentRun {
 protected:
  FewDescriptors() : IncidentRun(1, {.most_descriptors = 12}) {}  // three connections to the engine
};

// Each request's first attempt is over already when it comes, and the engine says so twice, while others run
// on its connection. Each has one attempt out at a time, and what its second one is answered.
TEST_F(FewDescriptors, CopiesOnSharedConnectionsEndNoOtherAttempt) {
  constexpr int requests = 6;
  const int first_number = next_number();
  for (int i = 0; i < requests; ++i)
    client().ask(i == 0 ? first_number : next_number(), asked_id + static_cast<unsigned>(i));
  for (int answers = 0; answers < requests; ++answers) {
    const std::string outcome = outcome_while(client(), [&](auto& engine, auto& on, const auto& frame) {
      if (frame.code != 1) return;
      const std::uint64_t id = frame.id;
      if (engine.begun(id) > 1)
        return after(100ms, engine, on, [id](auto& engine, auto& then) { engine.serve(then, id); });
      after(20ms, engine, on, [id](auto& engine, auto& then) {
        engine.answer(then, engine_frames::Reply::over, id);
        then.side.answer(static_cast<std::uint8_t>(engine_frames::Reply::over), id);
      });
    });
    EXPECT_EQ(outcome, "served:a\tb\tc\n") << manager().log();
  }
  EXPECT_EQ(most_out(), 1U);
  EXPECT_EQ(engine().ids_used_again(), 0U);
  EXPECT_LE(engine().connections(), 3U);
  EXPECT_EQ(manager().logged("violation"), 0U);
}

}  // namespace
}  // namespace paddlestand::platform::test

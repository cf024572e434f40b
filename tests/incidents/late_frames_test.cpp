// What users saw: a request that may be repeated, but may have one attempt out at a time, ran twice at once
// at one engine; of a request that must not run twice, both runs took effect.
//
// The order of events:
//   1. the first attempt ends: the engine writes `error`, `full` or `over already`; or it wrote the first
//   page
//      of its result and answers `error` to each further page, since it does not know the query any more;
//   2. the manager sends the second attempt to the same engine, on the same connection, under the same id;
//   3. the engine's remaining frames about the first attempt arrive: the second `error`, a duplicate;
//   4. the manager credits them to the second attempt, which still runs, and sends a third.
//
// The cause: a stream was known by the request's id alone, and the id was free again at the first end. A late
// frame about an attempt that had ended was credited to its successor, since both went by one name.
//
// The evidence: the engine's own account on one connection, two requests under one id without an end written
// between them, within 1 ms of the late frame; with the late frame held back there was one further attempt.
#include "incident_test.hpp"

namespace paddlestand::platform::test {
namespace {

using engine_frames::Reply;
using Connection = CountingEngine::Connection;

constexpr std::uint64_t request_trace = 0x7700000000000001;
constexpr auto second_attempt_duration = 250ms;  // long enough for the first one's remaining frames to arrive
const std::string late_row = "of\tthe\tfirst\n", second_row = "of\tthe\tsecond\n";

// What the engine does with the first attempt.
struct FailureMode {
  const char* name;
  const char* class_name;
  bool expects_retry;  // whether a further attempt may follow
  std::function<void(CountingEngine&, Connection&)> immediate_step;
  std::function<void(CountingEngine&, Connection&)> delayed_step;  // 30 ms after
  // How requests for further pages are answered.
  std::function<void(CountingEngine&, Connection&, const engine_frames::Frame&)> on_page;
};

void answer_error(CountingEngine& engine, Connection& connection) {
  engine.answer(connection, Reply::error, request_trace);
}
// A copy ends nothing: by the engine's account its attempt has ended before.
void send_copy(Connection& connection, Reply code, std::string_view fields = {}, std::string_view body = {}) {
  connection.peer.answer(static_cast<std::uint8_t>(code), request_trace, fields, body);
}
void reject_unknown_page(CountingEngine&, Connection& connection, const engine_frames::Frame&) {
  send_copy(connection, Reply::error);
}
void answer_first_page(CountingEngine& engine, Connection& connection) {
  engine.answer(connection, Reply::ok, request_trace, "parts=3,work=5", "a\tb\tc\n");
}

std::vector<FailureMode> failure_modes() {
  const auto answered_twice = [](Reply code) {
    return [code](CountingEngine& engine, Connection& connection) {
      engine.answer(connection, code, request_trace);
      send_copy(connection, code);
    };
  };
  const auto late_copy = [](Reply code, std::string fields = {}, std::string body = {}) {
    return [=](CountingEngine&, Connection& connection) { send_copy(connection, code, fields, body); };
  };
  return {
      {"ErrorAlone", "report", true, answer_error, {}, {}},
      {"PagesUnknown", "report", true, answer_first_page, {}, reject_unknown_page},
      {"ErrorTwice", "report", true, answered_twice(Reply::error), {}, {}},
      {"ErrorAndLateCopy", "report", true, answer_error, late_copy(Reply::error), {}},
      {"KeyedErrorTwice", "load", true, answered_twice(Reply::error), {}, {}},
      {"KeyedErrorAndLateCopy", "load", true, answer_error, late_copy(Reply::error), {}},
      {"UnsafeOverTwice", "settle", true, answered_twice(Reply::over), {}, {}},
      {"UnsafeOverAndLateCopy",
       "settle",
       true,
       [](CountingEngine& engine, Connection& connection) {
         engine.answer(connection, Reply::over, request_trace);
       },
       late_copy(Reply::over),
       {}},
      {"UnsafeFullTwice", "settle", true, answered_twice(Reply::full), {}, {}},
      {"FullAndLateCopy",
       "report",
       true,
       [](CountingEngine& engine, Connection& connection) {
         engine.answer(connection, Reply::full, request_trace);
       },
       late_copy(Reply::full),
       {}},
      {"ErrorAndLateAnswer",
       "report",
       true,
       answer_error,
       late_copy(Reply::ok, "parts=1,work=5", late_row),
       {}},
      {"ErrorAndLatePage", "report", true, answer_error, late_copy(Reply::page, "part_no=1", late_row), {}},
      {"ErrorAndLateFirstPage",
       "report",
       true,
       answer_error,
       late_copy(Reply::ok, "parts=2,work=5", late_row),
       {}},
  };
}

class LateFrames : public IncidentTest, public ::testing::WithParamInterface<std::size_t> {
 protected:
  LateFrames() : IncidentTest(1), failure_mode_(failure_modes()[GetParam()]) {}

  void on_request(Connection& connection) {
    if (engine().attempts_started(request_trace) == 1) {
      failure_mode_.immediate_step(engine(), connection);
      if (failure_mode_.delayed_step) after(30ms, engine(), connection, failure_mode_.delayed_step);
      return;
    }
    after(second_attempt_duration, engine(), connection,
          [](CountingEngine& engine, Connection& same_connection) {
            if (same_connection.active_attempts.contains(request_trace))
              engine.serve(same_connection, request_trace, second_row);
          });
  }

  FailureMode failure_mode_;
};

TEST_P(LateFrames, NeverEndTheNextAttempt) {
  const std::string more = failure_mode_.class_name == std::string("load")
                               ? R"(,"entity":"00000000000000aa","nonce":"5c0f6e1a2b3d4c59a8b7c6d5e4f30211")"
                               : "";

  ASSERT_TRUE(client().wire().write(
      RawClient::request_line(next_number(), request_trace, failure_mode_.class_name, more, 5000)));

  const std::string outcome = outcome_while(
      client(), [&](CountingEngine& engine, Connection& connection, const engine_frames::Frame& frame) {
        if (frame.id != request_trace) return;
        if (frame.code == 1) on_request(connection);
        if (frame.code == 6 && failure_mode_.on_page) failure_mode_.on_page(engine, connection, frame);
      });
  EXPECT_EQ(engine().max_concurrent_attempts(), 1U) << "attempts out at once\n" << manager().log();
  EXPECT_EQ(engine().reused_ids(), 0U) << "an id came twice on one connection";

  if (failure_mode_.expects_retry) {
    EXPECT_EQ(engine().attempts_started(request_trace), 2U);
    EXPECT_EQ(outcome, "served:" + second_row);
  }
  EXPECT_EQ(manager().count_logged("violation"), 0U) << manager().log();
}

INSTANTIATE_TEST_SUITE_P(Ways, LateFrames, ::testing::Range(std::size_t{0}, failure_modes().size()),
                         [](const auto& info) { return std::string(failure_modes()[info.param].name); });

}  // namespace
}  // namespace paddlestand::platform::test

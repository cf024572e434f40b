/// Incident: late frames of an engine about an attempt that has ended.
///
/// What users saw: a request that is safe to retry, but may have one active attempt at a time, ran twice at
/// once at one engine; of a request that must not run twice, both runs took effect.
///
/// The order of events:
///   1. the first attempt ends: the engine writes `error`, `full` or `over`; or it has written the first page
///   of
///      its result and answers `error` to each request for a further page, since it no longer knows the
///      query;
///   2. the manager sends the second attempt to the same engine, on the same connection, under the same id;
///   3. the engine's remaining frames about the first attempt arrive: the second `error`, a duplicate;
///   4. the manager credits them to the second attempt, which still runs, and sends a third.
///
/// The cause: a stream was identified by the request's id alone, and the id was free again at the first end.
/// A late frame about an attempt that had ended was credited to its successor, since both had the same id.
///
/// The evidence: the engine's own account of one connection, two requests under one id without an end written
/// between them, within 1 ms of the late frame; with the late frame withheld there was one further attempt.
#include "incident_test.hpp"

namespace paddlestand::platform::test {
namespace {

using engine_frames::Command;
using engine_frames::Reply;
using Connection = CountingEngine::Connection;

constexpr std::uint64_t request_trace = 0x7700000000000001;
constexpr auto delayed_step_delay = 30ms;  // after the first attempt's start
constexpr auto second_attempt_duration = 250ms;  // long enough for the first one's remaining frames to arrive
const std::string late_row = "of\tthe\tfirst\n";
const std::string second_row = "of\tthe\tsecond\n";

using Step = std::function<void(CountingEngine&, Connection&)>;

/// What the engine does with the first attempt. Steps may be empty.
struct FailureMode {
  const char* name;
  const char* class_name;
  bool expects_retry;  // whether a further attempt may follow
  Step immediate_step;
  Step delayed_step;
  // How requests for further pages are answered.
  std::function<void(CountingEngine&, Connection&, const engine_frames::Frame&)> on_page;
};

Step answers(Reply code) {
  return [code](CountingEngine& engine, Connection& connection) {
    engine.answer(connection, code, request_trace);
  };
}

/// A duplicate ends nothing: by the engine's account its attempt has ended before.
void send_duplicate(Connection& connection, Reply code, std::string_view fields = {},
                    std::string_view body = {}) {
  connection.peer.answer(static_cast<std::uint8_t>(code), request_trace, fields, body);
}

Step sends_duplicate(Reply code, const std::string& fields = {}, const std::string& body = {}) {
  return [=](CountingEngine&, Connection& connection) { send_duplicate(connection, code, fields, body); };
}

Step answers_twice(Reply code) {
  return [code](CountingEngine& engine, Connection& connection) {
    engine.answer(connection, code, request_trace);
    send_duplicate(connection, code);
  };
}

void answer_first_page(CountingEngine& engine, Connection& connection) {
  engine.answer(connection, Reply::ok, request_trace, "parts=3,work=5", "a\tb\tc\n");
}

void reject_unknown_page(CountingEngine&, Connection& connection, const engine_frames::Frame&) {
  send_duplicate(connection, Reply::error);
}

/// The attempt's end is written twice, at once or some time apart.
std::vector<FailureMode> duplicate_ends() {
  return {
      {"ErrorTwice", "report", true, answers_twice(Reply::error), {}, {}},
      {"ErrorAndLateCopy", "report", true, answers(Reply::error), sends_duplicate(Reply::error), {}},
      {"KeyedErrorTwice", "load", true, answers_twice(Reply::error), {}, {}},
      {"KeyedErrorAndLateCopy", "load", true, answers(Reply::error), sends_duplicate(Reply::error), {}},
      {"UnsafeOverTwice", "settle", true, answers_twice(Reply::expired), {}, {}},
      {"UnsafeOverAndLateCopy", "settle", true, answers(Reply::expired), sends_duplicate(Reply::expired), {}},
      {"UnsafeFullTwice", "settle", true, answers_twice(Reply::full), {}, {}},
      {"FullAndLateCopy", "report", true, answers(Reply::full), sends_duplicate(Reply::full), {}},
  };
}

/// The attempt fails, and its result or a part of it is sent all the same.
std::vector<FailureMode> late_results() {
  const Step late_answer = sends_duplicate(Reply::ok, "parts=1,work=5", late_row);
  const Step late_page = sends_duplicate(Reply::page, "part_no=1", late_row);
  const Step late_first_page = sends_duplicate(Reply::ok, "parts=2,work=5", late_row);
  return {
      {"ErrorAndLateAnswer", "report", true, answers(Reply::error), late_answer, {}},
      {"ErrorAndLatePage", "report", true, answers(Reply::error), late_page, {}},
      {"ErrorAndLateFirstPage", "report", true, answers(Reply::error), late_first_page, {}},
  };
}

std::vector<FailureMode> failure_modes() {
  std::vector<FailureMode> modes = {
      {"ErrorAlone", "report", true, answers(Reply::error), {}, {}},
      {"PagesUnknown", "report", true, answer_first_page, {}, reject_unknown_page},
  };
  for (FailureMode& mode : duplicate_ends()) modes.push_back(std::move(mode));
  for (FailureMode& mode : late_results()) modes.push_back(std::move(mode));
  return modes;
}

class LateFrames : public IncidentTest, public ::testing::WithParamInterface<std::size_t> {
 protected:
  LateFrames() : IncidentTest(1), failure_mode_(failure_modes()[GetParam()]) {}

  void on_request(Connection& connection) {
    if (engine().attempts_started(request_trace) == 1) {
      failure_mode_.immediate_step(engine(), connection);
      if (failure_mode_.delayed_step)
        after(delayed_step_delay, engine(), connection, failure_mode_.delayed_step);
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
        if (is(frame, Command::request)) on_request(connection);
        if (is(frame, Command::fetch_page) && failure_mode_.on_page)
          failure_mode_.on_page(engine, connection, frame);
      });
  EXPECT_EQ(engine().max_concurrent_attempts(), 1U) << "active attempts at once\n" << manager().log();
  EXPECT_EQ(engine().reused_ids(), 0U) << "an id was used twice on one connection";

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

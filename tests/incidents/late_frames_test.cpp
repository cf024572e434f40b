/// Guards against crediting a late frame of an ended attempt to the next attempt of the same request.
///
/// The first attempt ends: the engine writes `error`, `full` or `over`, or, after the first page of a result,
/// `error` for each request for a further page because it no longer knows the query. The manager sends the
/// second attempt on the same connection under the same id. Remaining frames of the first attempt then arrive
/// (a second `error`, a duplicate). A stream was identified by the request id alone, which was free again
/// after the first end, so the manager credited these frames to the running second attempt and sent a third.
/// A request that may have one active attempt at a time ran twice concurrently on one engine, and a request
/// that must not run twice took effect twice. The engine received two requests under one id on one
/// connection, without an end written between them, within 1 ms of the late frame; with the late frame
/// withheld there was only one further attempt.
#include "incident_test.hpp"

namespace paddlestand::platform::test {
namespace {

using engine_frames::Command;
using engine_frames::Reply;
using Connection = CountingEngine::Connection;

constexpr std::uint64_t request_trace = 0x7700000000000001;
constexpr auto delayed_step_delay = 30ms;  // after the first attempt's start
constexpr auto second_attempt_duration = 250ms;  // longer than the late frames take to arrive
const std::string late_row = "of\tthe\tfirst\n";
const std::string second_row = "of\tthe\tsecond\n";

using Step = std::function<void(CountingEngine&, Connection&)>;

/// How the engine handles the first attempt. Steps may be empty.
struct FailureMode {
  const char* name;
  const char* class_name;
  bool expects_retry;
  Step immediate_step;
  Step delayed_step;
  // Handles requests for further pages.
  std::function<void(CountingEngine&, Connection&, const engine_frames::Frame&)> on_page_request;
};

Step send_answer(Reply code) {
  return [code](CountingEngine& engine, Connection& connection) {
    engine.answer(connection, code, request_trace);
  };
}

/// Sends a frame without ending an attempt: for the engine the attempt has already ended.
void send_duplicate(Connection& connection, Reply code, std::string_view fields = {},
                    std::string_view body = {}) {
  connection.peer.answer(static_cast<std::uint8_t>(code), request_trace, fields, body);
}

Step send_duplicate_step(Reply code, const std::string& fields = {}, const std::string& body = {}) {
  return [=](CountingEngine&, Connection& connection) { send_duplicate(connection, code, fields, body); };
}

Step send_answer_twice(Reply code) {
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

/// The last frame of the attempt is written twice, at once or with a delay.
std::vector<FailureMode> duplicate_ends() {
  return {
      {"ErrorTwice", "report", true, send_answer_twice(Reply::error), {}, {}},
      {"ErrorAndLateCopy", "report", true, send_answer(Reply::error), send_duplicate_step(Reply::error), {}},
      {"KeyedErrorTwice", "load", true, send_answer_twice(Reply::error), {}, {}},
      {"KeyedErrorAndLateCopy",
       "load",
       true,
       send_answer(Reply::error),
       send_duplicate_step(Reply::error),
       {}},
      {"UnsafeOverTwice", "settle", true, send_answer_twice(Reply::expired), {}, {}},
      {"UnsafeOverAndLateCopy",
       "settle",
       true,
       send_answer(Reply::expired),
       send_duplicate_step(Reply::expired),
       {}},
      {"UnsafeFullTwice", "settle", true, send_answer_twice(Reply::full), {}, {}},
      {"FullAndLateCopy", "report", true, send_answer(Reply::full), send_duplicate_step(Reply::full), {}},
  };
}

/// The attempt fails, and its result or a part of it is sent afterwards.
std::vector<FailureMode> late_results() {
  const Step late_answer = send_duplicate_step(Reply::ok, "parts=1,work=5", late_row);
  const Step late_page = send_duplicate_step(Reply::page, "part_no=1", late_row);
  const Step late_first_page = send_duplicate_step(Reply::ok, "parts=2,work=5", late_row);
  return {
      {"ErrorAndLateAnswer", "report", true, send_answer(Reply::error), late_answer, {}},
      {"ErrorAndLatePage", "report", true, send_answer(Reply::error), late_page, {}},
      {"ErrorAndLateFirstPage", "report", true, send_answer(Reply::error), late_first_page, {}},
  };
}

std::vector<FailureMode> failure_modes() {
  std::vector<FailureMode> modes = {
      {"ErrorAlone", "report", true, send_answer(Reply::error), {}, {}},
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
        run_after(delayed_step_delay, engine(), connection, failure_mode_.delayed_step);
      return;
    }
    run_after(second_attempt_duration, engine(), connection,
              [](CountingEngine& engine, Connection& same_connection) {
                if (same_connection.active_attempts.contains(request_trace))
                  engine.serve(same_connection, request_trace, second_row);
              });
  }

  FailureMode failure_mode_;
};

TEST_P(LateFrames, DoNotEndTheNextAttempt) {
  const std::string key_params =
      failure_mode_.class_name == std::string("load")
          ? R"(,"entity":"00000000000000aa","nonce":"5c0f6e1a2b3d4c59a8b7c6d5e4f30211")"
          : "";

  ASSERT_TRUE(client().wire().write(
      RawClient::request_line(next_number(), request_trace, failure_mode_.class_name, key_params, 5000)));

  const std::string outcome = outcome_while(
      client(), [&](CountingEngine& engine, Connection& connection, const engine_frames::Frame& frame) {
        if (frame.id != request_trace) return;
        if (is_command(frame, Command::request)) on_request(connection);
        if (is_command(frame, Command::fetch_page) && failure_mode_.on_page_request)
          failure_mode_.on_page_request(engine, connection, frame);
      });
  EXPECT_EQ(engine().max_concurrent_attempts(), 1U) << "concurrent attempts\n" << manager().log();
  EXPECT_EQ(engine().reused_ids(), 0U) << "an id was reused on one connection";

  if (failure_mode_.expects_retry) {
    EXPECT_EQ(engine().attempts_started(request_trace), 2U);
    EXPECT_EQ(outcome, "served:" + second_row);
  }
  EXPECT_EQ(manager().count_logged("violation"), 0U) << manager().log();
}

INSTANTIATE_TEST_SUITE_P(FailureModes, LateFrames, ::testing::Range(std::size_t{0}, failure_modes().size()),
                         [](const auto& info) { return std::string(failure_modes()[info.param].name); });

}  // namespace
}  // namespace paddlestand::platform::test

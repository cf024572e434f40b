// What users saw: a request that may be repeated, but may have one attempt out at a time, ran twice at once
// at one engine; of a request that must not run twice, both runs took effect.
//
// The order of events:
//   1. the first attempt ends: the engine writes `error`, `full` or `over already`; or it wrote the first
//   page
//      of its result and answers `error` to each further page, since it does not know the query any more;
//   2. the manager sends the second attempt to the same engine, on the same connection, under the same id;
//   3. the rest of what the engine had to say of the first attempt comes: the second `error`, a copy;
//   4. the manager takes it for the end of the second attempt, which runs on, and sends a third.
//
// The cause: a stream was known by the request's id alone, and the id was free again at the first end. A late
// frame about an attempt that had ended was credited to its successor, since both went by one name.
//
// The evidence: the engine's own account on one connection, two requests under one id without an end written
// between them, within 1 ms of the late frame; with the late frame held back there was one further attempt.
#include "incident_run.hpp"

namespace paddlestand::platform::test {
namespace {

using engine_frames::Reply;
using Connection = CountingEngine::Connection;

constexpr std::uint64_t asked_id = 0x7700000000000001;
constexpr auto second_attempt_runs = 250ms;  // for the rest of the first one's frames to do their harm
const std::string late_row = "of\tthe\tfirst\n", second_row = "of\tthe\tsecond\n";

// What the engine does with the first attempt.
struct Way {
  const char* name;
  const char* class_name;
  bool runs_again;  // whether a further attempt may follow
  std::function<void(CountingEngine&, Connection&)> at_once;
  std::function<void(CountingEngine&, Connection&)> later;  // 30 ms after
  // Further pages that are asked for are answered so.
  std::function<void(CountingEngine&, Connection&, const engine_frames::Frame&)> on_page;
};

void error(CountingEngine& engine, Connection& on) { engine.answer(on, Reply::error, asked_id); }
// A copy ends nothing: by the engine's account its attempt has ended before.
void copy(Connection& on, Reply code, std::string_view fields = {}, std::string_view body = {}) {
  on.side.answer(static_cast<std::uint8_t>(code), asked_id, fields, body);
}
void page_is_unknown(CountingEngine&, Connection& on, const engine_frames::Frame&) { copy(on, Reply::error); }
void first_page(CountingEngine& engine, Connection& on) {
  engine.answer(on, Reply::ok, asked_id, "parts=3,work=5", "a\tb\tc\n");
}

std::vector<Way> ways() {
  const auto twice = [](Reply code) {
    return [code](CountingEngine& engine, Connection& on) {
      engine.answer(on, code, asked_id);
      copy(on, code);
    };
  };
  const auto late = [](Reply code, std::string fields = {}, std::string body = {}) {
    return [=](CountingEngine&, Connection& on) { copy(on, code, fields, body); };
  };
  return {
      {"ErrorAlone", "report", true, error, {}, {}},
      {"PagesUnknown", "report", true, first_page, {}, page_is_unknown},
      {"ErrorTwice", "report", true, twice(Reply::error), {}, {}},
      {"ErrorAndLateCopy", "report", true, error, late(Reply::error), {}},
      {"KeyedErrorTwice", "load", true, twice(Reply::error), {}, {}},
      {"KeyedErrorAndLateCopy", "load", true, error, late(Reply::error), {}},
      {"UnsafeOverTwice", "settle", true, twice(Reply::over), {}, {}},
      {"UnsafeOverAndLateCopy",
       "settle",
       true,
       [](CountingEngine& engine, Connection& on) { engine.answer(on, Reply::over, asked_id); },
       late(Reply::over),
       {}},
      {"UnsafeFullTwice", "settle", true, twice(Reply::full), {}, {}},
      {"FullAndLateCopy",
       "report",
       true,
       [](CountingEngine& engine, Connection& on) { engine.answer(on, Reply::full, asked_id); },
       late(Reply::full),
       {}},
      {"ErrorAndLateAnswer", "report", true, error, late(Reply::ok, "parts=1,work=5", late_row), {}},
      {"ErrorAndLatePage", "report", true, error, late(Reply::page, "part_no=1", late_row), {}},
      {"ErrorAndLateFirstPage", "report", true, error, late(Reply::ok, "parts=2,work=5", late_row), {}},
  };
}

class LateFrames : public IncidentRun, public ::testing::WithParamInterface<std::size_t> {
 protected:
  LateFrames() : IncidentRun(1), way_(ways()[GetParam()]) {}

  void on_request(Connection& on) {
    if (engine().begun(asked_id) == 1) {
      way_.at_once(engine(), on);
      if (way_.later) after(30ms, engine(), on, way_.later);
      return;
    }
    after(second_attempt_runs, engine(), on, [](CountingEngine& engine, Connection& then) {
      if (then.out.contains(asked_id)) engine.serve(then, asked_id, second_row);
    });
  }

  Way way_;
};

TEST_P(LateFrames, NeverEndTheNextAttempt) {
  const std::string more = way_.class_name == std::string("load")
                               ? R"(,"entity":"00000000000000aa","nonce":"5c0f6e1a2b3d4c59a8b7c6d5e4f30211")"
                               : "";
  ASSERT_TRUE(client().wire().write(RawClient::line(next_number(), asked_id, way_.class_name, more, 5000)));
  const std::string outcome =
      outcome_while(client(), [&](CountingEngine& engine, Connection& on, const engine_frames::Frame& frame) {
        if (frame.id != asked_id) return;
        if (frame.code == 1) on_request(on);
        if (frame.code == 6 && way_.on_page) way_.on_page(engine, on, frame);
      });
  EXPECT_EQ(engine().most_out(), 1U) << "attempts out at once\n" << manager().log();
  EXPECT_EQ(engine().ids_used_again(), 0U) << "an id came twice on one connection";
  if (way_.runs_again) {
    EXPECT_EQ(engine().begun(asked_id), 2U);
    EXPECT_EQ(outcome, "served:" + second_row);
  }
  EXPECT_EQ(manager().logged("violation"), 0U) << manager().log();
}

INSTANTIATE_TEST_SUITE_P(Ways, LateFrames, ::testing::Range(std::size_t{0}, ways().size()),
                         [](const auto& info) { return std::string(ways()[info.param].name); });

}  // namespace
}  // namespace paddlestand::platform::test

#include "decision/attempt_timeouts.hpp"

#include <gtest/gtest.h>

#include "decision_fixture.hpp"

namespace paddlestand::decision {
namespace {

Attempt& start_attempt(DecisionFixture& fixture, RequestId id) {
  Request& request = fixture.add_request(id);
  Attempt attempt;
  attempt.engine = 1;
  attempt.sent_at = fixture.state.now;
  attempt.solo_run_time = 0.1;
  request.attempts.push_back(attempt);
  return request.attempts.back();
}

TEST(AttemptTimeouts, AnAttemptFarPastItsExpectedRunTimeIsCancelledOnce) {
  DecisionFixture fixture;
  fixture.add_engine(1);
  start_attempt(fixture, 1);
  fixture.timeouts.cancel_overdue();
  EXPECT_TRUE(fixture.emitted<Cancel>().empty());

  fixture.state.now = 1;
  fixture.timeouts.cancel_overdue();
  fixture.timeouts.cancel_overdue();

  EXPECT_EQ(fixture.emitted<Cancel>().size(), 1U);
}

TEST(AttemptTimeouts, CancellationsAreLimited) {
  DecisionFixture fixture;
  fixture.add_engine(1);
  for (RequestId id = 1; id <= 10; ++id) start_attempt(fixture, id);

  fixture.state.now = 1;
  fixture.timeouts.cancel_overdue();

  EXPECT_EQ(fixture.emitted<Cancel>().size(), 3U);
}

TEST(AttemptTimeouts, NothingIsCancelledWhereThatIsNotAllowed) {
  Settings settings = test::small_site();
  settings.may_cancel = false;
  DecisionFixture fixture(settings);
  fixture.add_engine(1);
  start_attempt(fixture, 1);

  fixture.state.now = 1;
  fixture.timeouts.cancel_overdue();

  EXPECT_TRUE(fixture.emitted<Cancel>().empty());
}

TEST(AttemptTimeouts, ProgressIsRecordedForKnownAttemptsOnly) {
  DecisionFixture fixture;
  const Attempt& attempt = start_attempt(fixture, 1);
  fixture.state.now = 0.5;

  fixture.timeouts.record_progress({1, 5, ProgressKind::progress, 0.9});
  fixture.timeouts.record_progress({2, 0, ProgressKind::progress, 0.9});
  EXPECT_EQ(attempt.last_progress_at, -1);

  fixture.timeouts.record_progress({1, 0, ProgressKind::progress, 0.4});
  EXPECT_EQ(attempt.last_progress_at, 0.5);
  EXPECT_EQ(attempt.progress, 0.4);
}

}  // namespace
}  // namespace paddlestand::decision

#include "decision/attempt_timeouts.hpp"

#include <gtest/gtest.h>

#include <limits>

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

TEST(AttemptTimeouts, NothingIsCancelledIfCancellationIsNotAllowed) {
  Settings settings = test::small_deployment();
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

// Tests of the complete manager.
namespace paddlestand::test {
namespace {

Settings with_progress_reports() {
  Settings settings = small_deployment();
  settings.progress_report_period = 500ms;
  return settings;
}

// Starts one heavy request alone, after several others from which the manager learns how long they run.
RequestId start_heavy_request(ManagerHarness& harness) {
  harness.fleet({engine(1), engine(2)});
  for (RequestId id = 1; id <= 10; ++id) {
    harness.request(id, 1, 1s, 0, 15s);
    harness.end(id, AttemptResult::served, 1s);
  }
  harness.request(50, 1, 1s, 0, 15s);
  return 50;
}

// Guards against cancelling a request that is only long: its work would be lost and repeated.
TEST(ProgressReports, AnAttemptThatProgressesIsNotCancelledBecauseOfItsAge) {
  ManagerHarness harness(with_progress_reports());
  const RequestId id = start_heavy_request(harness);
  for (int i = 1; i <= 6; ++i) {
    harness.advance(500ms);
    harness.handle(ProgressReported{id, 0, ProgressKind::progress, 0.15 * i});
  }
  EXPECT_EQ(harness.count<Cancel>(id), 0);
}

// Guards against waiting for a bad plan: little is done, and the remainder would take longer than a new run.
TEST(ProgressReports, AnAttemptWithABadPlanIsCancelledAfterItsFirstReports) {
  ManagerHarness harness(with_progress_reports());
  const RequestId id = start_heavy_request(harness);
  harness.advance(500ms);
  harness.handle(ProgressReported{id, 0, ProgressKind::progress, 0.02});
  harness.advance(200ms);
  EXPECT_EQ(harness.count<Cancel>(id), 1);
}

// Guards against lost answers: the reports of an ended attempt stop, even if its engine answers other
// requests.
TEST(ProgressReports, AnAttemptWithoutFurtherReportsIsCancelled) {
  ManagerHarness harness(with_progress_reports());
  const RequestId id = start_heavy_request(harness);
  harness.advance(400ms);
  harness.handle(ProgressReported{id, 0, ProgressKind::progress, 0.9});
  harness.advance(700ms);
  EXPECT_EQ(harness.count<Cancel>(id), 0);
  harness.advance(300ms);
  EXPECT_EQ(harness.count<Cancel>(id), 1);
}

TEST(ProgressReports, InvalidReportsAndReportsOfUnknownAttemptsAreIgnored) {
  ManagerHarness harness(with_progress_reports());
  const RequestId id = start_heavy_request(harness);
  harness.handle(ProgressReported{id, 7, ProgressKind::progress, 0.5});
  harness.handle(ProgressReported{999, 0, ProgressKind::progress, 0.5});
  harness.handle(ProgressReported{id, 0, ProgressKind::progress, -1});
  harness.handle(ProgressReported{id, 0, ProgressKind::progress, std::numeric_limits<double>::quiet_NaN()});
  harness.handle(ProgressReported{1, 0, ProgressKind::progress, 0.0});
  harness.advance(100ms);
  EXPECT_EQ(harness.count<Cancel>(id), 0);
}

}  // namespace
}  // namespace paddlestand::test

#include "decision/admission_controller.hpp"

#include <gtest/gtest.h>

#include "decision_fixture.hpp"

namespace paddlestand::decision {
namespace {

TEST(AdmissionController, ARequestThatFitsTheBoundIsAdmitted) {
  DecisionFixture fixture;
  fixture.add_engine(1);
  ClassState& class_state = fixture.state.classes[0];
  class_state.admission_bound = 1;
  class_state.queued_cost = 0.5;

  EXPECT_TRUE(fixture.admission.admits(fixture.add_request(1, 0, 0.4)));
  EXPECT_FALSE(fixture.admission.admits(fixture.add_request(2, 0, 0.6)));
}

TEST(AdmissionController, ARequestAloneInItsClassIsAdmittedWhileEnginesAreFree) {
  DecisionFixture fixture;
  fixture.add_engine(1);
  fixture.state.classes[0].admission_bound = 0.1;
  const Request& request = fixture.add_request(1, 0, 5);
  EXPECT_TRUE(fixture.admission.admits(request));

  fixture.state.threads_by_priority[3] = fixture.state.fleet.thread_bound;
  EXPECT_FALSE(fixture.admission.admits(request));
}

TEST(AdmissionController, TheFirstRequestOpensTheBound) {
  DecisionFixture fixture;
  fixture.add_engine(1);
  const Request& request = fixture.add_request(1, 0, 0.1);

  fixture.admission.record_arrival(request);

  const ClassState& class_state = fixture.state.classes[0];
  EXPECT_DOUBLE_EQ(class_state.drain_rate, 0.1);  // cost over the objective of one second, for one engine
  EXPECT_DOUBLE_EQ(class_state.admission_bound, 2 * 0.1 * 0.7 * 1.2);
}

TEST(AdmissionController, LatencyOverTheObjectiveLowersTheFeedbackBound) {
  DecisionFixture fixture;
  fixture.add_engine(1);
  ClassState& class_state = fixture.state.classes[0];
  class_state.drain_rate = 1;
  class_state.largest_cost = 10;
  class_state.finished_cost = 1;
  class_state.answers = 1;
  class_state.latency_sum = 3;

  fixture.admission.update_bounds();

  EXPECT_LT(class_state.feedback_bound, 0);
  EXPECT_EQ(class_state.answers, 0) << "the next period starts from zero";
}

TEST(AdmissionController, TheBoundIsNeverZero) {
  DecisionFixture fixture;
  fixture.add_engine(1);
  ClassState& class_state = fixture.state.classes[0];
  class_state.drain_rate = 1;
  class_state.largest_cost = 10;
  class_state.running_cost = 1000;

  fixture.admission.update_bounds();

  EXPECT_GT(class_state.admission_bound, 0);
  EXPECT_TRUE(class_state.is_closed);
}

TEST(AdmissionController, RunningCostIsReleasedOnce) {
  DecisionFixture fixture;
  const Request& request = fixture.add_request(1);
  Attempt attempt;
  attempt.solo_run_time = 0.1;
  fixture.admission.record_start(request, attempt);
  fixture.admission.record_start(request, attempt);

  fixture.admission.release_running_cost(request, attempt);
  fixture.admission.release_running_cost(request, attempt);

  EXPECT_DOUBLE_EQ(fixture.state.classes[0].running_cost, 0.1);
}

TEST(AdmissionController, ARequestThatCannotFinishByItsDeadlineIsTooLate) {
  DecisionFixture fixture;
  fixture.add_engine(1);

  EXPECT_FALSE(fixture.admission.is_too_late(fixture.add_request(1, 1, 8)));  // four seconds on two threads
  EXPECT_TRUE(fixture.admission.is_too_late(fixture.add_request(2, 1, 12)));
}

}  // namespace
}  // namespace paddlestand::decision

// Tests of the complete manager.
namespace paddlestand::test {
namespace {

// A request that is too late is answered at once, with advice on when to retry.
TEST(RetryAdvice, ARejectionIsImmediateAndCarriesAdvice) {
  Settings settings = small_deployment();
  settings.may_advise_retry = true;
  settings.max_retry_after = 2s;
  ManagerHarness harness(settings);
  harness.fleet({engine(1)});
  harness.request(1, 0, 4s, 0, 1s);  // it can't finish before its deadline
  ASSERT_EQ(harness.count<Reject>(1), 1);
  for (const auto& [at, action] : harness.log()) {
    const auto* reject = std::get_if<Reject>(&action);
    if (reject == nullptr) continue;
    EXPECT_EQ(at, harness.now());
    EXPECT_GT(reject->retry_after, 0s);
    EXPECT_LE(reject->retry_after, 2s);
  }
}

}  // namespace
}  // namespace paddlestand::test

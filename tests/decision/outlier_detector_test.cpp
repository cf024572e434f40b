#include "decision/outlier_detector.hpp"

#include <gtest/gtest.h>

#include "decision_fixture.hpp"

namespace paddlestand::decision {
namespace {

/// Adds a request with one attempt at `engine`, in flight.
Request& add_attempt(DecisionFixture& fixture, RequestId id, EngineId engine) {
  Request& request = fixture.add_request(id);
  Attempt attempt;
  attempt.engine = engine;
  attempt.sent_at = fixture.state.now;
  attempt.solo_run_time = 0.1;
  request.attempts.push_back(attempt);
  return request;
}

void fail_once(DecisionFixture& fixture, RequestId id, EngineId engine) {
  Request& request = add_attempt(fixture, id, engine);
  fixture.outliers.record_outcome(request, request.attempts[0], AttemptResult::reset);
}

TEST(OutlierDetector, AnEngineThatFailsRepeatedlyIsEjected) {
  DecisionFixture fixture;
  Engine& engine = fixture.add_engine(1);
  Request& served = add_attempt(fixture, 1, 1);
  fixture.outliers.record_outcome(served, served.attempts[0], AttemptResult::served);

  fail_once(fixture, 2, 1);
  EXPECT_EQ(engine.health, Health::healthy);
  fail_once(fixture, 3, 1);
  fail_once(fixture, 4, 1);

  EXPECT_EQ(engine.health, Health::ejected);
  EXPECT_EQ(fixture.emitted<Log>().at(0).text, "engine 1 ejected: not reached");
}

TEST(OutlierDetector, AnEjectedEngineComesBackByAProbeAndAProbation) {
  DecisionFixture fixture;
  Engine& engine = fixture.add_engine(1);
  engine.health = Health::ejected;

  fixture.outliers.check_engines();
  ASSERT_EQ(fixture.emitted<Probe>().size(), 1U);
  fixture.outliers.record_probe(engine, AttemptResult::served);
  EXPECT_EQ(engine.health, Health::probation);

  for (RequestId id = 1; id <= 3; ++id) {
    EXPECT_EQ(engine.health, Health::probation);
    Request& request = add_attempt(fixture, id, 1);
    fixture.outliers.record_outcome(request, request.attempts[0], AttemptResult::served);
  }
  EXPECT_EQ(engine.health, Health::healthy);
}

TEST(OutlierDetector, AFailedProbationDoublesTheEjectionTime) {
  DecisionFixture fixture;
  Engine& engine = fixture.add_engine(1);
  engine.health = Health::probation;
  engine.ejection_time = 3;
  fixture.state.fleet.ready_engines = 0;

  fail_once(fixture, 1, 1);

  EXPECT_EQ(engine.health, Health::ejected);
  EXPECT_DOUBLE_EQ(engine.ejection_time, 6);
}

TEST(OutlierDetector, ARequestThatFailsEverywhereCountsAgainstNoEngine) {
  DecisionFixture fixture;
  Engine& first = fixture.add_engine(1);
  Engine& second = fixture.add_engine(2);
  Request& request = add_attempt(fixture, 1, 1);
  request.attempts.push_back(request.attempts[0]);
  request.attempts[1].engine = 2;

  fixture.outliers.record_outcome(request, request.attempts[0], AttemptResult::engine_error);
  EXPECT_GT(first.failure_rate, 0);
  fixture.outliers.record_outcome(request, request.attempts[1], AttemptResult::engine_error);

  EXPECT_EQ(first.failure_rate, 0);
  EXPECT_EQ(second.failure_rate, 0);
}

TEST(OutlierDetector, ASilentEngineIsEjectedUnlessMostOthersAreTroubledToo) {
  for (const double unhealthy : {0.0, 2.0}) {
    DecisionFixture fixture;
    Engine& engine = fixture.add_engine(1);
    for (EngineId id = 2; id <= 4; ++id) fixture.add_engine(id);
    fixture.state.fleet.unhealthy_engines = unhealthy;
    add_attempt(fixture, 1, 1);
    add_attempt(fixture, 2, 1);

    fixture.state.now = 1;
    fixture.outliers.count_overdue_attempts();
    fixture.outliers.check_engines();

    EXPECT_EQ(engine.health == Health::ejected, unhealthy == 0);
  }
}

TEST(OutlierDetector, EvidenceDecaysTowardsWhatIsUsual) {
  DecisionFixture fixture;
  Engine& engine = fixture.add_engine(1);
  engine.failure_rate = 1;
  engine.last_outcome_at = 0;
  fixture.state.usual_failure_rate = 0.1;
  EXPECT_DOUBLE_EQ(fixture.outliers.failure_score(engine), 1);

  fixture.state.now = 100;
  EXPECT_NEAR(fixture.outliers.failure_score(engine), 0.1, 1e-3);
}

TEST(OutlierDetector, ARemovedEngineIsForgottenOnceNothingRefersToIt) {
  DecisionFixture fixture;
  fixture.add_engine(1, EngineState::removed);
  fixture.add_engine(2, EngineState::removed);
  add_attempt(fixture, 1, 2);

  fixture.outliers.forget_removed_engines();

  EXPECT_FALSE(fixture.state.engines.contains(1));
  EXPECT_TRUE(fixture.state.engines.contains(2));
}

}  // namespace
}  // namespace paddlestand::decision

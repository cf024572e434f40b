#include "decision/outlier_detector.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <utility>

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
  EXPECT_EQ(fixture.emitted<Log>().at(0).text, "engine 1 ejected: unreachable");
}

/// An engine that has served a request, with attempts in flight that are counted as by RequestLifecycle.
class ResetAttempts : public ::testing::Test {
 protected:
  ResetAttempts() {
    Request& served = add_attempt(fixture, ++last_request, 1);
    fixture.outliers.record_outcome(served, served.attempts[0], AttemptResult::served);
    fixture.state.now += 0.01;
  }
  void send(int attempts) {
    for (int i = 0; i < attempts; ++i) in_flight.push_back(&add_attempt(fixture, ++last_request, 1));
    engine.queries += attempts;
  }
  /// Ends this number of attempts, oldest first.
  void end(int attempts, AttemptResult result) {
    for (int i = 0; i < attempts; ++i) {
      Request& request = *in_flight.front();
      in_flight.pop_front();
      engine.queries -= 1;
      fixture.outliers.record_outcome(request, request.attempts[0], result);
    }
  }

  DecisionFixture fixture;
  Engine& engine = fixture.add_engine(1);
  std::deque<Request*> in_flight;
  RequestId last_request = 0;
};

// Guards against ejecting an engine because one connection with many attempts was lost.
TEST_F(ResetAttempts, DoNotEjectAnEngineWhoseOtherAttemptsContinue) {
  const double score_before = fixture.outliers.failure_score(engine);
  send(10);
  fixture.state.now += 0.01;
  end(8, AttemptResult::reset);
  EXPECT_EQ(engine.health, Health::healthy);
  EXPECT_GT(fixture.outliers.failure_score(engine), score_before);

  end(1, AttemptResult::served);
  EXPECT_EQ(engine.health, Health::healthy);
  EXPECT_LE(fixture.outliers.failure_score(engine), score_before);
}

// Guards against using an engine whose process ended: all its attempts are reset.
TEST_F(ResetAttempts, EjectAnEngineIfAllItsAttemptsAreReset) {
  send(10);
  fixture.state.now += 0.01;
  end(10, AttemptResult::reset);
  EXPECT_EQ(engine.health, Health::ejected);
}

// Guards against using an engine that can't be reached while earlier attempts are still unanswered.
TEST_F(ResetAttempts, FollowedByAFailedConnectEjectTheEngine) {
  send(10);
  fixture.state.now += 0.01;
  end(8, AttemptResult::reset);
  Request& retry = add_attempt(fixture, ++last_request, 1);
  fixture.outliers.record_outcome(retry, retry.attempts[0], AttemptResult::connect_failed);
  EXPECT_EQ(engine.health, Health::ejected);
}

// Guards against using an engine that accepts connections and resets all requests.
TEST_F(ResetAttempts, EjectAnEngineThatAlsoResetsLaterAttempts) {
  send(2);
  fixture.state.now += 0.01;
  end(1, AttemptResult::reset);
  fixture.state.now += 0.01;
  send(2);
  fixture.state.now += 0.01;
  std::swap(in_flight.front(), in_flight.back());
  end(2, AttemptResult::reset);
  EXPECT_EQ(engine.health, Health::ejected);
}

TEST(OutlierDetector, AnEjectedEngineIsReadmittedAfterAProbeAndAProbation) {
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

TEST(OutlierDetector, ASilentEngineIsEjectedUnlessTooManyOthersAreUnhealthy) {
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

TEST(OutlierDetector, TheFailureScoreDecaysToTheMeanOfAllEngines) {
  DecisionFixture fixture;
  Engine& engine = fixture.add_engine(1);
  engine.failure_rate = 1;
  engine.last_outcome_at = 0;
  fixture.state.mean_failure_rate = 0.1;
  EXPECT_DOUBLE_EQ(fixture.outliers.failure_score(engine), 1);

  fixture.state.now = 100;
  EXPECT_NEAR(fixture.outliers.failure_score(engine), 0.1, 1e-3);
}

TEST(OutlierDetector, ARemovedEngineIsErasedOnceNothingRefersToIt) {
  DecisionFixture fixture;
  fixture.add_engine(1, EngineState::removed);
  fixture.add_engine(2, EngineState::removed);
  add_attempt(fixture, 1, 2);

  fixture.outliers.erase_removed_engines();

  EXPECT_FALSE(fixture.state.engines.contains(1));
  EXPECT_TRUE(fixture.state.engines.contains(2));
}

}  // namespace
}  // namespace paddlestand::decision

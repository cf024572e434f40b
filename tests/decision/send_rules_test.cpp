#include "decision/send_rules.hpp"

#include <gtest/gtest.h>

#include "decision_fixture.hpp"

namespace paddlestand::decision {
namespace {

using namespace std::chrono_literals;

/// A request that failed on engine 1 and may have run there.
Request& add_request_that_may_have_run(DecisionFixture& fixture) {
  Request& request = fixture.add_request(1);
  Attempt attempt;
  attempt.engine = 1;
  attempt.in_flight = false;
  request.attempts.push_back(attempt);
  return request;
}

bool may_send(const DecisionFixture& fixture, const Request& request, const Engine& engine) {
  return fixture.rules.may_send_now(request) && fixture.rules.may_send_to(request, engine);
}

TEST(SendRules, ARequestMayBeSentToAReadyEngineButNotToADrainingOne) {
  DecisionFixture fixture;
  const Request& request = fixture.add_request(1);

  EXPECT_TRUE(may_send(fixture, request, fixture.add_engine(1)));
  EXPECT_FALSE(may_send(fixture, request, fixture.add_engine(2, EngineState::draining)));
}

TEST(SendRules, ARequestInFlightOrAnsweredIsNotSentAgain) {
  DecisionFixture fixture;
  const Engine& engine = fixture.add_engine(1);
  Request& request = add_request_that_may_have_run(fixture);
  ASSERT_TRUE(may_send(fixture, request, engine));

  request.attempts[0].in_flight = true;
  EXPECT_FALSE(may_send(fixture, request, engine));

  request.attempts[0].in_flight = false;
  request.has_answer_started = true;
  EXPECT_FALSE(may_send(fixture, request, engine));
}

TEST(SendRules, ANonIdempotentRequestThatMayHaveRunIsNeitherRetriedNorRejected) {
  Settings settings = test::small_deployment();
  settings.classes[0].idempotency = Idempotency::non_idempotent;
  DecisionFixture fixture(settings);
  const Engine& engine = fixture.add_engine(1);
  Request& request = add_request_that_may_have_run(fixture);

  EXPECT_FALSE(may_send(fixture, request, engine));
  EXPECT_FALSE(fixture.rules.may_retry(request));
  EXPECT_FALSE(fixture.rules.may_reject(request));

  request.attempts[0].may_have_run = false;
  EXPECT_TRUE(may_send(fixture, request, engine));
  EXPECT_TRUE(fixture.rules.may_reject(request));
}

TEST(SendRules, ARequestWithAnIdempotencyKeyIsRetriedOnlyInItsScopeAndWindow) {
  Settings settings = test::small_deployment();
  settings.classes[0].idempotency = Idempotency::idempotent_with_key;
  settings.classes[0].idempotency_scope = IdempotencyScope::cell;
  settings.classes[0].idempotency_window = 2s;
  DecisionFixture fixture(settings);
  const Engine& same_cell = fixture.add_engine(1);
  Engine& other_cell = fixture.add_engine(2);
  other_cell.entry.cell = 1;
  const Request& request = add_request_that_may_have_run(fixture);

  EXPECT_TRUE(may_send(fixture, request, same_cell));
  EXPECT_FALSE(may_send(fixture, request, other_cell));

  fixture.state.now = 2;
  EXPECT_FALSE(may_send(fixture, request, same_cell));
}

TEST(SendRules, ASettlingKeyDelaysOnlyFirstAttempts) {
  DecisionFixture fixture;
  Request& request = fixture.add_request(1);
  request.ordering_key = 7;
  fixture.state.ordering_keys.append(7, 1);
  fixture.state.ordering_keys.settle_until(7, 1);
  EXPECT_FALSE(fixture.rules.has_turn(request));

  request.attempts.emplace_back();
  EXPECT_TRUE(fixture.rules.has_turn(request));
}

}  // namespace
}  // namespace paddlestand::decision

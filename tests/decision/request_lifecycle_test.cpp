#include "decision/request_lifecycle.hpp"

#include <gtest/gtest.h>

#include "decision_fixture.hpp"

namespace paddlestand::decision {
namespace {

TEST(RequestLifecycle, RequestsAreQueuedInOrderOfArrival) {
  DecisionFixture fixture;
  Request& early = fixture.add_request(2);
  fixture.state.now = 1;
  Request& late = fixture.add_request(1);

  fixture.lifecycle.enqueue(late);
  fixture.lifecycle.enqueue(early);

  EXPECT_EQ(fixture.state.classes[0].queue, (std::vector<RequestId>{2, 1}));
  EXPECT_DOUBLE_EQ(fixture.state.classes[0].queued_cost, 0.2);
}

TEST(RequestLifecycle, AnAttemptIsCountedWhileItIsInFlight) {
  DecisionFixture fixture;
  Engine& engine = fixture.add_engine(1);
  Request& request = fixture.add_request(1);
  fixture.lifecycle.enqueue(request);

  fixture.lifecycle.start_attempt(request, engine);
  EXPECT_FALSE(request.is_queued);
  EXPECT_EQ(engine.queries, 1);
  EXPECT_EQ(engine.threads, 1);
  EXPECT_DOUBLE_EQ(fixture.state.classes[0].running_cost, 0.1);
  ASSERT_EQ(fixture.emitted<Send>().size(), 1U);
  EXPECT_EQ(fixture.emitted<Send>()[0].engine, 1U);

  fixture.lifecycle.end_attempt(request, request.attempts[0]);
  EXPECT_EQ(engine.queries, 0);
  EXPECT_EQ(engine.threads, 0);
  EXPECT_EQ(fixture.state.classes[0].running_cost, 0);
}

TEST(RequestLifecycle, TheFinalAnswerCancelsAttemptsInFlight) {
  DecisionFixture fixture;
  Engine& engine = fixture.add_engine(1);
  Request& request = fixture.add_request(1);
  fixture.lifecycle.start_attempt(request, engine);

  fixture.lifecycle.reject_or_fail(request);

  EXPECT_EQ(fixture.emitted<Cancel>().size(), 1U);
  EXPECT_EQ(fixture.emitted<Reject>().size(), 1U);
  EXPECT_TRUE(fixture.state.requests.contains(1)) << "its attempt is still in flight";
}

TEST(RequestLifecycle, ErasingARequestMakesTheNextOfItsKeyTheFirst) {
  DecisionFixture fixture;
  for (const RequestId id : {1U, 2U}) {
    fixture.add_request(id).ordering_key = 7;
    fixture.state.ordering_keys.append(7, id);
  }
  fixture.state.now = 3;

  fixture.lifecycle.close(fixture.state.requests.at(1));

  EXPECT_FALSE(fixture.state.requests.contains(1));
  EXPECT_EQ(fixture.state.requests.at(2).first_of_key_since, 3);
}

}  // namespace
}  // namespace paddlestand::decision

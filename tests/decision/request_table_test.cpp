#include "decision/request_table.hpp"

#include <gtest/gtest.h>

namespace paddlestand::decision {
namespace {

Request with_deadline(RequestId id, double deadline) {
  Request request;
  request.id = id;
  request.deadline = deadline;
  return request;
}

TEST(RequestTable, DeadlinesOfOpenRequestsAreIndexedEarliestFirst) {
  RequestTable table;
  table.add(with_deadline(1, 5));
  table.add(with_deadline(2, 3));
  EXPECT_EQ(table.deadlines().begin()->second, 2U);

  table.close(table.at(2));

  EXPECT_TRUE(table.at(2).is_over);
  EXPECT_EQ(table.deadlines().begin()->second, 1U);
}

TEST(RequestTable, AnUnknownRequestIsNotFound) {
  RequestTable table;
  table.add(with_deadline(1, 5));
  table.erase(1);

  EXPECT_EQ(table.find(1), nullptr);
}

TEST(RequestTable, ARequestIsInFlightWhileOneOfItsAttemptsIs) {
  Request request;
  request.attempts.resize(2);
  request.attempts[0].in_flight = false;
  EXPECT_TRUE(request.is_in_flight());

  request.attempts[1].in_flight = false;
  EXPECT_FALSE(request.is_in_flight());
}

}  // namespace
}  // namespace paddlestand::decision

// How long and how many requests are remembered that may have had an effect.
#include "platform/executed_requests.hpp"

#include <gtest/gtest.h>

namespace paddlestand::platform {
namespace {

using namespace std::chrono_literals;

TEST(ExecutedRequests, AreForgottenAfterTheirTime) {
  ExecutedRequests requests;
  requests.add(7, 10s);
  requests.add(7, 20s);
  EXPECT_TRUE(requests.contains(7, 20s + ExecutedRequests::retention - 1ms));
  EXPECT_FALSE(requests.contains(7, 20s + ExecutedRequests::retention));
  EXPECT_FALSE(requests.contains(8, 20s));

  requests.add(8, 11s + ExecutedRequests::retention);
  EXPECT_TRUE(requests.contains(7, 11s + ExecutedRequests::retention)) << "it was added again later";
  requests.add(9, 21s + ExecutedRequests::retention);
  EXPECT_EQ(requests.size(), 2U);
}

TEST(ExecutedRequests, TheOldestIsForgottenFirst) {
  ExecutedRequests requests;
  for (std::uint64_t trace = 1; trace <= ExecutedRequests::max_requests + 1; ++trace) requests.add(trace, 1s);
  EXPECT_EQ(requests.size(), ExecutedRequests::max_requests);
  EXPECT_FALSE(requests.contains(1, 1s));
  EXPECT_TRUE(requests.contains(2, 1s));
}

}  // namespace
}  // namespace paddlestand::platform

#include "decision/retry_budget.hpp"

#include <gtest/gtest.h>

#include "manager_harness.hpp"

namespace paddlestand::decision {
namespace {

Settings with_budget(double floor, double share) {
  Settings settings = test::small_deployment();
  settings.retry_budget = RetryBudgetSettings{floor, share, std::chrono::seconds(2)};
  return settings;
}

TEST(RetryBudget, WithoutABudgetEveryRetryIsAllowed) {
  const Settings settings = test::small_deployment();
  RetryBudget budget(settings);

  for (int i = 0; i < 100; ++i) budget.record_retry(1);

  EXPECT_TRUE(budget.allows_retry(1));
}

TEST(RetryBudget, TheFloorIsAllowedWithoutArrivals) {
  const Settings settings = with_budget(2, 0);
  RetryBudget budget(settings);

  budget.record_retry(1);
  EXPECT_TRUE(budget.allows_retry(1));
  budget.record_retry(1);
  EXPECT_FALSE(budget.allows_retry(1));
}

TEST(RetryBudget, AShareOfTheArrivalsIsAllowedInAddition) {
  const Settings settings = with_budget(0, 0.5);
  RetryBudget budget(settings);

  EXPECT_FALSE(budget.allows_retry(1));
  budget.record_arrival(1);
  budget.record_arrival(1);
  EXPECT_TRUE(budget.allows_retry(1));
}

TEST(RetryBudget, RetriesCountUntilTheWindowHasPassed) {
  const Settings settings = with_budget(1, 0);
  RetryBudget budget(settings);

  budget.record_retry(1);

  EXPECT_FALSE(budget.allows_retry(3));
  EXPECT_TRUE(budget.allows_retry(3.1));
}

}  // namespace
}  // namespace paddlestand::decision

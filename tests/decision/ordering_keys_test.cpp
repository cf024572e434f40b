#include "decision/ordering_keys.hpp"

#include <gtest/gtest.h>

namespace paddlestand::decision {
namespace {

TEST(OrderingKeys, RequestsOfAKeyBecomeFirstInOrderOfArrival) {
  OrderingKeys keys;
  keys.append(7, 1);
  keys.append(7, 2);

  EXPECT_TRUE(keys.is_first(7, 1));
  EXPECT_FALSE(keys.is_first(7, 2));

  EXPECT_EQ(keys.remove(7, 1), RequestId{2});
  EXPECT_TRUE(keys.is_first(7, 2));
  EXPECT_EQ(keys.remove(7, 2), std::nullopt);
}

TEST(OrderingKeys, RemovingALaterRequestDoesNotChangeTheFirst) {
  OrderingKeys keys;
  keys.append(7, 1);
  keys.append(7, 2);

  EXPECT_EQ(keys.remove(7, 2), std::nullopt);
  EXPECT_TRUE(keys.is_first(7, 1));
}

TEST(OrderingKeys, RequestsWithoutAKeyAreAlwaysFirst) {
  const OrderingKeys keys;

  EXPECT_TRUE(keys.is_first(0, 1));
  EXPECT_TRUE(keys.is_first(0, 2));
}

TEST(OrderingKeys, AKeySettlesUntilItsTimeHasPassed) {
  OrderingKeys keys;
  keys.settle_until(7, 2);

  EXPECT_FALSE(keys.is_settled(7, 2));
  EXPECT_TRUE(keys.is_settled(7, 2.1));
  EXPECT_TRUE(keys.is_settled(8, 1));
}

}  // namespace
}  // namespace paddlestand::decision

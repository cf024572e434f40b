// The slots for incomplete messages of clients: their limits, the order of the queue, and the stall limit.
#include "platform/input_budget.hpp"

#include <gtest/gtest.h>

namespace paddlestand {
namespace {

using namespace std::chrono_literals;
using platform::InputBudget;
using Priority = InputBudget::Priority;

constexpr std::size_t slot_bytes = 1000;
constexpr std::size_t slots = 8;

std::size_t acquire_all(InputBudget& budget, Priority priority) {
  std::size_t count = 0;
  while (budget.try_acquire(priority)) ++count;
  return count;
}

TEST(InputBudget, EachGroupCanTakeSevenEighthsOfTheSlots) {
  InputBudget budget(slots * slot_bytes, slot_bytes);
  EXPECT_EQ(acquire_all(budget, Priority::unknown), 7U);
  EXPECT_EQ(acquire_all(budget, Priority::known), 0U);
  EXPECT_EQ(acquire_all(budget, Priority::has_open_requests), 1U);

  budget.release(Priority::unknown);
  EXPECT_EQ(acquire_all(budget, Priority::has_open_requests), 1U);
}

TEST(InputBudget, GrantsByPriorityAndThenInOrderOfArrival) {
  InputBudget budget(slots * slot_bytes, slot_bytes);
  acquire_all(budget, Priority::unknown);
  acquire_all(budget, Priority::has_open_requests);
  budget.enqueue(1, Priority::unknown, 0s);
  budget.enqueue(2, Priority::unknown, 0s);
  budget.enqueue(3, Priority::known, 0s);
  budget.enqueue(4, Priority::has_open_requests, 0s);
  EXPECT_TRUE(budget.grant_available().empty());

  for (int i = 0; i < 3; ++i) budget.release(Priority::unknown);
  const auto grants = budget.grant_available();
  ASSERT_EQ(grants.size(), 3U);
  EXPECT_EQ(grants[0].client, 4U);
  EXPECT_EQ(grants[1].client, 3U);
  EXPECT_EQ(grants[2].client, 1U);
  EXPECT_EQ(budget.queued(), 1U);
}

TEST(InputBudget, NobodyTakesASlotBeforeThoseWhoWaitForIt) {
  InputBudget budget(slots * slot_bytes, slot_bytes);
  acquire_all(budget, Priority::unknown);
  budget.enqueue(1, Priority::unknown, 0s);
  budget.release(Priority::unknown);

  EXPECT_FALSE(budget.try_acquire(Priority::unknown));
  EXPECT_TRUE(budget.try_acquire(Priority::known));
  budget.release(Priority::known);
  budget.remove(1);
  EXPECT_TRUE(budget.try_acquire(Priority::unknown));
}

TEST(InputBudget, ASlotBeyondTheLimitLeavesFewerForOthers) {
  InputBudget budget(slots * slot_bytes, slot_bytes);
  for (std::size_t i = 0; i < slots; ++i) budget.acquire_beyond_limit(Priority::has_open_requests);
  EXPECT_FALSE(budget.try_acquire(Priority::unknown));

  for (std::size_t i = 0; i < slots; ++i) budget.release(Priority::has_open_requests);
  EXPECT_TRUE(budget.try_acquire(Priority::unknown));
}

TEST(InputBudget, TheStallLimitShrinksWithTheQueueAndWithTheWait) {
  InputBudget budget(slots * slot_bytes, slot_bytes);
  EXPECT_EQ(budget.stall_limit(0s), 2s);
  for (std::size_t client = 0; client < slots; ++client) budget.enqueue(client, Priority::unknown, 0s);
  EXPECT_EQ(budget.stall_limit(0s), 1s);
  EXPECT_EQ(budget.stall_limit(1s), 500ms);
  for (std::size_t client = 0; client < 20 * slots; ++client)
    budget.enqueue(100 + client, Priority::unknown, 0s);
  EXPECT_EQ(budget.stall_limit(0s), 250ms);
}

}  // namespace
}  // namespace paddlestand

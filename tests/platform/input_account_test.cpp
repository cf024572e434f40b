// The account of clients' input, and the order in which incomplete messages are refused.
#include "platform/input_account.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

#include "platform/input_eviction.hpp"
#include "platform/partial_message.hpp"

namespace paddlestand {
namespace {

using namespace std::chrono_literals;
using platform::HeldMessage;
using platform::InputAccount;
using platform::InputCharge;
using platform::is_refused_before;
using platform::PartialMessage;

TEST(InputAccount, CountsWhatAllClientsAreChargedWith) {
  const auto account = std::make_shared<InputAccount>(1000);
  InputCharge first(account);
  {
    InputCharge second(account);
    first.set(400);
    second.set(500);
    EXPECT_EQ(account->used(), 900U);
    EXPECT_TRUE(account->has_room_for(100));
    EXPECT_FALSE(account->has_room_for(101));
    second.set(700);
    EXPECT_EQ(account->excess(), 100U);
  }
  EXPECT_EQ(account->used(), 400U);
  EXPECT_EQ(account->excess(), 0U);
}

TEST(InputEviction, RefusesTheLongestStalledFirstAndThenTheSlowestAndThenTheLargest) {
  const HeldMessage largest{.bytes = 9000};
  const HeldMessage smaller{.bytes = 100};
  const HeldMessage stalled{.bytes = 100, .silence = 300ms};
  const HeldMessage long_stalled{.bytes = 50, .silence = 900ms};
  const HeldMessage known{.bytes = 9000, .is_from_known_client = true};
  const HeldMessage slow{.bytes = 9000, .bytes_per_second = 10};
  const HeldMessage fast_and_stalled{.bytes = 9000, .bytes_per_second = 1e6, .silence = 600ms};
  const HeldMessage steady{.bytes = 9000, .bytes_per_second = 1000, .silence = 300ms};
  const std::vector<HeldMessage> in_order{
      long_stalled, fast_and_stalled, stalled, largest, smaller, known, slow, steady};
  for (std::size_t i = 0; i + 1 < in_order.size(); ++i) {
    EXPECT_TRUE(is_refused_before(in_order[i], in_order[i + 1])) << i;
    EXPECT_FALSE(is_refused_before(in_order[i + 1], in_order[i])) << i;
  }
}

// What was written at once at the beginning says nothing about whether the sender goes on.
TEST(PartialMessage, ItsSpeedIsThatAfterItsFirstBytes) {
  PartialMessage message;
  message.record_input(50'000, false, 1000ms);
  message.record_input(60'000, false, 1005ms);
  EXPECT_EQ(message.bytes_per_second(2000ms), 0);
  message.record_input(60'500, false, 2000ms);
  EXPECT_EQ(message.bytes_per_second(2000ms), 500);
  EXPECT_EQ(message.bytes_per_second(3000ms), 250);
}

}  // namespace
}  // namespace paddlestand

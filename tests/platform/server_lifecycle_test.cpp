// The states of a server and the legal transitions between them.
#include "platform/server_lifecycle.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <stdexcept>
#include <utility>
#include <vector>

namespace paddlestand {
namespace {

using platform::ServerLifecycle;
using State = ServerLifecycle::State;

TEST(ServerLifecycle, IsReadyOnlyWhileServing) {
  ServerLifecycle lifecycle;
  EXPECT_FALSE(lifecycle.is_ready());

  lifecycle.advance_to(State::serving);
  EXPECT_TRUE(lifecycle.is_ready());
  EXPECT_FALSE(lifecycle.is_shutting_down());

  lifecycle.advance_to(State::terminating);
  EXPECT_FALSE(lifecycle.is_ready());
  EXPECT_TRUE(lifecycle.is_shutting_down());

  lifecycle.advance_to(State::finished);
  EXPECT_FALSE(lifecycle.is_ready());
  EXPECT_TRUE(lifecycle.is_shutting_down());
}

TEST(ServerLifecycle, EveryOtherTransitionIsIllegal) {
  const std::vector<State> states{State::starting, State::serving, State::terminating, State::finished};
  const std::vector<std::pair<State, State>> legal{{State::starting, State::serving},
                                                   {State::serving, State::terminating},
                                                   {State::terminating, State::finished}};

  for (const State from : states) {
    for (const State next : states) {
      const bool expected = std::find(legal.begin(), legal.end(), std::pair(from, next)) != legal.end();
      EXPECT_EQ(ServerLifecycle::is_legal(from, next), expected)
          << static_cast<int>(from) << " to " << static_cast<int>(next);
    }
  }
}

TEST(ServerLifecycle, AnIllegalTransitionThrowsAndChangesNothing) {
  ServerLifecycle lifecycle;

  EXPECT_THROW(lifecycle.advance_to(State::terminating), std::logic_error);

  EXPECT_EQ(lifecycle.state(), State::starting);
}

}  // namespace
}  // namespace paddlestand

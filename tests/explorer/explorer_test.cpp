// The search itself: that it is the same every time, that its histories can be followed, and that what it
// merges goes the same way.
#include <gtest/gtest.h>

#include "simulation/explorer/history.hpp"

namespace paddlestand::explorer {
namespace {

Scope tiny(std::size_t which) { return scopes_of(Size::tiny).at(which); }

TEST(Explore, TheTinyScopeIsExhaustedAndKeepsEveryPromise) {
  for (const Scope& scope : scopes_of(Size::tiny)) {
    const Report report = search(scope, {}, {});
    EXPECT_TRUE(report.emptied) << scope.name;
    EXPECT_FALSE(report.found) << scope.name << ": " << report.found->violations.front().what;
    EXPECT_GT(report.settled, 100U) << scope.name;
  }
}

TEST(Explore, FindsTheSameOnAnyNumberOfThreads) {
  Limits limits;
  limits.states = 8000;
  const Report one = search(tiny(1), limits, {});
  limits.threads = 3;
  const Report three = search(tiny(1), limits, {});
  EXPECT_EQ(one.states, three.states);
  EXPECT_EQ(one.transitions, three.transitions);
  EXPECT_EQ(one.cases, three.cases);
}

TEST(Explore, StopsAtItsLimitsAndSaysSo) {
  Limits limits;
  limits.states = 2000;
  const Report report = search(tiny(0), limits, {});
  EXPECT_FALSE(report.emptied);
  EXPECT_EQ(report.stopped, "states");
  EXPECT_GT(report.frontier, 0U);
}

// Merging is sound only if a state's digest hangs on nothing but what its future hangs on: so the order in
// which two things that have nothing to do with each other happened must not be in it.
TEST(Explore, OrderOfUnrelatedMovesAndNamesOfEnginesAreNoPartOfAState) {
  const Scope scope = scopes_of(Size::small).at(2);  // safe and unsafe
  const auto shared = std::make_shared<const Scope>(scope);
  ModelState a(shared), b(shared);
  for (const Move& move : {Move{Step::ask, 0, 0}, Move{Step::ask, 0, 1}, Move{Step::channel_opened, 0, 1},
                           Move{Step::channel_opened, 0, 2}})
    ASSERT_TRUE(a.make(move).empty());
  for (const Move& move : {Move{Step::ask, 0, 0}, Move{Step::ask, 0, 1}, Move{Step::channel_opened, 0, 2},
                           Move{Step::channel_opened, 0, 1}})
    ASSERT_TRUE(b.make(move).empty());
  EXPECT_EQ(a.digest(), b.digest());
  ASSERT_TRUE(a.make({Step::complete, 0, 1}).empty());
  EXPECT_NE(a.digest(), b.digest());
  ASSERT_TRUE(b.make({Step::complete, 0, 1}).empty());
  EXPECT_EQ(a.digest(), b.digest());
}

TEST(Explore, ACopyGoesTheSameWay) {
  ModelState first(std::make_shared<const Scope>(tiny(0)));
  for (int i = 0; i < 400; ++i) {
    const std::vector<Move> moves = first.moves();
    if (moves.empty()) break;
    ModelState copy = first;
    const Move move = moves[static_cast<std::size_t>(i) * 7 % moves.size()];
    EXPECT_EQ(first.make(move).size(), copy.make(move).size());
    ASSERT_EQ(first.digest(), copy.digest());
  }
}

TEST(Explore, AHistoryIsReadBackAsItWasWritten) {
  History history{
      "one safe", "none", {{Step::ask, 0, 0}, {Step::channel_opened, 0, 1}, {Step::complete, 0, 1}}};
  const std::string text = text_of(history, {});
  EXPECT_NE(text.find("client 0 asks query 1, safe"), std::string::npos) << text;
  EXPECT_NE(text.find("query 1 is answered: served"), std::string::npos) << text;
  const auto back = parse_history(text);
  ASSERT_TRUE(std::holds_alternative<History>(back)) << std::get<std::string>(back);
  EXPECT_EQ(std::get<History>(back).moves, history.moves);
  EXPECT_EQ(play(tiny(0), history.moves).moves, history.moves);
}

TEST(Explore, ABadHistoryGetsOneErrorWithItsLine) {
  const std::string head = "paddlestand history 1\nscope one safe\n";
  for (const auto& [text, wanted] : std::vector<std::pair<std::string, std::string>>{
           {"", "0: wanted: scope, and a name"},
           {"something else\n", "1: wanted: paddlestand history 1"},
           {"paddlestand history 1\nscope of nothing\n", "2: wanted: the name of a scope"},
           {head + "fly 0 0\n", "3: wanted: a move, not 'fly'"},
           {head + "ask 0\n", "3: wanted: a manager and a subject"},
           {head + "ask 0 0 0\n", "3: wanted: the end of the line"}}) {
    const auto parsed = parse_history(text);
    ASSERT_TRUE(std::holds_alternative<std::string>(parsed)) << text;
    EXPECT_EQ(std::get<std::string>(parsed), wanted);
  }
}

TEST(Explore, MovesThatAreNotPossibleArePassedOverAndNoMoreThanThat) {
  const Played played =
      play(tiny(0), {{Step::complete, 0, 9}, {Step::ask, 7, 0}, {Step::ask, 0, 0}, {Step::ask, 0, 0}});
  EXPECT_EQ(played.moves, (std::vector<Move>{{Step::ask, 0, 0}}));
}

TEST(StateWalk, TheSameSeedGivesTheSameWalkAndKeepsEveryPromise) {
  const WalkReport a = walk(walk_scope(), 20'000, 3000, 5, {}), b = walk(walk_scope(), 20'000, 3000, 5, {});
  EXPECT_EQ(a.acts, b.acts);
  EXPECT_EQ(a.cases, b.cases);
  EXPECT_FALSE(a.found) << a.found->violations.front().what;
  EXPECT_GT(a.queries, 1000U);
}

}  // namespace
}  // namespace paddlestand::explorer

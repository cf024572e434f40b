/// The explorer: searches and walks are deterministic, histories can be parsed and replayed, and states that
/// are merged continue in the same way.
#include <gtest/gtest.h>

#include "simulation/explorer/history.hpp"
#include "simulation/explorer/random_walk.hpp"
#include "simulation/explorer/replay.hpp"
#include "simulation/explorer/search.hpp"

namespace paddlestand::explorer {
namespace {

Scope tiny_scope(std::size_t index) { return scopes_of(ScopeSize::tiny).at(index); }

TEST(Explore, TheTinyScopeIsExhaustedWithoutViolation) {
  for (const Scope& scope : scopes_of(ScopeSize::tiny)) {
    const SearchReport report = search(scope, {}, {});
    EXPECT_TRUE(report.is_exhausted) << scope.name;
    EXPECT_FALSE(report.counterexample)
        << scope.name << ": " << report.counterexample->violations.front().what;
    EXPECT_GT(report.settled_states, 100U) << scope.name;
  }
}

TEST(Explore, ResultIsIndependentOfThreadCount) {
  SearchLimits limits;
  limits.states = 8000;
  const SearchReport one = search(tiny_scope(1), limits, {});
  limits.threads = 3;
  const SearchReport three = search(tiny_scope(1), limits, {});
  EXPECT_EQ(one.states, three.states);
  EXPECT_EQ(one.transitions, three.transitions);
  EXPECT_EQ(one.coverage, three.coverage);
}

TEST(Explore, StopsAtStateLimitAndReportsIt) {
  SearchLimits limits;
  limits.states = 2000;
  const SearchReport report = search(tiny_scope(0), limits, {});
  EXPECT_FALSE(report.is_exhausted);
  EXPECT_EQ(report.stopped, "states");
  EXPECT_GT(report.frontier, 0U);
}

// States with equal digests are merged. A digest that depended on the order of unrelated moves or on engine
// names would keep equivalent states apart; one that ignored a relevant difference would merge distinct
// states.
TEST(Explore, DigestIgnoresOrderOfUnrelatedMovesAndEngineNames) {
  const Scope scope = scopes_of(ScopeSize::small).at(2);  // safe and unsafe
  const auto shared = std::make_shared<const Scope>(scope);
  ModelState a(shared);
  ModelState b(shared);
  for (const Move& move : {Move{Step::submit_query, 0, 0}, Move{Step::submit_query, 0, 1},
                           Move{Step::channel_opened, 0, 1}, Move{Step::channel_opened, 0, 2}})
    ASSERT_TRUE(a.apply(move).empty());
  for (const Move& move : {Move{Step::submit_query, 0, 0}, Move{Step::submit_query, 0, 1},
                           Move{Step::channel_opened, 0, 2}, Move{Step::channel_opened, 0, 1}})
    ASSERT_TRUE(b.apply(move).empty());
  EXPECT_EQ(a.digest(), b.digest());
  ASSERT_TRUE(a.apply({Step::answer_complete, 0, 1}).empty());
  EXPECT_NE(a.digest(), b.digest());
  ASSERT_TRUE(b.apply({Step::answer_complete, 0, 1}).empty());
  EXPECT_EQ(a.digest(), b.digest());
}

TEST(Explore, CopyContinuesLikeTheOriginal) {
  ModelState first(std::make_shared<const Scope>(tiny_scope(0)));
  for (int i = 0; i < 400; ++i) {
    const std::vector<Move> moves = first.possible_moves();
    if (moves.empty()) break;
    ModelState copy = first;
    const Move move = moves[static_cast<std::size_t>(i) * 7 % moves.size()];
    EXPECT_EQ(first.apply(move).size(), copy.apply(move).size());
    ASSERT_EQ(first.digest(), copy.digest());
  }
}

TEST(Explore, HistoryRoundTripsThroughText) {
  History history{"one safe",
                  "none",
                  {{Step::submit_query, 0, 0}, {Step::channel_opened, 0, 1}, {Step::answer_complete, 0, 1}}};
  const std::string text = text_of(history, {});
  EXPECT_NE(text.find("client 0 submits query 1, safe"), std::string::npos) << text;
  EXPECT_NE(text.find("query 1 is answered: served"), std::string::npos) << text;
  const auto parsed = parse_history(text);
  ASSERT_TRUE(std::holds_alternative<History>(parsed)) << std::get<HistoryError>(parsed).text();
  EXPECT_EQ(std::get<History>(parsed).moves, history.moves);
  EXPECT_EQ(replay(tiny_scope(0), history.moves).moves, history.moves);
}

TEST(Explore, InvalidHistoryIsRejectedWithLineNumber) {
  const std::string head = "paddlestand history 1\nscope one safe\n";
  for (const auto& [text, expected] : std::vector<std::pair<std::string, std::string>>{
           {"", "0: expected a line 'scope NAME'"},
           {"something else\n", "1: expected paddlestand history 1"},
           {"paddlestand history 1\nscope of nothing\n", "2: expected the name of a scope"},
           {head + "fly 0 0\n", "3: expected a move, not 'fly'"},
           {head + "ask 0\n", "3: expected a manager and a subject"},
           {head + "ask 0 0 0\n", "3: expected the end of the line"}}) {
    const auto parsed = parse_history(text);
    ASSERT_TRUE(std::holds_alternative<HistoryError>(parsed)) << text;
    EXPECT_EQ(std::get<HistoryError>(parsed).text(), expected);
  }
}

TEST(Explore, ReplaySkipsOnlyImpossibleMoves) {
  const Replay result = replay(tiny_scope(0), {{Step::answer_complete, 0, 9},
                                               {Step::submit_query, 7, 0},
                                               {Step::submit_query, 0, 0},
                                               {Step::submit_query, 0, 0}});
  EXPECT_EQ(result.moves, (std::vector<Move>{{Step::submit_query, 0, 0}}));
}

TEST(RandomWalk, SameSeedGivesSameWalkWithoutViolation) {
  const RandomWalkSettings settings{.steps = 20'000, .steps_per_episode = 3000, .seed = 5};

  const RandomWalkReport first = random_walk(walk_scope(), settings, {});
  const RandomWalkReport second = random_walk(walk_scope(), settings, {});

  EXPECT_EQ(first.steps_by_kind, second.steps_by_kind);
  EXPECT_EQ(first.coverage, second.coverage);
  EXPECT_FALSE(first.counterexample) << first.counterexample->violations.front().what;
  EXPECT_GT(first.queries, 1000U);
}

}  // namespace
}  // namespace paddlestand::explorer

// The rules, seen from outside: scripted cases, and random legal sequences.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>
#include <set>

#include "manager_harness.hpp"

namespace paddlestand::test {
namespace {

TEST(RuleAnswers, AHeldOrSentRequestIsAnsweredOnceBeforeItsDeadline) {
  ManagerHarness harness(small_site());
  harness.fleet({engine(1)});
  harness.request(1, 0, 100ms, 0, 700ms);
  EXPECT_EQ(harness.sends(1), 1);
  const TimePoint deadline = harness.now() + 700ms;
  harness.advance(2s);
  ASSERT_EQ(harness.count<Reject>(1) + harness.count<Fail>(1), 1);
  for (const auto& [at, action] : harness.log()) {
    if (const auto* refuse = std::get_if<Reject>(&action)) { EXPECT_LE(at, deadline) << refuse->request; }
  }
}

TEST(RuleEffects, UnsafeWorkThatMayHaveRunIsFailedNeitherResentNorRefused) {
  Settings s = small_site();
  s.classes[0].repeat = Idempotency::non_idempotent;
  for (const AttemptResult result : {AttemptResult::engine_error, AttemptResult::reset,
                                     AttemptResult::timed_out, AttemptResult::cancelled}) {
    ManagerHarness harness(s);
    harness.fleet({engine(1), engine(2)});
    harness.request(1);
    harness.end(1, result);
    EXPECT_EQ(harness.sends(1), 1);
    EXPECT_EQ(harness.count<Reject>(1), 0);
    EXPECT_EQ(harness.count<Fail>(1), 1);
  }
}

TEST(RuleEffects, UnsafeWorkThatNeverRanMayBeSentAgain) {
  Settings s = small_site();
  s.classes[0].repeat = Idempotency::non_idempotent;
  ManagerHarness harness(s);
  harness.fleet({engine(1), engine(2)});
  harness.request(1);
  harness.end(1, AttemptResult::rejected);
  EXPECT_EQ(harness.sends(1), 2);
}

TEST(RuleEffects, KeyedWorkIsRepeatedOnlyInItsGroup) {
  Settings s = small_site();
  s.classes[0].repeat = Idempotency::idempotent_with_key;
  s.classes[0].idempotency_scope = IdempotencyScope::cell;
  s.classes[0].idempotency_window = 5s;
  ManagerHarness harness(s);
  auto other = engine(2);
  other.cell = 1;
  harness.fleet({engine(1)});
  harness.request(1);
  harness.fleet({engine(1, EngineState::removed), other}, EndpointUpdate::delta);
  harness.end(1, AttemptResult::reset);
  EXPECT_EQ(harness.sends(1), 1);
  harness.advance(6s);
  EXPECT_EQ(harness.count<Reject>(1), 0);
  EXPECT_EQ(harness.count<Fail>(1), 1);
}

TEST(RuleEffects, KeyedWorkIsNotRepeatedAfterItsWindow) {
  Settings s = small_site();
  s.classes[0].repeat = Idempotency::idempotent_with_key;
  s.classes[0].idempotency_window = 1s;
  s.classes[0].latency_objective = 10s;
  ManagerHarness harness(s);
  harness.fleet({engine(1)});
  harness.request(1, 0, 3s, 0, 9s);
  harness.advance(1100ms);
  harness.fleet({engine(2)}, EndpointUpdate::delta);
  harness.end(1, AttemptResult::engine_error);
  harness.advance(500ms);
  EXPECT_EQ(harness.sends(1), 1);
}

TEST(RuleDrain, NothingGoesToADrainingOrMissingEngine) {
  ManagerHarness harness(small_site());
  harness.fleet({engine(1), engine(2), engine(3)});
  harness.fleet({engine(1, EngineState::draining)}, EndpointUpdate::delta);
  harness.fleet({engine(1, EngineState::draining), engine(2)}, EndpointUpdate::full);
  for (RequestId id = 1; id <= 5; ++id) harness.request(id);
  EXPECT_EQ(harness.sends_to(1), 0);
  EXPECT_EQ(harness.sends_to(2), 5);
  EXPECT_EQ(harness.sends_to(3), 0);
}

TEST(RuleCold, AColdEngineGetsAtMostThisInstancesPart) {
  Settings s = small_site();
  s.instances = 2;
  ManagerHarness harness(s);
  harness.fleet({engine(1)});
  for (RequestId id = 1; id <= 20; ++id) {
    harness.request(id);
    harness.end(id, AttemptResult::served);
  }
  harness.advance(5s);
  harness.fleet({engine(1, EngineState::removed), engine(2, EngineState::ready, harness.now())},
                EndpointUpdate::delta);
  for (RequestId id = 100; id < 200; ++id) {
    harness.request(id, 0, 100ms);
    if (harness.sends(id) == 1) harness.end(id, AttemptResult::served);
  }
  EXPECT_GT(harness.sends_to(2), 0);
  // 8 cores x 0.3 of their capacity x 2.5 x 1.5 s, halved for two instances, in queries of 100 ms.
  EXPECT_LE(harness.sends_to(2) * 0.1, 8 * 0.85 * 0.3 * 2.5 * 1.5 / 2);
}

TEST(RuleOrder, RequestsOfOneKeyRunOneAtATimeInOrder) {
  Settings s = small_site();
  s.classes[0].ordered_by_key = true;
  s.ordering_settle_time = 500ms;
  ManagerHarness harness(s);
  harness.fleet({engine(1), engine(2)});
  for (RequestId id = 1; id <= 3; ++id) harness.request(id, 0, 100ms, 7);
  harness.request(4, 0, 100ms, 8);
  EXPECT_EQ(harness.sends(1), 1);
  EXPECT_EQ(harness.sends(2), 0);
  EXPECT_EQ(harness.sends(4), 1);
  harness.end(1, AttemptResult::served);
  EXPECT_EQ(harness.sends(2), 1);
  EXPECT_EQ(harness.sends(3), 0);
}

TEST(RuleOrder, AKeyRestsAfterAnAttemptThatMayStillRun) {
  Settings s = small_site();
  s.classes[0].ordered_by_key = true;
  s.classes[0].repeat = Idempotency::non_idempotent;
  s.ordering_settle_time = 500ms;
  ManagerHarness harness(s);
  harness.fleet({engine(1), engine(2)});
  harness.request(1, 0, 100ms, 7);
  harness.request(2, 0, 100ms, 7);
  harness.end(1, AttemptResult::reset);
  EXPECT_EQ(harness.count<Fail>(1), 1);
  harness.advance(490ms);
  EXPECT_EQ(harness.sends(2), 0);
  harness.advance(200ms);
  EXPECT_EQ(harness.sends(2), 1);
}

TEST(RulePlacement, ABoundClassGoesOnlyToItsKindsAndZones) {
  Settings s = small_site();
  s.kinds.push_back({8, 16384});
  s.classes[0].allowed_kinds = {1};
  ManagerHarness harness(s);
  auto right = engine(2);
  right.kind = 1;
  harness.fleet({engine(1), right});
  harness.request(1);
  EXPECT_EQ(harness.engine_of(1), 2U);
  harness.fleet({engine(2, EngineState::removed)}, EndpointUpdate::delta);
  harness.end(1, AttemptResult::connect_failed);
  harness.request(2);
  harness.advance(6s);
  EXPECT_EQ(harness.sends_to(1), 0);
}

TEST(RuleBudget, FurtherAttemptsStayWithinTheRation) {
  Settings s = small_site();
  s.retry_budget = RetryBudgetSettings{3, 0.1, 5s};
  ManagerHarness harness(s);
  harness.fleet({engine(1), engine(2), engine(3)});
  int further = 0;
  for (RequestId id = 1; id <= 20; ++id) {
    harness.request(id);
    while (harness.sends(id) > 0 && harness.count<Reject>(id) + harness.count<Fail>(id) == 0 &&
           harness.sends(id) < 3) {
      const int before = harness.sends(id);
      harness.end(id, AttemptResult::connect_failed);
      if (harness.sends(id) == before) break;
    }
    further += std::max(0, harness.sends(id) - 1);
  }
  EXPECT_GT(further, 0);
  EXPECT_LE(further, 5);
}

TEST(RuleAttempts, NoMoreThanTheMostAttempts) {
  ManagerHarness harness(small_site());
  harness.fleet({engine(1), engine(2), engine(3), engine(4), engine(5)});
  harness.request(1);
  for (int i = 0; i < 3; ++i) harness.end(1, AttemptResult::rejected);
  EXPECT_EQ(harness.sends(1), 3);
  EXPECT_EQ(harness.count<Reject>(1), 1);
}

// Random legal sequences; the rules are checked on the actions, from outside. It models no server: outcomes
// are drawn by chance.
class RandomDay : public ::testing::TestWithParam<unsigned> {};

TEST_P(RandomDay, KeepsTheRules) {
  std::mt19937 random(GetParam());
  const auto draw = [&](unsigned below) { return static_cast<unsigned>(random() % below); };
  Settings s = small_site();
  s.instances = 2;
  s.retry_budget = RetryBudgetSettings{3, 0.2, 2s};
  s.ordering_settle_time = 100ms;
  s.classes[1].repeat = Idempotency::non_idempotent;
  ClassSettings keyed = s.classes[0];
  keyed.repeat = Idempotency::idempotent_with_key;
  keyed.idempotency_window = 2s;
  keyed.ordered_by_key = true;
  s.classes.push_back(keyed);
  ManagerHarness harness(s);

  struct Taken {
    std::uint32_t cls{};
    std::uint64_t key{};
    TimePoint deadline{};
    int answers = 0;
    bool over = false;
    std::vector<bool> out;  // by attempt
    std::vector<bool> may_have_run;
    TimePoint first_in_doubt{};
  };
  std::map<RequestId, Taken> taken;
  std::vector<TimePoint> arrivals;
  std::vector<TimePoint> further;
  std::map<EngineId, EngineState> states;
  std::map<std::uint64_t, std::vector<RequestId>> lines;
  std::map<std::uint64_t, TimePoint> rests;
  std::size_t seen = 0;

  const auto inspect = [&] {
    for (; seen < harness.log().size(); ++seen) {
      const auto& [at, action] = harness.log()[seen];
      if (const auto* send = std::get_if<Send>(&action)) {
        Taken& t = taken.at(send->request);
        ASSERT_FALSE(t.over);
        ASSERT_EQ(std::count(t.out.begin(), t.out.end(), true), 0) << "two at once";
        ASSERT_EQ(states.at(send->engine), EngineState::ready);
        ASSERT_LT(t.out.size(), s.max_attempts);
        const bool doubt = std::count(t.may_have_run.begin(), t.may_have_run.end(), true) > 0;
        if (doubt) { ASSERT_NE(s.classes[t.cls].repeat, Idempotency::non_idempotent); }
        if (doubt && t.cls == 2) { ASSERT_LE(at, t.first_in_doubt + 2s); }
        if (t.key != 0) {
          for (const RequestId earlier : lines[t.key]) {
            if (earlier == send->request) break;
            const Taken& e = taken.at(earlier);
            ASSERT_TRUE(e.over && std::count(e.out.begin(), e.out.end(), true) == 0) << "out of turn";
          }
          if (t.out.empty() && rests.contains(t.key)) { ASSERT_GE(at, rests[t.key]); }
        }
        if (!t.out.empty()) {
          further.push_back(at);
          const auto within = [&](const std::vector<TimePoint>& all) {
            return std::count_if(all.begin(), all.end(), [&](TimePoint p) { return p > at - 2s; });
          };
          ASSERT_LE(static_cast<double>(within(further)), 3 + 0.2 * static_cast<double>(within(arrivals)));
        }
        if (!doubt) t.first_in_doubt = at;
        t.out.push_back(true);
        t.may_have_run.push_back(true);
      }
      const auto final_answer = [&](RequestId id) {
        Taken& t = taken.at(id);
        ASSERT_FALSE(t.over) << "answered twice";
        ASSERT_LE(at, t.deadline + s.answer_slack);
        t.over = true;
        ++t.answers;
      };
      if (const auto* fail = std::get_if<Fail>(&action)) final_answer(fail->request);
      if (const auto* refuse = std::get_if<Reject>(&action)) {
        const Taken& t = taken.at(refuse->request);
        if (t.cls == 1) { ASSERT_EQ(std::count(t.may_have_run.begin(), t.may_have_run.end(), true), 0); }
        final_answer(refuse->request);
      }
    }
  };

  const auto change_fleet = [&](EngineId id, EngineState state, TimePoint started) {
    states[id] = state;
    harness.fleet({engine(id, state, started)}, EndpointUpdate::delta);
  };
  for (EngineId id = 1; id <= 4; ++id) change_fleet(id, EngineState::ready, 0s);

  RequestId next = 1;
  for (int step = 0; step < 4000; ++step) {
    harness.advance(std::chrono::milliseconds(draw(20)));
    inspect();
    if (HasFatalFailure()) return;
    const unsigned what = draw(100);
    if (what < 45) {
      const std::uint32_t cls = draw(3);
      const Duration client_timeout = std::chrono::milliseconds(1 + draw(4000));
      const std::uint64_t key = draw(4);
      taken[next] = {cls, cls == 2 ? key : 0, harness.now() + client_timeout, 0, false, {}, {}, {}};
      arrivals.push_back(harness.now());
      if (taken[next].key != 0) lines[key].push_back(next);
      harness.request(next++, cls, std::chrono::milliseconds(draw(2000)), key, client_timeout);
    } else if (what < 98) {
      std::vector<std::pair<RequestId, std::size_t>> out;
      for (auto& [id, t] : taken) {
        for (std::size_t i = 0; i < t.out.size(); ++i) {
          if (t.out[i]) out.emplace_back(id, i);
        }
      }
      if (out.empty()) continue;
      const auto [id, attempt] = out[draw(static_cast<unsigned>(out.size()))];
      Taken& t = taken[id];
      AttemptEnded event;
      event.request = id;
      event.attempt = static_cast<std::uint32_t>(attempt);
      event.result = static_cast<AttemptResult>(draw(10) < 5 ? 0 : draw(8));
      event.took = 50ms;
      t.out[attempt] = false;
      const bool ran = event.result != AttemptResult::rejected &&
                       event.result != AttemptResult::connect_failed &&
                       event.result != AttemptResult::not_sent;
      t.may_have_run[attempt] = ran;
      if (t.key != 0 && (event.result == AttemptResult::timed_out || event.result == AttemptResult::reset ||
                         event.result == AttemptResult::cancelled)) {
        rests[t.key] = harness.now() + s.ordering_settle_time;
      }
      if (event.result == AttemptResult::served && !t.over) {
        t.over = true;
        ++t.answers;
      }
      event.request_over = t.over;
      harness.handle(event);
    } else {
      const EngineId id = 1 + draw(4);
      const auto state = static_cast<EngineState>(draw(3));
      change_fleet(id, state, draw(2) == 0 ? Duration{0} : harness.now());
    }
    inspect();
    if (HasFatalFailure()) return;
  }
  harness.advance(6s);
  inspect();
  for (const auto& [id, t] : taken) ASSERT_EQ(t.answers, 1) << "request " << id;
  EXPECT_GT(further.size(), 5U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomDay, ::testing::Range(1U, 13U));

}  // namespace
}  // namespace paddlestand::test

// Feeds random valid sequences of events to a manager and checks its actions against the rules. No engine is
// modelled: results of attempts are random.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <utility>
#include <vector>

#include "manager_harness.hpp"

namespace paddlestand::test {
namespace {

constexpr std::uint32_t non_idempotent_class = 1;
constexpr std::uint32_t keyed_class = 2;

bool contains_true(const std::vector<bool>& values) {
  return std::count(values.begin(), values.end(), true) > 0;
}

Settings random_deployment() {
  Settings settings = small_deployment();
  settings.instances = 2;
  settings.retry_budget = RetryBudgetSettings{3, 0.2, 2s};
  settings.ordering_settle_time = 100ms;
  settings.classes[non_idempotent_class].idempotency = Idempotency::non_idempotent;
  ClassSettings keyed = settings.classes[0];
  keyed.idempotency = Idempotency::idempotent_with_key;
  keyed.idempotency_window = 2s;
  keyed.ordered_by_key = true;
  settings.classes.push_back(keyed);
  return settings;
}

struct TrackedRequest {
  std::uint32_t class_index{};
  std::uint64_t ordering_key{};
  TimePoint deadline{};
  int answers = 0;
  bool is_over = false;
  std::vector<bool> in_flight;  // by attempt
  std::vector<bool> may_have_run;  // by attempt
  TimePoint first_uncertain_send{};
};

// Generates events and checks every action against the rules.
class RandomTraffic : public ::testing::TestWithParam<unsigned> {
 protected:
  unsigned draw(unsigned below) { return static_cast<unsigned>(random_() % below); }

  void change_engine(EngineId id, EngineState state, TimePoint started) {
    engine_states_[id] = state;
    harness_.fleet({engine(id, state, started)}, EndpointUpdate::delta);
  }

  void add_request() {
    const std::uint32_t class_index = draw(3);
    const Duration client_timeout = std::chrono::milliseconds(1 + draw(4000));
    const std::uint64_t key = draw(4);
    TrackedRequest& request = requests_[next_id_];
    request.class_index = class_index;
    request.ordering_key = class_index == keyed_class ? key : 0;
    request.deadline = harness_.now() + client_timeout;
    arrivals_.push_back(harness_.now());
    if (request.ordering_key != 0) requests_of_key_[key].push_back(next_id_);
    harness_.request(next_id_++, class_index, std::chrono::milliseconds(draw(2000)), key, client_timeout);
  }

  void end_attempt() {
    std::vector<std::pair<RequestId, std::size_t>> in_flight;
    for (auto& [id, request] : requests_) {
      for (std::size_t i = 0; i < request.in_flight.size(); ++i) {
        if (request.in_flight[i]) in_flight.emplace_back(id, i);
      }
    }
    if (in_flight.empty()) return;
    const auto [id, attempt] = in_flight[draw(static_cast<unsigned>(in_flight.size()))];
    TrackedRequest& request = requests_[id];
    AttemptEnded event;
    event.request = id;
    event.attempt = static_cast<std::uint32_t>(attempt);
    event.result = static_cast<AttemptResult>(draw(10) < 5 ? 0 : draw(8));
    event.elapsed = 50ms;
    record_end(request, attempt, event.result);
    event.request_over = request.is_over;
    harness_.handle(event);
  }

  void change_random_engine() {
    const EngineId id = 1 + draw(4);
    const auto state = static_cast<EngineState>(draw(3));
    change_engine(id, state, draw(2) == 0 ? Duration{0} : harness_.now());
  }

  // Checks the actions since the last call.
  void inspect() {
    for (; inspected_ < harness_.log().size() && !HasFatalFailure(); ++inspected_) {
      const auto& [at, action] = harness_.log()[inspected_];
      if (const auto* send = std::get_if<Send>(&action)) check_send(at, *send);
      if (const auto* fail = std::get_if<Fail>(&action)) check_answer(at, fail->request);
      if (const auto* reject = std::get_if<Reject>(&action)) check_rejection(at, reject->request);
    }
  }

  ManagerHarness harness_{random_deployment()};
  std::map<RequestId, TrackedRequest> requests_;
  std::vector<TimePoint> retries_;

 private:
  void record_end(TrackedRequest& request, std::size_t attempt, AttemptResult result) {
    request.in_flight[attempt] = false;
    request.may_have_run[attempt] = result != AttemptResult::rejected &&
                                    result != AttemptResult::connect_failed &&
                                    result != AttemptResult::not_sent;
    if (request.ordering_key != 0 && (result == AttemptResult::timed_out || result == AttemptResult::reset ||
                                      result == AttemptResult::cancelled)) {
      settles_at_[request.ordering_key] = harness_.now() + settings_.ordering_settle_time;
    }
    if (result == AttemptResult::served && !request.is_over) {
      request.is_over = true;
      ++request.answers;
    }
  }

  void check_send(TimePoint at, const Send& send) {
    TrackedRequest& request = requests_.at(send.request);
    ASSERT_FALSE(request.is_over);
    ASSERT_FALSE(contains_true(request.in_flight))
        << "request " << send.request << " has two attempts in flight";
    ASSERT_EQ(engine_states_.at(send.engine), EngineState::ready);
    ASSERT_LT(request.in_flight.size(), settings_.max_attempts);
    const bool may_have_run = contains_true(request.may_have_run);
    if (may_have_run) {
      ASSERT_NE(settings_.classes[request.class_index].idempotency, Idempotency::non_idempotent);
    }
    if (may_have_run && request.class_index == keyed_class) {
      ASSERT_LE(at, request.first_uncertain_send + 2s);
    }
    if (request.ordering_key != 0) check_ordering(at, send.request, request);
    if (HasFatalFailure()) return;
    if (!request.in_flight.empty()) check_retry_budget(at);
    if (!may_have_run) request.first_uncertain_send = at;
    request.in_flight.push_back(true);
    request.may_have_run.push_back(true);
  }

  void check_ordering(TimePoint at, RequestId id, const TrackedRequest& request) {
    for (const RequestId earlier_id : requests_of_key_[request.ordering_key]) {
      if (earlier_id == id) break;
      const TrackedRequest& earlier = requests_.at(earlier_id);
      ASSERT_TRUE(earlier.is_over && !contains_true(earlier.in_flight))
          << "request " << id << " was sent before request " << earlier_id << " of its ordering key was over";
    }
    const auto settles_at = settles_at_.find(request.ordering_key);
    if (request.in_flight.empty() && settles_at != settles_at_.end()) { ASSERT_GE(at, settles_at->second); }
  }

  void check_retry_budget(TimePoint at) {
    retries_.push_back(at);
    const auto count_in_window = [&](const std::vector<TimePoint>& times) {
      return static_cast<double>(
          std::count_if(times.begin(), times.end(), [&](TimePoint time) { return time > at - 2s; }));
    };
    ASSERT_LE(count_in_window(retries_), 3 + 0.2 * count_in_window(arrivals_));
  }

  void check_rejection(TimePoint at, RequestId id) {
    const TrackedRequest& request = requests_.at(id);
    if (request.class_index == non_idempotent_class) { ASSERT_FALSE(contains_true(request.may_have_run)); }
    check_answer(at, id);
  }

  void check_answer(TimePoint at, RequestId id) {
    TrackedRequest& request = requests_.at(id);
    ASSERT_FALSE(request.is_over) << "request " << id << " was answered twice";
    ASSERT_LE(at, request.deadline + settings_.answer_slack);
    request.is_over = true;
    ++request.answers;
  }

  std::mt19937 random_{GetParam()};
  const Settings settings_ = random_deployment();
  RequestId next_id_ = 1;
  std::vector<TimePoint> arrivals_;
  std::map<EngineId, EngineState> engine_states_;
  std::map<std::uint64_t, std::vector<RequestId>> requests_of_key_;
  std::map<std::uint64_t, TimePoint> settles_at_;
  std::size_t inspected_ = 0;
};

TEST_P(RandomTraffic, AllActionsFollowTheRules) {
  for (EngineId id = 1; id <= 4; ++id) change_engine(id, EngineState::ready, 0s);

  for (int step = 0; step < 4000; ++step) {
    harness_.advance(std::chrono::milliseconds(draw(20)));
    inspect();
    if (HasFatalFailure()) return;
    const unsigned kind = draw(100);
    if (kind < 45) {
      add_request();
    } else if (kind < 98) {
      end_attempt();
    } else {
      change_random_engine();
    }
    inspect();
    if (HasFatalFailure()) return;
  }
  harness_.advance(6s);
  inspect();

  for (const auto& [id, request] : requests_) ASSERT_EQ(request.answers, 1) << "request " << id;
  EXPECT_GT(retries_.size(), 5U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomTraffic, ::testing::Range(1U, 13U));

}  // namespace
}  // namespace paddlestand::test

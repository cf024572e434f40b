#include "decision/manager_state.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <sstream>
#include <string>

#include "decision_fixture.hpp"

namespace paddlestand::decision {
namespace {

/// Writes every visited field to a text, or restores the fields from one.
class TextVisitor : public StateVisitor {
 public:
  TextVisitor() = default;
  explicit TextVisitor(const std::string& text) : input_(text), reads_(true) {}

  [[nodiscard]] std::string text() const { return output_.str(); }

  [[nodiscard]] bool reads() const override { return reads_; }
  void clock(double& now) override { number(now); }
  void number(double& value) override { transfer(value); }
  void integer(std::uint64_t& value) override { transfer(value); }
  void since(double& time) override { transfer(time); }
  void until(double& time) override { transfer(time); }
  void name(Name, std::uint64_t& id) override { transfer(id); }
  void generator(std::mt19937_64& state) override { transfer(state); }
  std::size_t table(std::size_t entries, bool) override {
    transfer(entries);
    return entries;
  }
  void entry() override {}
  void end() override {}

 private:
  template <typename T>
  void transfer(T& value) {
    if (reads_) {
      input_ >> value;
    } else {
      output_.precision(17);
      output_ << value << '\n';
    }
  }

  std::istringstream input_;
  std::ostringstream output_;
  bool reads_ = false;
};

std::string text_of(ManagerState& state) {
  TextVisitor visitor;
  state.visit(visitor);
  return visitor.text();
}

Settings with_all_parts() {
  Settings settings = test::small_deployment();
  settings.instances = 3;
  settings.may_gossip = true;
  settings.tenants = {{"tenant", 5}};
  return settings;
}

void fill_in(DecisionFixture& fixture) {
  ManagerState& state = fixture.state;
  state.now = 10;
  Engine& engine = fixture.add_engine(1);
  engine.slow_start_sends.emplace_back(9, 0.5);
  engine.writers[4] = 2;
  engine.last_outcome_at = 8;
  engine.last_answer_at = 8;
  engine.overloaded_until = 11;
  engine.slow_start_until = 12;
  Request& queued = fixture.add_request(1);
  queued.ordering_key = 7;
  state.ordering_keys.append(7, 1);
  state.ordering_keys.settle_until(7, 12);
  fixture.lifecycle.enqueue(queued);
  fixture.lifecycle.start_attempt(fixture.add_request(2), engine);
  state.retry_budget.record_arrival(9);
  state.retry_budget.record_retry(9);
  state.cancellations.add(9);
  state.zone_load[2] = 3;
  state.gossip.peers[1] = {9, {{1, 2, 0.25}}};
}

TEST(ManagerState, ARestoredStateIsTheSame) {
  DecisionFixture fixture(with_all_parts());
  fill_in(fixture);
  const std::string text = text_of(fixture.state);

  ManagerState restored(with_all_parts());
  TextVisitor reader(text);
  restored.visit(reader);

  EXPECT_EQ(text_of(restored), text);
  EXPECT_EQ(restored.requests.deadlines(), fixture.state.requests.deadlines());
}

TEST(ManagerState, ACopyIsIndependentOfTheOriginal) {
  DecisionFixture fixture(with_all_parts());
  fill_in(fixture);
  const std::string text = text_of(fixture.state);

  ManagerState copy(fixture.state);
  EXPECT_EQ(text_of(copy), text);
  copy.requests.at(1).deadline = 99;
  copy.engines.at(1).threads = 99;

  EXPECT_EQ(text_of(fixture.state), text);
}

TEST(ManagerState, AClassHasAtLeastOneThreadIfItsSettingIsInvalid) {
  Settings settings = test::small_deployment();
  settings.classes[0].threads = 0;

  const ManagerState state(settings);

  EXPECT_EQ(state.settings.classes[0].threads, 1);
}

}  // namespace
}  // namespace paddlestand::decision

/// Tests that the trace checker reports violations of each rule, and none in a correct log.
#include "trace_checker/trace_checker.hpp"

#include <gtest/gtest.h>

namespace paddlestand::trace_checker {
namespace {

constexpr std::int64_t ms = 1'000'000;

/// Builds a log and the parameters of its day. Times are in milliseconds.
class TestLog {
 public:
  TestLog() {
    add_class("lookup").idempotent = true;
    ClassParameters& load = add_class("load");
    load.idempotent_with_key = true;
    load.idempotency_window_s = 2;
    load.ordered_by_key = true;
    add_class("settle");
    ClassParameters& bound = add_class("bound");
    bound.idempotent = true;
    bound.zones = {"north"};
    parameters.engine_zones = {{"e1", "north"}, {"e2", "south"}};
    parameters.budget_floor = 1;
    parameters.budget_share = 0.1;
    parameters.budget_window_s = 5;
  }

  Record& add(std::int64_t at, const char* event, const std::string& id) {
    Record& record = records.emplace_back();
    record.time_ns = at * ms;
    record.event = event;
    record.attempt_id = id;
    return record;
  }
  void add_request(std::int64_t at, const std::string& id, const char* class_name, const char* key = "") {
    Record& record = add(at, "asked", id);
    record.class_name = class_name;
    record.key = key;
    record.manager = "m1";
    record.request_number = std::stol(id);
    record.client_timeout_ms = 1000;
  }
  void add_answer(std::int64_t at, const std::string& id, const char* kind) {
    add(at, "answer", id).kind = kind;
  }
  void add_rejection(std::int64_t at, const std::string& id) {
    Record& record = add(at, "answer", id);
    record.kind = "refused";
    record.is_retry_safe = true;
  }
  void add_run(const std::string& id, const char* engine, std::int64_t from, std::int64_t to,
               const char* end = "ended") {
    add(from, "received", id).engine = engine;
    add(from, "started", id).engine = engine;
    if (std::string(end) == "ended") add(to, "applied", id).engine = engine;
    add(to, end, id).engine = engine;
  }
  void add_listing(std::int64_t at, const char* engine, const char* state) {
    Record& record = add(at, "listed", "");
    record.engine = engine;
    record.state = state;
  }

  /// Returns the number of violations by rule.
  [[nodiscard]] std::map<int, std::size_t> check_rules() const { return check(parameters, records).by_rule; }

  DayParameters parameters;
  std::vector<Record> records;

 private:
  ClassParameters& add_class(const char* name) { return parameters.classes[name]; }
};

using Rules = std::map<int, std::size_t>;

TestLog correct_log() {
  TestLog log;
  log.add_request(0, "1.0", "lookup");
  log.add_run("1.0", "e1", 10, 90);
  log.add_answer(91, "1.0", "served");
  log.add_request(100, "2.0", "load", "k");
  log.add_run("2.0", "e1", 110, 200, "link_closed");
  log.add_run("2.0", "e2", 210, 300);
  log.add_answer(301, "2.0", "served");
  log.add_request(200, "3.0", "load", "k");
  log.add_run("3.0", "e1", 310, 400);
  log.add_answer(401, "3.0", "served");
  log.add_request(500, "4.0", "settle");
  log.add_rejection(510, "4.0");
  log.add_request(600, "4.1", "settle");
  log.add_run("4.1", "e1", 610, 650);
  log.add_answer(651, "4.1", "served");
  return log;
}

TEST(TraceChecker, AcceptsCorrectLogInAnyOrder) {
  TestLog log = correct_log();
  EXPECT_EQ(log.check_rules(), Rules{});
  std::reverse(log.records.begin(), log.records.end());
  EXPECT_EQ(log.check_rules(), Rules{});
}

TEST(TraceChecker, Rule1ReportsMissingDuplicateLateAndSurplusAnswers) {
  TestLog none = correct_log();
  none.add_request(700, "5.0", "lookup");
  EXPECT_EQ(none.check_rules(), (Rules{{1, 1}}));
  Record& killed = none.add(900, "manager_killed", "");
  killed.manager = "m1";
  EXPECT_EQ(none.check_rules(), Rules{});

  TestLog two = correct_log();
  two.add_answer(92, "1.0", "refused");
  EXPECT_EQ(two.check_rules(), (Rules{{1, 1}}));

  TestLog late = correct_log();
  late.add_request(700, "5.0", "lookup");
  late.add_rejection(1900, "5.0");
  EXPECT_EQ(late.check_rules(), (Rules{{1, 1}}));

  TestLog surplus = correct_log();
  surplus.add(95, "extra", "1.0");
  EXPECT_EQ(surplus.check_rules(), (Rules{{1, 1}}));
}

TEST(TraceChecker, Rule2ReportsDuplicateResendAndRejectionAfterExecution) {
  TestLog twice = correct_log();
  twice.add_run("1.0", "e2", 20, 95);  // still in flight at e1
  EXPECT_EQ(twice.check_rules().count(2), 1U);

  TestLog resent = correct_log();
  resent.add_run("4.1", "e2", 660, 700);
  EXPECT_EQ(resent.check_rules().count(2), 1U);

  TestLog rejected = correct_log();
  rejected.add_request(800, "6.0", "settle");
  rejected.add_run("6.0", "e1", 810, 850, "cancelled");
  rejected.add_rejection(851, "6.0");
  EXPECT_EQ(rejected.check_rules(), (Rules{{2, 1}}));

  TestLog expired = correct_log();
  expired.parameters.budget_window_s = 0;
  expired.add_request(1000, "7.0", "load", "z");
  expired.add_run("7.0", "e1", 1010, 1020, "link_closed");
  expired.add_run("7.0", "e2", 3500, 3600);
  expired.add_answer(1900, "7.0", "failed");
  EXPECT_EQ(expired.check_rules(), (Rules{{2, 1}}));

  TestLog unknown = correct_log();
  unknown.add_run("9.0", "e1", 800, 820);
  EXPECT_EQ(unknown.check_rules(), (Rules{{2, 1}}));
}

TEST(TraceChecker, Rule3ReportsQuerySentAfterDrainGrace) {
  TestLog log = correct_log();
  log.add_listing(700, "e1", "draining");
  log.add_request(800, "5.0", "lookup");
  log.add_run("5.0", "e1", 900, 950);
  log.add_answer(951, "5.0", "served");
  EXPECT_EQ(log.check_rules(), Rules{});
  log.add_request(1200, "6.0", "lookup");
  log.add_run("6.0", "e1", 1300, 1350);
  log.add_answer(1351, "6.0", "served");
  EXPECT_EQ(log.check_rules(), (Rules{{3, 1}}));
  log.add_listing(1250, "e1", "ready");
  EXPECT_EQ(log.check_rules(), Rules{});
}

TEST(TraceChecker, Rule4ReportsCrashDuringSlowStart) {
  TestLog log = correct_log();
  log.add_request(800, "5.0", "lookup");
  log.add(810, "received", "5.0").engine = "e1";
  log.add(810, "fell", "5.0").engine = "e1";
  log.add_answer(820, "5.0", "failed");
  EXPECT_EQ(log.check_rules(), (Rules{{4, 1}}));
}

TEST(TraceChecker, Rule5ReportsConcurrentAndReorderedQueriesOfOneKey) {
  TestLog concurrent = correct_log();
  concurrent.add_request(800, "5.0", "load", "y");
  concurrent.add_request(900, "6.0", "load", "y");
  concurrent.add_run("5.0", "e1", 810, 1200);
  concurrent.add_run("6.0", "e2", 910, 1000);
  concurrent.add_answer(1201, "5.0", "served");
  concurrent.add_answer(1001, "6.0", "served");
  EXPECT_EQ(concurrent.check_rules(), (Rules{{5, 1}}));

  TestLog overtook = correct_log();
  overtook.add_request(800, "5.0", "load", "y");
  overtook.add_request(900, "6.0", "load", "y");
  overtook.add_run("6.0", "e1", 910, 1000);
  overtook.add_run("5.0", "e2", 1010, 1100);
  overtook.add_answer(1001, "6.0", "served");
  overtook.add_answer(1101, "5.0", "served");
  EXPECT_EQ(overtook.check_rules(), (Rules{{5, 1}}));
}

TEST(TraceChecker, Rule6ReportsQueryOutsideItsZones) {
  TestLog log = correct_log();
  log.add_request(800, "5.0", "bound");
  log.add_run("5.0", "e2", 810, 820);
  log.add_answer(821, "5.0", "served");
  EXPECT_EQ(log.check_rules(), (Rules{{6, 1}}));
}

TEST(TraceChecker, Rule7ReportsExceededRetryBudget) {
  TestLog log = correct_log();  // has one retry; the budget is 1 plus a tenth of the requests
  for (int i = 10; i < 14; ++i) {
    const std::string id = std::to_string(i) + ".0";
    log.add_request(1000 + i, id, "lookup");
    log.add_run(id, "e1", 1050, 1100, "link_closed");
    log.add_run(id, "e2", 1200, 1250);
    log.add_answer(1260, id, "served");
  }
  EXPECT_EQ(log.check_rules(), (Rules{{7, 1}}));
}

}  // namespace
}  // namespace paddlestand::trace_checker

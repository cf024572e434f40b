// The judge finds a seeded breach of each rule in a doctored log, and none in a clean one.
#include "trace_checker/trace_checker.hpp"

#include <gtest/gtest.h>

namespace paddlestand::trace_checker {
namespace {

constexpr std::int64_t ms = 1'000'000;

class Log {
 public:
  Log() {
    figures.classes["lookup"] = {true, false, 0, false, {}};
    figures.classes["load"] = {false, true, 2, true, {}};
    figures.classes["settle"] = {false, false, 0, false, {}};
    figures.classes["bound"] = {true, false, 0, false, {"north"}};
    figures.zones = {{"e1", "north"}, {"e2", "south"}};
    figures.budget_floor = 1;
    figures.budget_share = 0.1;
    figures.budget_window_s = 5;
  }
  Record& add(std::int64_t at, const char* what, const std::string& id) {
    Record r;
    r.t = at * ms;
    r.what = what;
    r.id = id;
    records.push_back(r);
    return records.back();
  }
  void asked(std::int64_t at, const std::string& id, const char* cls, const char* key = "") {
    Record& r = add(at, "asked", id);
    r.class_name = cls;
    r.key = key;
    r.manager = "m1";
    r.request = std::stol(id);
    r.client_timeout_ms = 1000;
  }
  void answer(std::int64_t at, const std::string& id, const char* kind, bool harmless = false) {
    Record& r = add(at, "answer", id);
    r.kind = kind;
    r.harmless = harmless;
  }
  void run(const std::string& id, const char* engine, std::int64_t from, std::int64_t to,
           const char* end = "ended") {
    add(from, "received", id).engine = engine;
    add(from, "started", id).engine = engine;
    if (std::string(end) == "ended") add(to, "applied", id).engine = engine;
    add(to, end, id).engine = engine;
  }
  void listed(std::int64_t at, const char* engine, const char* state) {
    Record& r = add(at, "listed", "");
    r.engine = engine;
    r.state = state;
  }
  [[nodiscard]] std::map<int, std::size_t> rules() const { return judge(figures, records).by_rule; }

  Figures figures;
  std::vector<Record> records;
};

using Rules = std::map<int, std::size_t>;

Log clean() {
  Log log;
  log.asked(0, "1.0", "lookup");
  log.run("1.0", "e1", 10, 90);
  log.answer(91, "1.0", "served");
  log.asked(100, "2.0", "load", "k");
  log.run("2.0", "e1", 110, 200, "link_closed");
  log.run("2.0", "e2", 210, 300);
  log.answer(301, "2.0", "served");
  log.asked(200, "3.0", "load", "k");
  log.run("3.0", "e1", 310, 400);
  log.answer(401, "3.0", "served");
  log.asked(500, "4.0", "settle");
  log.answer(510, "4.0", "refused", true);
  log.asked(600, "4.1", "settle");
  log.run("4.1", "e1", 610, 650);
  log.answer(651, "4.1", "served");
  return log;
}

TEST(Judge, FindsNothingInACleanLogInAnyOrder) {
  Log log = clean();
  EXPECT_EQ(log.rules(), Rules{});
  std::reverse(log.records.begin(), log.records.end());
  EXPECT_EQ(log.rules(), Rules{});
}

TEST(Judge, Rule1NoAnswerTwoAnswersLateAnswerAndWhatComesBehind) {
  Log none = clean();
  none.asked(700, "5.0", "lookup");
  EXPECT_EQ(none.rules(), (Rules{{1, 1}}));
  Record& killed = none.add(900, "manager_killed", "");
  killed.manager = "m1";
  EXPECT_EQ(none.rules(), Rules{});
  Log two = clean();
  two.answer(92, "1.0", "refused");
  EXPECT_EQ(two.rules(), (Rules{{1, 1}}));
  Log late = clean();
  late.asked(700, "5.0", "lookup");
  late.answer(1900, "5.0", "refused", true);
  EXPECT_EQ(late.rules(), (Rules{{1, 1}}));
  Log behind = clean();
  behind.add(95, "extra", "1.0");
  EXPECT_EQ(behind.rules(), (Rules{{1, 1}}));
}

TEST(Judge, Rule2ADuplicateOnTheWireAResendAndARefusalOfWhatRan) {
  Log twice = clean();
  twice.run("1.0", "e2", 20, 95);  // while it was out at e1
  EXPECT_EQ(twice.rules().count(2), 1U);
  Log resent = clean();
  resent.run("4.1", "e2", 660, 700);
  EXPECT_EQ(resent.rules().count(2), 1U);
  Log refused = clean();
  refused.asked(800, "6.0", "settle");
  refused.run("6.0", "e1", 810, 850, "cancelled");
  refused.answer(851, "6.0", "refused", true);
  EXPECT_EQ(refused.rules(), (Rules{{2, 1}}));
  Log forgotten = clean();
  forgotten.figures.budget_window_s = 0;
  forgotten.asked(1000, "7.0", "load", "z");
  forgotten.run("7.0", "e1", 1010, 1020, "link_closed");
  forgotten.run("7.0", "e2", 3500, 3600);
  forgotten.answer(1900, "7.0", "failed");
  EXPECT_EQ(forgotten.rules(), (Rules{{2, 1}}));
  Log invented = clean();
  invented.run("9.0", "e1", 800, 820);
  EXPECT_EQ(invented.rules(), (Rules{{2, 1}}));
}

TEST(Judge, Rule3AQueryDelayedPastADrainsGrace) {
  Log log = clean();
  log.listed(700, "e1", "draining");
  log.asked(800, "5.0", "lookup");
  log.run("5.0", "e1", 900, 950);
  log.answer(951, "5.0", "served");
  EXPECT_EQ(log.rules(), Rules{});
  log.asked(1200, "6.0", "lookup");
  log.run("6.0", "e1", 1300, 1350);
  log.answer(1351, "6.0", "served");
  EXPECT_EQ(log.rules(), (Rules{{3, 1}}));
  log.listed(1250, "e1", "ready");
  EXPECT_EQ(log.rules(), Rules{});
}

TEST(Judge, Rule4AColdEngineFell) {
  Log log = clean();
  log.asked(800, "5.0", "lookup");
  log.add(810, "received", "5.0").engine = "e1";
  log.add(810, "fell", "5.0").engine = "e1";
  log.answer(820, "5.0", "failed");
  EXPECT_EQ(log.rules(), (Rules{{4, 1}}));
}

TEST(Judge, Rule5TwoOfAKeyAtOnceAndOneThatOvertook) {
  Log at_once = clean();
  at_once.asked(800, "5.0", "load", "y");
  at_once.asked(900, "6.0", "load", "y");
  at_once.run("5.0", "e1", 810, 1200);
  at_once.run("6.0", "e2", 910, 1000);
  at_once.answer(1201, "5.0", "served");
  at_once.answer(1001, "6.0", "served");
  EXPECT_EQ(at_once.rules(), (Rules{{5, 1}}));
  Log overtook = clean();
  overtook.asked(800, "5.0", "load", "y");
  overtook.asked(900, "6.0", "load", "y");
  overtook.run("6.0", "e1", 910, 1000);
  overtook.run("5.0", "e2", 1010, 1100);
  overtook.answer(1001, "6.0", "served");
  overtook.answer(1101, "5.0", "served");
  EXPECT_EQ(overtook.rules(), (Rules{{5, 1}}));
}

TEST(Judge, Rule6OutOfItsPlaces) {
  Log log = clean();
  log.asked(800, "5.0", "bound");
  log.run("5.0", "e2", 810, 820);
  log.answer(821, "5.0", "served");
  EXPECT_EQ(log.rules(), (Rules{{6, 1}}));
}

TEST(Judge, Rule7MoreFurtherAttemptsThanTheBudget) {
  Log log = clean();  // one further attempt so far, of a budget of one and a tenth of what was asked
  for (int i = 10; i < 14; ++i) {
    const std::string id = std::to_string(i) + ".0";
    log.asked(1000 + i, id, "lookup");
    log.run(id, "e1", 1050, 1100, "link_closed");
    log.run(id, "e2", 1200, 1250);
    log.answer(1260, id, "served");
  }
  EXPECT_EQ(log.rules(), (Rules{{7, 1}}));
}

}  // namespace
}  // namespace paddlestand::trace_checker

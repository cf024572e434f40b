/// Answers of engines: the messages passed to the client, the reports for the manager, and the classification
/// of errors.
#include <gtest/gtest.h>

#include "pg_fixtures.hpp"
#include "protocol/pg/sqlstate.hpp"

namespace paddlestand::pg::test {
namespace {

using namespace std::chrono_literals;

TEST(BackendConnection, SettingsAreSentBeforeTheQueryOnlyWhereTheyDiffer) {
  LoggedInConnection engine;

  EXPECT_EQ(types_of(engine.connection.encode_query(simple_query("select 1"), 2, 100)), "QQ");

  engine.feed(answer_to_set() + engine_answer("x"));

  ASSERT_EQ(engine.events.size(), 1U);
  const auto& end = std::get<BackendAnswerEnd>(engine.events[0]);
  EXPECT_EQ(end.ending, core::Ending::complete);
  EXPECT_EQ(end.work, 12500us);
  EXPECT_EQ(end.report.queries, 3);
  EXPECT_EQ(types_of(engine.connection.answer()), "TDC");  // without the engine's reports

  EXPECT_EQ(types_of(engine.connection.encode_query(simple_query("select 1"), 2, 100)), "Q");

  EXPECT_EQ(settings_change({{"work_mem", "5MB"}, {"timezone", "UTC"}}, {{"timezone", "X'Y"}}),
            "RESET work_mem;SET timezone='X''Y';");
}

TEST(BackendConnection, ReadsAnAnswerByteByByte) {
  LoggedInConnection engine;
  engine.connection.encode_query(simple_query("select 1"), 0, 0);

  for (const char c : answer_to_set() + engine_answer("x")) engine.feed({&c, 1});

  EXPECT_EQ(types_of(engine.connection.answer()), "TDC");
  EXPECT_TRUE(std::holds_alternative<BackendAnswerEnd>(engine.events.back()));
}

TEST(BackendConnection, AConnectionWithAnOpenTransactionIsNotReusable) {
  LoggedInConnection engine;
  engine.connection.encode_query(simple_query("select 1"), 0, 0);
  std::string set_answer;
  put_ready(set_answer, 'I');

  engine.feed(set_answer + engine_answer("x", 'T'));

  EXPECT_FALSE(std::get<BackendAnswerEnd>(engine.events.back()).reusable);
}

TEST(BackendConnection, ErrorsAreClassifiedBySqlstate) {
  const auto ending = [](const char* code) {
    LoggedInConnection engine;
    engine.connection.encode_query(simple_query("select 1"), 0, 0);
    std::string bytes;
    put_ready(bytes, 'I');
    put_error(bytes, error(code, "x"));
    put_ready(bytes, 'I');

    engine.feed(bytes);
    return std::get<BackendAnswerEnd>(engine.events.back()).ending;
  };

  EXPECT_EQ(ending("42601"), core::Ending::complete);
  EXPECT_EQ(ending("23505"), core::Ending::complete);
  EXPECT_EQ(ending("53300"), core::Ending::full);
  EXPECT_EQ(ending("57014"), core::Ending::cancelled);
  EXPECT_EQ(ending("XX000"), core::Ending::engine_error);
  EXPECT_EQ(ending("53200"), core::Ending::engine_error);

  EXPECT_EQ(ending_of_error("53300", true), core::Ending::engine_error);
}

TEST(BackendConnection, ProgressNoticesAreNotPassedToTheClient) {
  LoggedInConnection engine;
  engine.connection.encode_query(simple_query("select 1"), 0, 0);
  std::string bytes;
  put_ready(bytes, 'I');
  put_notice(bytes, {"NOTICE", "01P5T", "progress=0.25", "", ""});
  put_notice(bytes, {"NOTICE", "01000", "for the client", "", ""});

  engine.feed(bytes);

  EXPECT_EQ(std::get<BackendProgress>(engine.events.at(0)).level, 0.25);
  EXPECT_EQ(types_of(engine.connection.answer()), "N");
}

}  // namespace
}  // namespace paddlestand::pg::test

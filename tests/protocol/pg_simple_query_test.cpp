/// Client sessions in the simple query protocol: pipelining, unsupported statements, settings.
#include <gtest/gtest.h>

#include "pg_fixtures.hpp"

namespace paddlestand::pg::test {
namespace {

using namespace std::chrono_literals;

TEST(FrontendSession, PipelinedSimpleQueriesAreSubmittedOneAtATime) {
  LoggedInSession session;
  std::string bytes;
  for (int i = 0; i < 1000; ++i) put_query(bytes, "select " + std::to_string(i));
  session.frontend.feed(bytes);

  for (int i = 0; i < 1000; ++i) {
    const auto request = session.next_request();
    ASSERT_TRUE(request);
    EXPECT_EQ(request->text, "select " + std::to_string(i));
    EXPECT_EQ(request->statement_timeout, 900ms);
    EXPECT_FALSE(session.frontend.next());  // one request is in flight
    session.frontend.request_done({});
  }

  EXPECT_EQ(types_of(session.extract_output()), std::string(1000, 'Z'));
}

TEST(FrontendSession, UnsupportedStatementsAreRejectedAndTheSessionContinues) {
  for (const char* text :
       {"begin", "START TRANSACTION", "copy t from stdin", "listen x", "select 1; commit", "/* a */ rollback",
        "create temp table x(a int)", "declare c cursor for select 1", "select 1 into temp y"}) {
    LoggedInSession session;
    std::string bytes;
    put_query(bytes, text);
    put_query(bytes, "select ';begin' /* ;commit */ -- ;begin\n , $$;begin$$, \"begin\"");
    session.frontend.feed(bytes);

    const auto request = session.next_request();
    ASSERT_TRUE(request) << text;
    const std::string out = session.extract_output();
    EXPECT_EQ(types_of(out), "EZ") << text;
    EXPECT_EQ(error_code(out), "0A000") << text;
  }

  LoggedInSession session;
  std::string bytes;
  put_raw(bytes, 'F', "xxxx");
  session.frontend.feed(bytes);

  EXPECT_FALSE(session.frontend.next());
  EXPECT_EQ(error_code(session.extract_output()), "0A000");
}

TEST(FrontendSession, AnswersSetShowAndResetItself) {
  LoggedInSession session;
  std::string bytes;
  put_query(bytes, "SET extra_float_digits = 3; set timezone to 'Europe/Berlin'; show timezone");
  put_query(bytes, "SET datestyle TO ISO, DMY");
  put_query(bytes, "reset timezone");
  put_query(bytes, "set search_path = x");
  put_query(bytes, "set statement_timeout = '2s'");
  put_query(bytes, "select 1");
  session.frontend.feed(bytes);

  const auto request = session.next_request();
  ASSERT_TRUE(request);
  EXPECT_EQ(request->statement_timeout, 2s);
  const std::map<std::string, std::string> expected{{"datestyle", "iso, dmy"}, {"extra_float_digits", "3"}};
  EXPECT_EQ(request->query.settings, expected);
  const std::string out = session.extract_output();
  EXPECT_EQ(types_of(out), "CSCTDCZSCZSCZEZCZ");
  EXPECT_EQ(error_code(out), "0A000");
}

}  // namespace
}  // namespace paddlestand::pg::test

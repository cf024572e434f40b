/// Client sessions in the extended query protocol: prepared statements and their limits, settings, recovery
/// after errors.
#include <gtest/gtest.h>

#include "pg_fixtures.hpp"
#include "protocol/pg/sqlstate.hpp"

namespace paddlestand::pg::test {
namespace {

TEST(FrontendSession, PreparedStatementsAreParsedAtTheEngineWhenNeeded) {
  LoggedInSession session;
  std::string bytes;
  append_parse(bytes, "s1", "select $1");
  put_empty(bytes, 'S');
  session.frontend.feed(bytes);

  auto request = session.next_request();
  ASSERT_TRUE(request);
  EXPECT_EQ(types_of(request->query.bytes), "PS");

  BackendAnswerEnd end;
  end.client_parses_completed = 1;
  session.frontend.request_done(end);

  bytes.clear();
  append_bind(bytes, "s1");
  append_execute(bytes);
  append_bind(bytes, "s1");
  append_execute(bytes);
  put_empty(bytes, 'S');
  append_bind(bytes, "s2");  // no such statement
  append_execute(bytes);
  put_empty(bytes, 'S');
  session.frontend.feed(bytes);

  request = session.next_request();
  ASSERT_TRUE(request);
  EXPECT_EQ(types_of(request->query.bytes), "PBEBES");  // one Parse for both Bind messages
  EXPECT_EQ(request->query.parse_from_client, std::vector<bool>{false});
  EXPECT_EQ(request->text, "select $1");

  session.extract_output();
  session.frontend.request_done({});
  EXPECT_FALSE(session.frontend.next());
  const std::string out = session.extract_output();
  EXPECT_EQ(types_of(out), "ZEZ");
  EXPECT_EQ(error_code(out), "26000");
}

TEST(FrontendSession, AStatementWhoseParseFailedDoesNotExist) {
  LoggedInSession session;
  std::string bytes;
  append_parse(bytes, "bad", "selec 1");
  put_empty(bytes, 'S');
  session.frontend.feed(bytes);

  ASSERT_TRUE(session.next_request());
  BackendAnswerEnd end;
  end.error_code = "42601";
  session.frontend.request_done(end);

  bytes.clear();
  put_named(bytes, 'D', 'S', "bad");
  put_empty(bytes, 'S');
  session.extract_output();
  session.frontend.feed(bytes);

  EXPECT_FALSE(session.next_request());
  EXPECT_EQ(error_code(session.extract_output()), "26000");
}

TEST(FrontendSession, AnErrorAfterAFlushSkipsMessagesUpToTheSync) {
  LoggedInSession session;
  std::string bytes;
  append_parse(bytes, "", "select 1");
  put_named(bytes, 'D', 'S', "");
  put_empty(bytes, 'H');
  session.frontend.feed(bytes);

  const auto request = session.next_request();
  ASSERT_TRUE(request);
  EXPECT_EQ(types_of(request->query.bytes), "PDS");

  session.frontend.request_failed(error("53400", "refused"));
  EXPECT_EQ(types_of(session.extract_output()), "E");  // ReadyForQuery follows only after the Sync

  bytes.clear();
  append_bind(bytes, "");
  append_execute(bytes);
  put_empty(bytes, 'S');
  session.frontend.feed(bytes);

  EXPECT_FALSE(session.next_request());
  EXPECT_EQ(types_of(session.extract_output()), "Z");
}

TEST(FrontendSession, AnswersSettingsInTheExtendedProtocol) {
  LoggedInSession session;
  std::string bytes;
  append_parse(bytes, "", "SHOW transaction isolation level");
  append_bind(bytes, "");
  put_named(bytes, 'D', 'P', "");
  append_execute(bytes);
  put_empty(bytes, 'S');
  session.frontend.feed(bytes);

  EXPECT_FALSE(session.next_request());
  EXPECT_EQ(types_of(session.extract_output()), "12TDCZ");
}

TEST(FrontendSession, PreparedStatementsAreLimited) {
  FrontendSettings settings;
  settings.max_statements = 2;
  LoggedInSession session(settings);
  for (const char* name : {"a", "b", "c"}) {
    std::string bytes;
    append_parse(bytes, name, "select 1");
    put_empty(bytes, 'S');
    session.frontend.feed(bytes);
    if (session.next_request()) {
      BackendAnswerEnd end;
      end.client_parses_completed = 1;
      session.frontend.request_done(end);
    }
  }

  EXPECT_EQ(error_code(session.extract_output()), "54000");
}

}  // namespace
}  // namespace paddlestand::pg::test

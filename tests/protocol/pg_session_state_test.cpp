/// What a client's session is, and what rules see of it, after errors and resets.
#include "pg_fixtures.hpp"

namespace paddlestand::pg::test {
namespace {

/// Answers the session's next messages, up to one that needs an engine.
std::string answers_to(LoggedInSession& session, const std::string& bytes) {
  session.frontend.feed(bytes);
  EXPECT_FALSE(session.frontend.next());
  return session.extract_output();
}

std::string query(const char* text) {
  std::string bytes;
  put_query(bytes, text);
  return bytes;
}

// Guards against closing a session that is logged in as one whose login took too long.
TEST(SessionState, IsStartedWhileMessagesAreSkippedToTheSync) {
  LoggedInSession session;
  std::string bytes;
  append_parse(bytes, "", "listen x");  // rejected: the rest of the batch is skipped

  EXPECT_EQ(error_code(answers_to(session, bytes)), "0A000");

  EXPECT_TRUE(session.frontend.started());
}

// Guards against rules that see a name which the session has taken back.
TEST(SessionState, ResetOfTheApplicationNameGoesBackToThatOfTheStartupMessage) {
  for (const char* reset : {"reset application_name", "reset all", "set application_name to default"}) {
    LoggedInSession session;
    ASSERT_EQ(session.frontend.application(), "psql");
    answers_to(session, query("set application_name = 'nightly'"));
    ASSERT_EQ(session.frontend.application(), "nightly");

    answers_to(session, query(reset));

    EXPECT_EQ(session.frontend.application(), "psql") << reset;
  }
}

// Guards against a limit of the startup message that is lost by a RESET.
TEST(SessionState, ResetOfTheStatementTimeoutGoesBackToThatOfTheStartupMessage) {
  LoggedInSession session;
  answers_to(session, query("set statement_timeout = '2s'; reset statement_timeout"));
  session.frontend.feed(query("select 1"));

  const auto request = session.next_request();

  ASSERT_TRUE(request);
  EXPECT_EQ(request->statement_timeout, std::chrono::milliseconds(900));
}

}  // namespace
}  // namespace paddlestand::pg::test

/// The state of a client's session after errors and RESET statements, and the parameters by which rules match
/// the session.
#include "pg_fixtures.hpp"

namespace paddlestand::pg::test {
namespace {

/// The session's answers to messages that need no engine.
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

// Guards against the login timeout closing a session that has logged in.
TEST(SessionState, IsStartedWhileMessagesAreSkippedUpToTheSync) {
  LoggedInSession session;
  std::string bytes;
  append_parse(bytes, "", "listen x");  // rejected: the rest of the batch is skipped

  EXPECT_EQ(error_code(answers_to(session, bytes)), "0A000");

  EXPECT_TRUE(session.frontend.started());
}

// Guards against rules that match an application name after the session has reset it.
TEST(SessionState, ResetRestoresTheApplicationNameOfTheStartupMessage) {
  for (const char* reset : {"reset application_name", "reset all", "set application_name to default"}) {
    LoggedInSession session;
    ASSERT_EQ(session.frontend.application(), "psql");
    answers_to(session, query("set application_name = 'nightly'"));
    ASSERT_EQ(session.frontend.application(), "nightly");

    answers_to(session, query(reset));

    EXPECT_EQ(session.frontend.application(), "psql") << reset;
  }
}

// Guards against a RESET that removes the timeout of the startup message.
TEST(SessionState, ResetRestoresTheStatementTimeoutOfTheStartupMessage) {
  LoggedInSession session;
  answers_to(session, query("set statement_timeout = '2s'; reset statement_timeout"));
  session.frontend.feed(query("select 1"));

  const auto request = session.next_request();

  ASSERT_TRUE(request);
  EXPECT_EQ(request->statement_timeout, std::chrono::milliseconds(900));
}

}  // namespace
}  // namespace paddlestand::pg::test

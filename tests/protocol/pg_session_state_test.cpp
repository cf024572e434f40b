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

// Guards against closing a session that is logged in as one whose login took too long.
TEST(SessionState, IsStartedWhileMessagesAreSkippedToTheSync) {
  LoggedInSession session;
  std::string bytes;
  append_parse(bytes, "", "listen x");  // rejected: the rest of the batch is skipped

  EXPECT_EQ(error_code(answers_to(session, bytes)), "0A000");

  EXPECT_TRUE(session.frontend.started());
}

}  // namespace
}  // namespace paddlestand::pg::test

/// Malformed messages from clients.
#include <gtest/gtest.h>

#include "pg_fixtures.hpp"

namespace paddlestand::pg::test {
namespace {

TEST(FrontendSession, EachMalformedMessageIsAnsweredWithOneError) {
  for (const char type : std::string("PBDEC")) {
    LoggedInSession session;
    std::string bytes;
    put_raw(bytes, type, {"S\xff", 2});
    put_empty(bytes, 'S');
    put_query(bytes, "select 1");
    session.frontend.feed(bytes);

    EXPECT_TRUE(session.next_request()) << type;
    EXPECT_EQ(types_of(session.extract_output()), "EZ") << type;
  }
  for (const char type : std::string("Q?p")) {
    LoggedInSession session;
    std::string bytes;
    put_raw(bytes, type, "unterminated");
    session.frontend.feed(bytes);

    EXPECT_TRUE(std::holds_alternative<FrontendClosed>(*session.frontend.next())) << type;
    EXPECT_EQ(error_code(session.extract_output()), "08P01") << type;
  }
  LoggedInSession session;
  std::string bytes;
  put_query(bytes, "select '\xc3\x28'");
  session.frontend.feed(bytes);

  EXPECT_FALSE(session.next_request());
  EXPECT_EQ(error_code(session.extract_output()), "22021");
}

}  // namespace
}  // namespace paddlestand::pg::test

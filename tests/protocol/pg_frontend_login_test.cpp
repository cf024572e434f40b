/// Login of a client session: TLS negotiation and startup.
#include <gtest/gtest.h>

#include "pg_fixtures.hpp"
#include "protocol/pg/bytes.hpp"

namespace paddlestand::pg::test {
namespace {

TEST(FrontendSession, LogsInByteByByteAfterDecliningTls) {
  FrontendSession frontend({}, trusted_users(), {7, 8}, "nonce");
  std::string bytes;
  Writer(bytes).begin_untyped().u32(ssl_code).end();
  bytes += startup_message();

  bool started = false;
  for (const char c : bytes) {
    frontend.feed({&c, 1});
    while (const auto event = frontend.next()) started |= std::holds_alternative<FrontendStarted>(*event);
  }

  EXPECT_TRUE(started);
  ASSERT_EQ(frontend.out()[0], 'N');
  EXPECT_EQ(frontend.user(), "ann");
  const std::string types = types_of(frontend.out().substr(1));
  EXPECT_EQ(types.front(), 'R');
  EXPECT_EQ(types.substr(types.size() - 2), "KZ");
}

}  // namespace
}  // namespace paddlestand::pg::test

/// Engines that violate the protocol or send messages too large to buffer.
#include <gtest/gtest.h>

#include "pg_fixtures.hpp"

namespace paddlestand::pg::test {
namespace {

TEST(BackendConnection, LargeRowsPassThroughAndOtherLargeMessagesAreRejected) {
  LoggedInConnection engine;
  engine.connection.encode_query(simple_query("select 1"), 0, 0);
  std::string set_answer;
  put_ready(set_answer, 'I');
  std::string row;
  const std::string large_value(1U << 20U, 'x');
  const std::string_view field = large_value;
  put_row(row, {&field, 1});

  engine.feed(set_answer + row.substr(0, 70000));
  EXPECT_TRUE(engine.connection.mid_message());
  EXPECT_EQ(engine.connection.answer().size(), 70000U);

  engine.feed(row.substr(70000));
  EXPECT_FALSE(engine.connection.mid_message());

  engine.feed({"S\x10\0\0\0", 5});
  EXPECT_TRUE(std::holds_alternative<BackendProtocolError>(engine.events.back()));
}

TEST(BackendConnection, ProtocolViolationsAreReportedOnce) {
  for (const std::string& bytes :
       {std::string("Z\0\0\0\5T", 6), std::string("?\0\0\0\4", 5), std::string("D\0\0\0\1", 5)}) {
    LoggedInConnection engine;
    engine.feed(bytes);

    ASSERT_FALSE(engine.events.empty());
    EXPECT_TRUE(std::holds_alternative<BackendProtocolError>(engine.events.back()));
    EXPECT_EQ(engine.events.size(), 1U);
  }
}

}  // namespace
}  // namespace paddlestand::pg::test

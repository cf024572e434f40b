/// PostgreSQL's message framing: split input and invalid lengths.
#include <gtest/gtest.h>

#include "pg_fixtures.hpp"
#include "protocol/pg/frame.hpp"

namespace paddlestand::pg::test {
namespace {

TEST(FrameReader, ReadsByteByByteAndRejectsInvalidLengthsBeforeBuffering) {
  std::string bytes;
  put_query(bytes, "select 1");
  put_empty(bytes, 'S');
  FrameReader reader(100);
  std::string types;

  for (const char c : bytes) {
    reader.feed({&c, 1});
    while (const auto frame = reader.next()) types.push_back(frame->type);
  }

  EXPECT_EQ(types, "QS");

  reader.feed({"Q\x40\0\0\0", 5});  // a length of one gigabyte
  EXPECT_FALSE(reader.next());
  EXPECT_TRUE(reader.bad());
  EXPECT_NE(reader.problem().find("1073741824"), std::string::npos);

  FrameReader too_short(100);
  too_short.feed({"Q\0\0\0\3", 5});
  EXPECT_FALSE(too_short.next());
  EXPECT_TRUE(too_short.bad());
}

}  // namespace
}  // namespace paddlestand::pg::test

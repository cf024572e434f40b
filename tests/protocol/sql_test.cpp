/// The SQL scanner, and the tags in its comments.
#include <gtest/gtest.h>

#include "protocol/sql/scan.hpp"
#include "protocol/sql/tags.hpp"

namespace paddlestand::sql {
namespace {

TEST(Scan, SplitsOnlyAtTheEndsOfStatements) {
  const auto scanned =
      scan("select 'a;b', E'c\\';d', $x$;$x$, \"e;f\" -- ;\n; /* ; /* ; */ ; */ Insert into t; ;");

  ASSERT_EQ(scanned.statements.size(), 2U);
  EXPECT_EQ(scanned.statements[0].tokens[0], "select");
  EXPECT_EQ(scanned.statements[1].tokens[0], "insert");
  ASSERT_EQ(scanned.comments.size(), 1U);
  EXPECT_EQ(scanned.comments[0], " ; /* ; */ ; ");
}

TEST(Scan, UnterminatedLiteralsAndCommentsEndWithTheText) {
  for (const char* text :
       {"select 'abc", "select $$abc", "select \"abc", "select /* abc", "select E'\\", "$", "'"})
    EXPECT_LE(scan(text).statements.size(), 1U) << text;
  EXPECT_TRUE(scan("").statements.empty());
  EXPECT_TRUE(scan(" ; -- x").statements.empty());
}

TEST(Tags, AreReadInTheFormatOfSqlcommenter) {
  const Tags tags = read_tags("class='look%20up', key='a\\'b',traceparent='00-1'");

  ASSERT_EQ(tags.size(), 3U);
  EXPECT_EQ(tags[0].second, "look up");

  EXPECT_EQ(tags[1].second, "a'b");
  EXPECT_TRUE(read_tags("just a comment").empty());
  EXPECT_TRUE(read_tags("class='unterminated").empty());
  EXPECT_TRUE(read_tags("class=lookup").empty());
}

}  // namespace
}  // namespace paddlestand::sql

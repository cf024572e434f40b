// The buffer of unwritten lines of a client, and its count of unwritten answers.
#include "platform/output_buffer.hpp"

#include <gtest/gtest.h>

namespace paddlestand {
namespace {

using platform::OutputBuffer;
using LineKind = OutputBuffer::LineKind;

TEST(OutputBuffer, AnAnswerIsUnwrittenUntilItsLastByte) {
  OutputBuffer output;
  output.append("one\n", LineKind::answer);
  output.append("two\n", LineKind::answer);

  output.consume(7);
  EXPECT_EQ(output.unwritten(), "\n");
  EXPECT_EQ(output.unwritten_answers(), 1U);

  output.consume(1);
  EXPECT_TRUE(output.is_empty());
  EXPECT_EQ(output.unwritten_answers(), 0U);
}

TEST(OutputBuffer, ANoticeCountsAsALineButNotAsAnAnswer) {
  OutputBuffer output;
  output.text() += "done\n";
  output.append_finished(LineKind::notice);

  EXPECT_EQ(output.unwritten_lines(), 1U);
  EXPECT_EQ(output.unwritten_answers(), 0U);
}

TEST(OutputBuffer, ReleasesWrittenBytesOnceTheyReachTheThreshold) {
  OutputBuffer output;
  output.append("one\ntwo\n", LineKind::answer);
  output.consume(4);

  output.release_written(5);
  EXPECT_EQ(output.held_bytes(), 8U);

  output.release_written(4);
  EXPECT_EQ(output.held_bytes(), 4U);
  EXPECT_EQ(output.unwritten(), "two\n");

  output.consume(4);
  EXPECT_EQ(output.unwritten_answers(), 0U) << "lines are counted from the start of the connection";
}

}  // namespace
}  // namespace paddlestand

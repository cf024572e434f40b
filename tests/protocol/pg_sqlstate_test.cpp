/// SQLSTATEs and the advice in the hint of an error.
#include <gtest/gtest.h>

#include "protocol/pg/sqlstate.hpp"

namespace paddlestand::pg::test {
namespace {

using namespace std::chrono_literals;

TEST(Sqlstate, AdviceInAnErrorsHintIsReadBack) {
  core::Answer answer;
  answer.kind = core::AnswerKind::rejected;
  answer.retry_safety = core::RetrySafety::safe;
  answer.retry_after = 120ms;

  const Fields fields = fields_of(answer);
  EXPECT_EQ(fields.code, "53400");
  const Advice advice = read_advice(fields.hint);
  EXPECT_EQ(advice.retry_after, 120ms);
  EXPECT_EQ(advice.harmless, true);

  answer.kind = core::AnswerKind::failed;
  answer.retry_safety = core::RetrySafety::unknown;
  EXPECT_EQ(fields_of(answer).code, "08007");

  answer.deadline_exceeded = true;
  EXPECT_EQ(fields_of(answer).code, "57014");
  EXPECT_EQ(read_advice(fields_of(answer).hint).harmless, false);

  EXPECT_FALSE(read_advice("retry_after_ms=x; nonsense").retry_after);
}

}  // namespace
}  // namespace paddlestand::pg::test

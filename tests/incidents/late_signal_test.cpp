/// Incident: SIGTERM arrives while the manager's process is stopped; SIGKILL does not wait for it
/// (docs/incidents/038-late-shutdown.md).
#include <thread>

#include "incident_test.hpp"

namespace paddlestand::platform::test {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t trace = 0x7b00000000000001;
constexpr auto stop_time = 1000ms;
constexpr auto kill_after_termination =
    3700ms;  // of the configuration: its deadlines count as 3 s, and 0.7 s more

class TerminatedDuringAStop : public IncidentTest {
 protected:
  TerminatedDuringAStop() : IncidentTest(1) {}
};

// Guards against a shutdown whose time is counted from when the signal was seen.
TEST_F(TerminatedDuringAStop, AnswersBeforeTheKill) {
  client().send_request(next_number(), trace);
  // The engine never answers it.
  ASSERT_TRUE(run_until([&] { return engine().attempts_started(trace) == 1; }, [](auto&, auto&, auto&) {}));
  manager().stop();
  const auto terminated_at = Clock::now();
  manager().terminate();
  std::this_thread::sleep_for(stop_time);
  manager().resume();

  EXPECT_NE(outcome_while(client(), [](auto&, auto&, auto&) {}), "nothing") << manager().log();
  EXPECT_LT(Clock::now() - terminated_at, kill_after_termination);
}

// Guards against answers that are waited for beyond the end of the process, where a stop comes in between.
TEST_F(TerminatedDuringAStop, AnswersAtOnceWhereTheStopLastsUntilTheProcessIsToEnd) {
  client().send_request(next_number(), trace);
  ASSERT_TRUE(run_until([&] { return engine().attempts_started(trace) == 1; }, [](auto&, auto&, auto&) {}));
  const auto terminated_at = Clock::now();
  manager().terminate();
  std::this_thread::sleep_for(300ms);  // it has begun its shutdown
  manager().stop();
  std::this_thread::sleep_until(terminated_at + kill_after_termination - 80ms);
  manager().resume();

  EXPECT_NE(outcome_while(client(), [](auto&, auto&, auto&) {}), "nothing") << manager().log();
  EXPECT_LT(Clock::now() - terminated_at, kill_after_termination);
}

}  // namespace
}  // namespace paddlestand::platform::test

/// Guards against a graceful shutdown that takes longer than the termination grace period, after which
/// SIGKILL is sent: the manager's process is stopped when SIGTERM arrives, or during the shutdown
/// (docs/incidents/038-late-shutdown.md).
#include <thread>

#include "incident_test.hpp"

namespace paddlestand::platform::test {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t trace = 0x7b00000000000001;
constexpr auto stop_time = 1000ms;
// The termination grace period of this configuration: its deadlines count as 3 s, plus 0.7 s.
constexpr auto termination_grace_period = 3700ms;

class SigtermAndStop : public IncidentTest {
 protected:
  SigtermAndStop() : IncidentTest(1) {}
};

// The shutdown time must be counted from the arrival of the signal, not from when the event loop handles it.
TEST_F(SigtermAndStop, OpenRequestsAreAnsweredBeforeSigkill) {
  client().send_request(next_number(), trace);
  // The engine receives the request and never answers it.
  ASSERT_TRUE(run_until([&] { return engine().attempts_started(trace) == 1; }, [](auto&, auto&, auto&) {}));
  manager().stop();
  const auto terminated_at = Clock::now();
  manager().terminate();
  std::this_thread::sleep_for(stop_time);
  manager().resume();

  EXPECT_NE(outcome_while(client(), [](auto&, auto&, auto&) {}), "nothing") << manager().log();
  EXPECT_LT(Clock::now() - terminated_at, termination_grace_period);
}

// The process is stopped during its shutdown until 80 ms before SIGKILL: open requests must be answered at
// once, without waiting for the engine.
TEST_F(SigtermAndStop, OpenRequestsAreAnsweredAtOnceAfterAStopUntilShortlyBeforeSigkill) {
  client().send_request(next_number(), trace);
  ASSERT_TRUE(run_until([&] { return engine().attempts_started(trace) == 1; }, [](auto&, auto&, auto&) {}));
  const auto terminated_at = Clock::now();
  manager().terminate();
  std::this_thread::sleep_for(300ms);  // the shutdown has begun
  manager().stop();
  std::this_thread::sleep_until(terminated_at + termination_grace_period - 80ms);
  manager().resume();

  EXPECT_NE(outcome_while(client(), [](auto&, auto&, auto&) {}), "nothing") << manager().log();
  EXPECT_LT(Clock::now() - terminated_at, termination_grace_period);
}

}  // namespace
}  // namespace paddlestand::platform::test

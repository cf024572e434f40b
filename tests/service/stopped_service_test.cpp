/// Incident: a query begins although its client has closed the connection, because the PostgreSQL service was
/// stopped between the decision to send the query and the system call that sends it or a part of it
/// (docs/incidents/038-stopped-before-a-send.md).
#include "failure_fixtures.hpp"
#include "serve_process.hpp"

namespace paddlestand::service::test {
namespace {

constexpr auto max_test_duration = 60s;
constexpr int required_interruptions = 5;

/// A service with one engine that is stopped for 250 ms at some of its system calls. The parameter contains
/// the rules of call_faults.
class StoppedService : public ::testing::TestWithParam<const char*> {
 protected:
  StoppedService()
      : log_(::testing::TempDir() + "truth-stopped-" + std::to_string(::getpid()) + ".jsonl"),
        engine_(settings_with_log(log_)),
        service_(manager_settings({engine_->port()}), GetParam()) {}
  ~StoppedService() override { ::unlink(log_.c_str()); }

  /// Sends a query, and closes the connection while the service is stopped before the engine has received the
  /// query. Returns false if the service was not stopped then.
  bool close_during_stop(const std::string& id) {
    RawClient client(service_.port());
    client.send_query("select 1 /*class='settle',sim_work_ms='20',sim_id='" + id + "'*/");
    const bool was_stopped = wait_until([&] { return service_.is_stopped() || has_begun(id); });
    if (!was_stopped || !service_.is_stopped()) return false;
    std::this_thread::sleep_for(20ms);  // until what was sent before the stop has arrived
    const bool has_begun_before_close = has_begun(id);
    client.close();
    return !has_begun_before_close && service_.is_stopped();
  }
  bool has_begun(const std::string& id) const { return count_events(events_of(log_, id), "received") > 0; }
  ServeProcess& service() { return service_; }

 private:
  static test_engine::TestEngineSettings settings_with_log(const std::string& log) {
    test_engine::TestEngineSettings settings;
    settings.truth_log = log;
    return settings;
  }

  std::string log_;
  Engine engine_;
  ServeProcess service_;
};

// Guards against a query that begins after its client closed the connection during the stop.
TEST_P(StoppedService, BeginsNoQueryAfterItsClientHasClosedTheConnection) {
  ASSERT_NE(service().port(), 0);
  const auto end = std::chrono::steady_clock::now() + max_test_duration;
  int interruptions = 0;
  for (int i = 0; std::chrono::steady_clock::now() < end && interruptions < required_interruptions; ++i) {
    const std::string id = "query" + std::to_string(i);
    if (!close_during_stop(id)) continue;
    ++interruptions;
    std::this_thread::sleep_for(500ms);
    EXPECT_FALSE(has_begun(id)) << service().log();
  }
  EXPECT_EQ(interruptions, required_interruptions);
}

INSTANTIATE_TEST_SUITE_P(At, StoppedService,
                         ::testing::Values("send_query stop:250 0.3",
                                           "send stop:250 0.02 1.5 1e9; send short 0.95 1.5 1e9"),
                         [](const auto& suite) { return suite.index == 0 ? "TheFirstByte" : "ALaterByte"; });

}  // namespace
}  // namespace paddlestand::service::test

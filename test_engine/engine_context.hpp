/// What a test engine's server and its sessions share. Sessions may outlive the server in the event loop, so
/// each holds a reference.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "faults.hpp"
#include "job_executor.hpp"
#include "protocol/pg/messages.hpp"
#include "settings.hpp"
#include "truth_log.hpp"

namespace paddlestand::test_engine {

class Session;

/// Not thread-safe: all of it belongs to the event loop's thread.
struct EngineContext {
  EngineContext(boost::asio::io_context& event_loop, const TestEngineSettings& settings);

  /// Whether a random event of this probability happens now.
  [[nodiscard]] bool happens(double probability);
  /// How many jobs run, as reported to managers: at most `report_period_s` old.
  [[nodiscard]] std::string load_report();
  [[nodiscard]] std::vector<std::shared_ptr<Session>> live_sessions() const;
  /// Null where there is none.
  [[nodiscard]] std::shared_ptr<Session> find_session(std::uint32_t process) const;

  boost::asio::io_context& io;
  InjectedFaults faults;
  TruthLog log;
  JobExecutor jobs;
  std::map<std::uint32_t, std::weak_ptr<Session>> sessions;  ///< by process number
  std::mt19937_64 random;
  double report_period_s;

 private:
  double reported_load_ = 0;
  double reported_at_s_ = -1e9;
};

}  // namespace paddlestand::test_engine

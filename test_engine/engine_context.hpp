/// The state that a test engine's server and its sessions share. Sessions may outlive the server in the event
/// loop, so each holds a reference.
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

/// Not thread-safe: used only on the thread of the event loop.
struct EngineContext {
  EngineContext(boost::asio::io_context& io, const TestEngineSettings& settings);

  /// Returns true with the given probability.
  [[nodiscard]] bool draw_bernoulli(double probability);
  /// The number of running jobs as reported to managers; at most `report_period_s` old.
  [[nodiscard]] std::string load_report();
  [[nodiscard]] std::vector<std::shared_ptr<Session>> live_sessions() const;
  /// Returns null if there is no such session.
  [[nodiscard]] std::shared_ptr<Session> find_session(std::uint32_t process) const;

  boost::asio::io_context& io_context;
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

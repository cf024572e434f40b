/// Injects the faults of a day at their scheduled times.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "system_under_test.hpp"

namespace paddlestand::simulation {

/// Faults may overlap. Used only on the event loop's thread. Exceptions of the coroutines propagate out of
/// io_context::run().
class FaultSchedule {
 public:
  /// Keeps references to all arguments.
  FaultSchedule(boost::asio::io_context& io, const Day& day, SystemUnderTest& system,
                std::vector<std::string>& problems);

  /// Schedules all faults. Their times count from this call.
  void start();

 private:
  template <typename T = void>
  using awaitable = boost::asio::awaitable<T>;
  enum class Shutdown : std::uint8_t { killed, graceful };
  enum class AfterDrain : std::uint8_t { ready_again, restart };

  awaitable<> inject(DayFault fault);
  awaitable<> inject_by_command(DayFault fault, std::string command);
  awaitable<> restart_engines_in_turn(std::vector<std::uint32_t> engines, Duration downtime);
  awaitable<> restart_managers_in_turn(Duration downtime);
  awaitable<> stop_discovery(Duration length);

  awaitable<> sleep(Duration duration);
  awaitable<> send_command(std::uint32_t engine, std::string line);
  awaitable<> send_command_to_all(std::vector<std::uint32_t> engines, std::string command);
  awaitable<> crash_engine(std::uint32_t engine, Duration downtime);
  awaitable<> drain_engine(std::uint32_t engine, Duration length, AfterDrain after);
  awaitable<> restart_manager(std::uint32_t manager, Duration downtime, Shutdown shutdown);
  awaitable<> shut_down_manager(std::uint32_t manager);
  std::vector<std::uint32_t> next_engines(std::uint32_t count);
  void spawn(awaitable<> coroutine);

  boost::asio::io_context& io_;
  const Day& day_;
  SystemUnderTest& system_;
  std::vector<std::string>& problems_;
  std::uint32_t next_engine_ = 0;
};

}  // namespace paddlestand::simulation

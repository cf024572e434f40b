#include "fault_schedule.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string_view>
#include <utility>

#include "trace_checker/log_words.hpp"

namespace paddlestand::simulation {
namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using namespace std::chrono_literals;
namespace log_event = trace_checker::log_event;

namespace {

constexpr Duration min_drain_before_restart = 1s;
constexpr int drain_graces_before_restart = 4;
constexpr auto manager_shutdown_timeout = 5s;
constexpr auto poll_period = 10ms;
constexpr std::size_t max_command_answer_bytes = 256;

/// The control command of a test engine that causes this kind of fault; none if no command does. A command's
/// argument is the fault's amount.
std::optional<std::string> command_for(const DayFault& fault) {
  struct CommandOfKind {
    std::string_view command;
    bool has_amount;
  };
  static const std::map<std::string_view, CommandOfKind> commands{
      {"vanish", {"vanish", false}},   {"hang", {"hang", false}},
      {"mute", {"mute-mid", false}},   {"full", {"full", false}},
      {"refuse", {"refuse", false}},   {"flush", {"flush", false}},
      {"reset", {"reset", false}},     {"slow", {"slow", true}},
      {"shared_slow", {"slow", true}}, {"fast_errors", {"fail", true}},
      {"answer_lost", {"lose", true}}, {"report_late", {"report-late", true}}};
  const auto found = commands.find(fault.kind);
  if (found == commands.end()) return std::nullopt;
  std::ostringstream text;
  text << found->second.command;
  if (found->second.has_amount) text << " " << fault.amount;
  return text.str();
}

}  // namespace

FaultSchedule::FaultSchedule(asio::io_context& io, const Day& day, SystemUnderTest& system,
                             std::vector<std::string>& problems)
    : io_(io), day_(day), system_(system), problems_(problems) {}

void FaultSchedule::start() {
  for (const DayFault& fault : day_.faults) spawn(inject(fault));
}

void FaultSchedule::spawn(awaitable<> coroutine) {
  asio::co_spawn(io_, std::move(coroutine), [](const std::exception_ptr& problem) {
    if (problem) std::rethrow_exception(problem);
  });
}

/// Has no effect for burst, tenant_burst, heavy_tail, shift, hot_key and give_up, which only change the
/// arrivals.
FaultSchedule::awaitable<> FaultSchedule::inject(DayFault fault) {
  co_await sleep(fault.at);
  system_.log_event({{"what", std::string(log_event::fault_injected)}, {"kind", fault.kind}});
  const std::string& kind = fault.kind;
  if (auto command = command_for(fault)) {
    co_await inject_by_command(fault, *std::move(command));
  } else if (kind == "crash" || kind == "mass_restart") {
    for (const std::uint32_t engine : next_engines(kind == "crash" ? fault.count : day_.engines))
      spawn(crash_engine(engine, fault.length));
  } else if (kind == "drain" || kind == "preempt") {
    const AfterDrain after = kind == "preempt" ? AfterDrain::restart : AfterDrain::ready_again;
    for (const std::uint32_t engine : next_engines(fault.count))
      spawn(drain_engine(engine, fault.length, after));
  } else if (kind == "deploy") {
    co_await restart_engines_in_turn(next_engines(fault.count), fault.length);
  } else if (kind == "discovery_stale") {
    co_await stop_discovery(fault.length);
  } else if (kind == "balancer_crash") {
    for (std::uint32_t manager = 0; manager < std::min(fault.count, day_.managers); ++manager)
      spawn(restart_manager(manager, fault.length, Shutdown::killed));
  } else if (kind == "balancer_roll") {
    co_await restart_managers_in_turn(fault.length);
  }
}

FaultSchedule::awaitable<> FaultSchedule::inject_by_command(DayFault fault, std::string command) {
  const bool affects_all_engines = fault.kind == "shared_slow";
  const std::vector<std::uint32_t> engines = next_engines(affects_all_engines ? day_.engines : fault.count);
  co_await send_command_to_all(engines, std::move(command));
  co_await sleep(fault.length);
  co_await send_command_to_all(engines, "normal");
}

FaultSchedule::awaitable<> FaultSchedule::send_command_to_all(std::vector<std::uint32_t> engines,
                                                              std::string command) {
  for (const std::uint32_t engine : engines) { co_await send_command(engine, command); }
}

FaultSchedule::awaitable<> FaultSchedule::restart_engines_in_turn(std::vector<std::uint32_t> engines,
                                                                  Duration downtime) {
  for (const std::uint32_t engine : engines) { co_await drain_engine(engine, downtime, AfterDrain::restart); }
}

FaultSchedule::awaitable<> FaultSchedule::restart_managers_in_turn(Duration downtime) {
  for (std::uint32_t manager = 0; manager < day_.managers; ++manager) {
    co_await restart_manager(manager, downtime, Shutdown::graceful);
  }
}

FaultSchedule::awaitable<> FaultSchedule::stop_discovery(Duration length) {
  system_.suspend_discovery();
  co_await sleep(length);
  system_.resume_discovery();
}

FaultSchedule::awaitable<> FaultSchedule::sleep(Duration duration) {
  asio::steady_timer timer(io_, duration);
  error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

FaultSchedule::awaitable<> FaultSchedule::send_command(std::uint32_t engine, std::string line) {
  tcp::socket socket(io_);
  error_code error;
  co_await socket.async_connect({asio::ip::address_v4::loopback(), system_.control_port(engine)},
                                asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return;
  line += "\n";
  co_await asio::async_write(socket, asio::buffer(line), asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return;
  std::array<char, max_command_answer_bytes> answer{};
  const std::size_t received =
      co_await socket.async_read_some(asio::buffer(answer), asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return;
  const std::string_view text(answer.data(), received);
  if (text != "ok\n") problems_.push_back(engine_name(engine) + ": " + std::string(text));
}

/// Selects engines round-robin, so that overlapping faults affect different engines if possible.
std::vector<std::uint32_t> FaultSchedule::next_engines(std::uint32_t count) {
  std::vector<std::uint32_t> engines;
  for (std::uint32_t i = 0; i < std::min(count, day_.engines); ++i) {
    engines.push_back(next_engine_ % day_.engines);
    ++next_engine_;
  }
  return engines;
}

FaultSchedule::awaitable<> FaultSchedule::crash_engine(std::uint32_t engine, Duration downtime) {
  system_.kill_engine(engine);
  const Duration detection_time = std::min(day_.list_delay, downtime);
  co_await sleep(detection_time);
  system_.publish_state(engine, ListedState::removed);
  co_await sleep(downtime - detection_time);
  system_.set_unpublished_state(engine, ListedState::removed);  // until discovery detects its start
  system_.restart_engine(engine);
  co_await sleep(day_.list_delay);
  system_.publish_state(engine, ListedState::ready);
}

FaultSchedule::awaitable<> FaultSchedule::drain_engine(std::uint32_t engine, Duration length,
                                                       AfterDrain after) {
  system_.publish_state(engine, ListedState::draining);
  if (after == AfterDrain::restart) {
    co_await sleep(std::max(day_.drain_grace * drain_graces_before_restart, min_drain_before_restart));
    co_await crash_engine(engine, length);
    co_return;
  }
  co_await sleep(length);
  system_.publish_state(engine, ListedState::ready);
}

FaultSchedule::awaitable<> FaultSchedule::restart_manager(std::uint32_t manager, Duration downtime,
                                                          Shutdown shutdown) {
  system_.expect_manager_down(manager);
  if (shutdown == Shutdown::graceful) {
    co_await shut_down_manager(manager);
    system_.log_event(
        {{"what", std::string(log_event::manager_shut_down)}, {"manager", manager_name(manager)}});
  } else {
    // The trace checker accepts unanswered requests only from a manager that was killed.
    system_.log_event({{"what", std::string(log_event::manager_killed)}, {"manager", manager_name(manager)}});
    system_.kill_manager(manager);
  }
  co_await sleep(downtime);
  system_.start_manager(manager);
}

/// Requests a graceful shutdown and kills the manager if it does not end within the timeout.
FaultSchedule::awaitable<> FaultSchedule::shut_down_manager(std::uint32_t manager) {
  system_.request_manager_shutdown(manager);
  for (auto waited = 0ms; waited < manager_shutdown_timeout && system_.is_manager_running(manager);
       waited += poll_period) {
    co_await sleep(poll_period);
  }
  if (system_.is_manager_running(manager))
    problems_.push_back(manager_name(manager) + " did not shut down in time");
  system_.kill_manager(manager);
}

}  // namespace paddlestand::simulation
